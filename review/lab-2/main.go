// Command lab plays the scripts of the second review: it starts galenasaild processes on
// loopback with stand-ins for the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays a case. It returns whether the rule was broken.
type scenario func(rec *record, trouble bool) (broken bool, err error)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab SCENARIO RECORD")
		os.Exit(2)
	}
	play, ok := scenarios[os.Args[1]]
	file, err := os.Create(os.Args[2])
	if err != nil || !ok {
		fmt.Fprintln(os.Stderr, "no such scenario, or the record cannot be written:", err)
		os.Exit(2)
	}
	rec := &record{file: file, start: time.Now()}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		stopAll()
		os.Exit(2)
	}()
	broken, err := play(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		rec.logf("result: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	rec.logf("result: the rule held")
	fmt.Println("the rule held")
}
