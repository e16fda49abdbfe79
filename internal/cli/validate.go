package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/servicetext"
	"github.com/gentianpick/gentianpick/internal/settings"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// Values of the --kind flag.
const (
	kindAuto     = "auto"
	kindText     = "text"
	kindSettings = "settings"
)

// validationResult is the output of the validate command.
type validationResult struct {
	File   string        `json:"file"`
	Kind   string        `json:"kind"`
	Valid  bool          `json:"valid"`
	Hash   string        `json:"hash,omitempty"` // of a valid service text
	Errors []jsonc.Error `json:"errors,omitempty"`
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a service text or a settings file",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Usage: "kind of the file: text, settings, or auto (a file with peer_listen or platform is taken as settings)", Value: kindAuto},
			outputFlag(),
		},
		Action: runValidate,
	}
}

func runValidate(_ context.Context, cmd *cli.Command) error {
	file, err := singleArgument(cmd, "FILE")
	if err != nil {
		return err
	}
	data, err := readInput(cmd, file)
	if err != nil {
		return err
	}
	v := validationResult{File: file, Kind: cmd.String("kind")}
	if v.Kind == kindAuto {
		v.Kind = detectKind(data)
	}
	switch v.Kind {
	case kindText:
		if _, err = servicetext.Parse(data); err == nil {
			v.Hash = wire.FormatHash(servicetext.Hash(data))
		}
	case kindSettings:
		_, err = settings.Parse(data)
	default:
		return &FlagError{Flag: "kind", Value: v.Kind, Want: "text, settings or auto"}
	}
	return reportValidation(cmd, v, err)
}

// reportValidation prints the result of a validation and returns an *InvalidError if the
// file is invalid. It returns err unchanged if it is not a *jsonc.Errors.
func reportValidation(cmd *cli.Command, v validationResult, err error) error {
	var errs *jsonc.Errors
	if errors.As(err, &errs) {
		v.Errors = errs.List
	} else if err != nil {
		return err
	}
	v.Valid = err == nil
	printErr := printResult(cmd, v, func(w io.Writer) {
		for _, e := range v.Errors {
			fmt.Fprintf(w, "%s:%d: %s: %s [%s]\n", v.File, e.Line, e.Path, e.Message, e.Code)
		}
		if v.Valid {
			fmt.Fprintf(w, "%s: valid %s\n", v.File, v.Kind)
		}
	})
	if printErr == nil && !v.Valid {
		return &InvalidError{File: v.File, Count: len(v.Errors)}
	}
	return printErr
}

// detectKind distinguishes settings from a service text by the fields that only settings
// have.
func detectKind(data []byte) string {
	if bytes.Contains(data, []byte(`"peer_listen"`)) || bytes.Contains(data, []byte(`"platform":`)) {
		return kindSettings
	}
	return kindText
}
