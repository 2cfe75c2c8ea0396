// Command standin-3 plays the scripted cases of the third independent review. It starts the
// sidecar command with stand-ins of the platform's store, backend servers and clients, and checks
// one rule from what clients and backend servers see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// trouble reports whether the case injects its disruption. TROUBLE=0 disables it.
func trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// cases maps the name of a case to the function that plays it.
var cases = map[string]func(f *fleet) error{
	"crashed-run":      playCrashedRun,
	"damaged-version":  playDamagedVersion,
	"foreign-customer": playForeignCustomer,
	"forgotten-limit":  playForgottenLimit,
	"long-ids":         playLongIDs,
	"lost-rows":        playLostRows,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays a case: its arguments are the name of the case and the directory for record.txt.
func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE DIRECTORY")
		return exitCannotRun
	}
	output, err := newRecord(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer output.close()
	f, err := newFleet(output)
	if err != nil {
		output.printf("the case could not run: %v", err)
		return exitCannotRun
	}
	defer f.close()
	err = cases[arguments[0]](f)
	switch {
	case err != nil:
		output.printf("the case could not run: %v", err)
		return exitCannotRun
	case output.broken > 0:
		output.printf("RESULT: the rule was broken %d times", output.broken)
		return exitBroken
	default:
		output.printf("RESULT: the rule held")
		return exitHeld
	}
}
