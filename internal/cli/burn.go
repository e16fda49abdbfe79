package cli

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:   "burn",
		Usage:  "print how fast services spend their error budgets",
		Flags:  clientFlags(),
		Action: runBurn,
	}
}

func runBurn(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	c, err := dial(cmd)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	r, err := c.Burn(ctx)
	if err != nil {
		return err
	}
	return show(cmd, r, func(w io.Writer) { _ = r.WriteText(w) })
}
