// Command lagoonbarrow-standin runs small stand-ins for the platform and for
// backend servers.
package main

import (
	"os"

	"lagoonbarrow/internal/standin/command"
)

func main() {
	os.Exit(command.Run(os.Args))
}
