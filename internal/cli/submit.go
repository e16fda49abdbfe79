package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/client"
	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

const (
	// maxRequestDeadline is the longest deadline of an interactive request.
	maxRequestDeadline = 5 * time.Minute
	// answerMargin is the time that a call may take beyond the deadline of its work. It
	// covers the time until the server stops waiting for the outcome, plus network delay.
	answerMargin = 35 * time.Second
	// longPollWait is how long the server holds one query of a job. It is below the 60 s
	// after which load balancers usually close idle requests.
	longPollWait = 20 * time.Second
	// maxResourcesBytes is the maximum length of the --resources value.
	maxResourcesBytes = 1024
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit work and wait for its outcome",
		ArgsUsage: "SERVICE",
		Flags: clientFlags(
			&cli.StringFlag{Name: "operation", Usage: "operation `NAME`; run times are measured per operation"},
			&cli.StringFlag{Name: "key", Usage: "idempotency `KEY`; required for services that are not idempotent"},
			&cli.StringFlag{Name: "body", Usage: "request body as `TEXT`"},
			&cli.StringFlag{Name: "body-file", Usage: "`FILE` with the request body, - for standard input"},
			&cli.IntFlag{Name: "tasks", Usage: "number of tasks of a batch or gang job"},
			&cli.StringFlag{Name: "resources", Usage: "`JSON` with the resources of one task; default: those of the service"},
			&cli.DurationFlag{Name: "deadline", Usage: "maximum time from receipt to the end of the work; default: the deadline of the service"},
			&cli.BoolFlag{Name: "poll", Usage: "submit a job and poll until it ends or --timeout passes"},
			&cli.BoolFlag{Name: "detach", Usage: "submit a job, print its id and return without waiting for its end"},
		),
		Action: runSubmit,
	}
}

func runSubmit(ctx context.Context, cmd *cli.Command) error {
	submit, err := submissionFromFlags(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	defer c.Close()
	a, err := sendSubmission(ctx, cmd, c, submit)
	if err != nil {
		return wrapNotSent(err, submit.Key != "" || a.Job != "")
	}
	return printAnswer(cmd, a)
}

// sendSubmission submits the work as a job with --poll or --detach, and otherwise as a
// request that waits for the outcome.
func sendSubmission(ctx context.Context, cmd *cli.Command, c *client.Client, submit wire.Submit) (wire.Answer, error) {
	if cmd.Bool("poll") || cmd.Bool("detach") {
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		a, err := c.Submit(ctx, submit)
		if err != nil || cmd.Bool("detach") || a.Job == "" || a.Outcome.Final() {
			return a, err
		}
		fmt.Fprintln(cmd.Root().ErrWriter, "job", a.Job)
		return pollJob(ctx, c, a.Job)
	}
	wait := cmd.Duration("deadline")
	if wait <= 0 {
		wait = maxRequestDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	return c.Request(ctx, submit)
}

// pollJob waits for the end of a job. If ctx ends first, it returns the last known state
// of the job without an error.
func pollJob(ctx context.Context, c *client.Client, id model.JobID) (wire.Answer, error) {
	a, err := c.Poll(ctx, id, longPollWait)
	if err != nil && ctx.Err() != nil {
		return a, nil
	}
	return a, err
}

// submissionFromFlags builds the submission from the flags and arguments.
func submissionFromFlags(cmd *cli.Command) (wire.Submit, error) {
	service, err := singleArgument(cmd, "SERVICE")
	if err != nil {
		return wire.Submit{}, err
	}
	if cmd.Bool("poll") && cmd.Bool("detach") {
		return wire.Submit{}, &UsageError{Reason: "give either --poll or --detach"}
	}
	s := model.Submission{
		Service: service, Operation: cmd.String("operation"), Key: model.Key(cmd.String("key")),
		Body: []byte(cmd.String("body")), Tasks: cmd.Int("tasks"), Deadline: cmd.Duration("deadline"),
	}
	if name := cmd.String("body-file"); name != "" {
		if cmd.IsSet("body") {
			return wire.Submit{}, &UsageError{Reason: "give either --body or --body-file"}
		}
		if s.Body, err = readInput(cmd, name); err != nil {
			return wire.Submit{}, err
		}
	}
	if text := cmd.String("resources"); text != "" {
		s.Resources = &model.Resources{}
		if err := jsonc.Decode([]byte(text), maxResourcesBytes, s.Resources).Err(); err != nil {
			return wire.Submit{}, &UsageError{Reason: "--resources: " + err.Error()}
		}
	}
	submit := wire.NewSubmit(s)
	if _, err := submit.Submission(); err != nil {
		return wire.Submit{}, &UsageError{Reason: err.Error()}
	}
	return submit, nil
}

// printAnswer prints an answer and returns an *OutcomeError if the outcome is not a
// success.
func printAnswer(cmd *cli.Command, a wire.Answer) error {
	err := printResult(cmd, a, func(w io.Writer) {
		printField := func(name, value string) {
			if value != "" {
				fmt.Fprintf(w, "%-9s %s\n", name, value)
			}
		}
		printField("job", string(a.Job))
		printField("outcome", string(a.Outcome))
		printField("code", string(a.Code))
		printField("message", a.Message)
		if t := a.Tasks; t != nil {
			printField("tasks", fmt.Sprintf("%d: %d waiting, %d running, %d done, %d failed", t.Total, t.Waiting, t.Running, t.Done, t.Failed))
		}
		printField("forecast", a.Forecast)
		if a.ResultText == "" && len(a.Result) > 0 {
			printField("result", fmt.Sprintf("%d bytes of binary data; use --output json or job result", len(a.Result)))
		}
		printField("result", a.ResultText)
	})
	if err != nil {
		return err
	}
	return outcomeError(a.Outcome, a.Code, a.Message)
}
