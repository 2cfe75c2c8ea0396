// Command standin2 plays the cases of the second review: it starts the project's own
// programs as separate processes, beside stand-ins of clients, backend servers and the
// platform's store.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// cases holds the cases by their folder's name.
var cases = map[string]func(*record, bool) (broken bool, err error){
	"6": playPartialBodies,
	"7": playHolders,
	"8": playForgotten,
}

func main() {
	os.Exit(play(os.Args[1:]))
}

// play plays a case and returns the exit status.
func play(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD-FILE")
		return statusNotRun
	}
	log, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer log.close()
	endWithSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, with the disruption: %t", arguments[0], trouble)
	broken, err := cases[arguments[0]](log, trouble)
	if err != nil {
		log.printf("the case could not run: %v", err)
		return statusNotRun
	}
	log.printf("the rule was broken: %t", broken)
	if broken {
		return statusBroken
	}
	return statusHeld
}

// endWithSignal ends the processes that were started if this one is ended by a signal.
func endWithSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		killAll()
		os.Exit(statusNotRun)
	}()
}
