package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/client"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

func jobCommand() *cli.Command {
	wait := &cli.BoolFlag{Name: "wait", Usage: "poll until the job ends or --timeout passes"}
	return &cli.Command{
		Name:   "job",
		Usage:  "query or cancel a job",
		Action: requireSubcommand,
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the state of a job", ArgsUsage: "ID", Flags: clientFlags(wait), Action: runJobGet},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Flags: clientFlags(), Action: runJobCancel},
			{Name: "result", Usage: "print the result of a completed job and nothing else", ArgsUsage: "ID", Flags: clientFlags(wait), Action: runJobResult},
		},
	}
}

// callForJob makes one call for the job whose id is the command's argument.
func callForJob(ctx context.Context, cmd *cli.Command, call func(context.Context, *client.Client, model.JobID) (wire.Answer, error)) (wire.Answer, error) {
	id, err := singleArgument(cmd, "ID")
	if err != nil {
		return wire.Answer{}, err
	}
	c, err := newClient(cmd)
	if err != nil {
		return wire.Answer{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	return call(ctx, c, model.JobID(id))
}

// queryJob returns a job's state. With --wait it first waits for the job to end.
func queryJob(ctx context.Context, cmd *cli.Command) (wire.Answer, error) {
	return callForJob(ctx, cmd, func(ctx context.Context, c *client.Client, id model.JobID) (wire.Answer, error) {
		if cmd.Bool("wait") {
			return pollJob(ctx, c, id)
		}
		return c.Job(ctx, id, 0)
	})
}

func runJobGet(ctx context.Context, cmd *cli.Command) error {
	a, err := queryJob(ctx, cmd)
	if err != nil {
		return err
	}
	return printAnswer(cmd, a)
}

// runJobCancel succeeds if the job is cancelled or its cancellation is in progress. It
// fails if the job was done before.
func runJobCancel(ctx context.Context, cmd *cli.Command) error {
	a, err := callForJob(ctx, cmd, func(ctx context.Context, c *client.Client, id model.JobID) (wire.Answer, error) {
		return c.Cancel(ctx, id)
	})
	if err != nil {
		return err
	}
	err = printAnswer(cmd, a)
	switch {
	case a.Code == model.CodeCancelled:
		return nil
	case a.Outcome == model.OutcomeDone:
		return &OutcomeError{Outcome: model.OutcomeFailed, Reason: a.Code, Message: "the job was done before it could be cancelled"}
	}
	return err
}

func runJobResult(ctx context.Context, cmd *cli.Command) error {
	a, err := queryJob(ctx, cmd)
	if err != nil {
		return err
	}
	if a.Outcome != model.OutcomeDone {
		if err := outcomeError(a.Outcome, a.Code, a.Message); err != nil {
			return err
		}
		return &OutcomeError{Outcome: model.OutcomeUnknown, Reason: a.Code, Message: "the job has not ended: " + string(a.Outcome)}
	}
	result := a.Result
	if len(result) == 0 {
		result = []byte(a.ResultText)
	}
	if _, err := cmd.Root().Writer.Write(result); err != nil {
		return &FileError{Cause: err}
	}
	return nil
}
