// Lab3 plays the cases of the third review: it starts the project's program as separate
// processes on loopback addresses, with stand-ins of its own for the platform's store, the
// servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns an exit code; trouble is false for a run
// without the disruption.
var cases = map[string]func(r *Record, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	// The processes get SIGKILL when this one ends; a signal must not leave them behind.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		os.Exit(exitNotRun)
	}()
	os.Exit(cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0"))
}

// notRun records why a case could not run.
func notRun(r *Record, err error) int {
	r.say("the case could not run: %v", err)
	return exitNotRun
}
