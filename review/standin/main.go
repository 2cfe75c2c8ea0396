// Command standin runs the cases of the review that are scripts: real sidecar processes with
// stand-ins of the platform, of backend servers and of clients.
//
// It exits with 1 if the case has broken its rule, with 0 if the rule held, and with 2 if the
// case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions, which report whether the rule was
// broken.
var cases = map[string]func(record *record, trouble bool) (broken bool, err error){
	"slow-stop":         slowStop,
	"slow-readers":      slowReaders,
	"foreign-heartbeat": foreignHeartbeat,
	"clock-back":        clockBack,
	"left-server":       leftServer,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.say("the case could not run: %v", err)
		return exitNotRun
	}
	if broken {
		record.say("the rule was broken")
		return exitBroken
	}
	record.say("the rule held")
	return exitHeld
}
