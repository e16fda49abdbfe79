package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/client"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/wire"
)

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "publish a service text",
		ArgsUsage: "FILE",
		Flags: clientFlags(
			&cli.Uint64Flag{Name: "base", Usage: "version that the text replaces; default: the current version"},
			&cli.StringFlag{Name: "id", Usage: "publish `ID`; repeat a publish with its id to learn an unknown outcome"},
		),
		Action: runPublish,
	}
}

func runPublish(ctx context.Context, cmd *cli.Command) error {
	file, err := singleArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	if cmd.IsSet("id") && !cmd.IsSet("base") {
		return &UsageError{Reason: "--id repeats an earlier publish and needs its --base"}
	}
	text, err := readInput(cmd, file)
	if err != nil {
		return err
	}
	if _, err := servicetext.Parse(text); err != nil {
		return reportValidation(cmd, validationResult{File: file, Kind: kindText}, err)
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	base := cmd.Uint64("base")
	if !cmd.IsSet("base") {
		if base, err = currentTextVersion(ctx, c); err != nil {
			return wrapNotSent(err, false)
		}
	}
	id := cmd.String("id")
	if id == "" {
		id = uuid.NewString()
	}
	p, err := c.Publish(ctx, base, id, text)
	if err != nil {
		fmt.Fprintf(cmd.Root().ErrWriter, "publish id %s, base %d\n", id, base)
		return wrapNotSent(err, true) // the client retries the call, and an earlier attempt may have been accepted
	}
	return printPublished(cmd, p)
}

// currentTextVersion returns the version that a new text replaces. It returns 0 if the
// server has no text. If the server has merely not received the current text yet, it
// rejects the publish with base 0.
func currentTextVersion(ctx context.Context, c *client.Client) (uint64, error) {
	t, err := c.Text(ctx)
	var refused *client.RefusedError
	if errors.As(err, &refused) && refused.Reason == model.CodeNotReady {
		return 0, nil
	}
	return t.Version, err
}

func printPublished(cmd *cli.Command, p wire.PublishResult) error {
	err := printResult(cmd, p, func(w io.Writer) {
		for _, e := range p.Errors {
			fmt.Fprintf(w, "line %d: %s: %s [%s]\n", e.Line, e.Path, e.Message, e.Code)
		}
		if p.Accepted {
			fmt.Fprintf(w, "accepted, version in force: %d\n", p.Version)
		} else {
			fmt.Fprintf(w, "not published, version in force: %d\n", p.Version)
		}
	})
	if err != nil || p.Accepted {
		return err
	}
	return outcomeError(model.OutcomeNotRun, p.Code, p.Message)
}
