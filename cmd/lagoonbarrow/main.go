// Command lagoonbarrow runs a node or a sidecar, and the operator commands.
package main

import (
	"os"

	"lagoonbarrow/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args, os.Stdout, os.Stderr))
}
