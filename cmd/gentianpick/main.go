// Command gentianpick is a cluster scheduler for unlike workloads.
package main

import (
	"context"
	"os"

	"github.com/gentianpick/gentianpick/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
