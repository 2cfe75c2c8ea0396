// Command lagoonbarrow-bench measures the policy under load and the cost of
// control, each against a baseline in the same run.
package main

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v2"

	"lagoonbarrow/internal/bench"
)

func main() {
	app := &cli.App{
		Name:  "lagoonbarrow-bench",
		Usage: "measure lagoonbarrow on this machine",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "binary",
				Usage: "node binary `FILE`",
				Value: "build/lagoonbarrow",
			},
			&cli.StringFlag{
				Name:  "folder",
				Usage: "`FOLDER` for series and plots",
				Value: "measurements",
			},
			&cli.StringFlag{
				Name:  "only",
				Usage: "`NAME` of a single measure to run",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "seed of the random numbers",
				Value: 1,
			},
		},
		Action: func(flags *cli.Context) error {
			return bench.Run(bench.Config{
				Binary: flags.String("binary"),
				Folder: flags.String("folder"),
				Only:   flags.String("only"),
				Seed:   flags.Uint64("seed"),
				Out:    os.Stdout,
			})
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonbarrow-bench: "+err.Error())
		os.Exit(1)
	}
}
