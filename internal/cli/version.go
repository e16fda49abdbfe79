package cli

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// buildInfo is the output of the version command.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of the program",
		Flags: []cli.Flag{outputFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if err := requireNoArguments(cmd); err != nil {
				return err
			}
			b := readBuildInfo()
			return printResult(cmd, b, func(w io.Writer) { fmt.Fprintf(w, "gentianpick %s %s %s\n", b.Version, b.Revision, b.Go) })
		},
	}
}

// readBuildInfo returns the build information that Go embedded in the program.
func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}
