// Package cli implements the lagoonbarrow command line.
package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"lagoonbarrow"
)

// Exit statuses of the command line.
const (
	exitFailure = 1
	// exitUsage reports an invalid command line, settings file or contract.
	exitUsage = 2
	// exitConflict reports that another operator changed the contract first.
	exitConflict = 3
)

// Version is the release that this build belongs to.
const Version = "0.1.0"

// New returns the command line. Output goes to out, errors to errOut.
func New(out, errOut io.Writer) *cli.App {
	return &cli.App{
		Name:           "lagoonbarrow",
		Version:        Version,
		Usage:          "overload control for service call graphs",
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(*cli.Context, error) {},
		Commands: []*cli.Command{
			nodeCommand(),
			sidecarCommand(),
			checkSettingsCommand(),
			contractCommand(),
			statusCommand(),
			timelineCommand(),
			claimCommand(),
			hashKeyCommand(),
		},
	}
}

// Run executes the command line and returns the exit status.
func Run(arguments []string, out, errOut io.Writer) int {
	err := New(out, errOut).Run(arguments)
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, "lagoonbarrow: "+err.Error())
	switch {
	case errors.Is(err, lagoonbarrow.ErrInvalid):
		return exitUsage
	case errors.Is(err, lagoonbarrow.ErrConflict):
		return exitConflict
	default:
		return exitFailure
	}
}

// argument returns the single argument of a command. name is used in the error.
func argument(context *cli.Context, name string) (string, error) {
	if context.NArg() != 1 {
		return "", errors.Wrapf(lagoonbarrow.ErrInvalid, "%s takes one argument, %s", context.Command.FullName(), name)
	}
	return context.Args().First(), nil
}
