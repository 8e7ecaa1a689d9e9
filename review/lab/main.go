// Command lab plays the script cases of the review against processes of the deploy file.
// It uses loopback addresses only and ends all processes that it started.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is how long a case may take, less the time to end its processes.
const longest = 116 * time.Second

// lab is what a case gets.
type lab struct {
	store   *store
	fleet   *fleet
	log     *record
	arrived *arrivals
	base    string
	trouble bool
}

// cases maps the names of cases to their functions and the number of machines.
var cases = map[string]struct {
	vms   int
	zones []string
	run   func(*lab) (broken bool, err error)
}{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	program, err := filepath.Abs("target/galenasaild")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("LAB_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	base := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
	st, err := newStore(base + ".250")
	if err != nil {
		log.say("cannot run: %v", err)
		return exitNotRun
	}
	f, err := newFleet(program, dir, st, base, c.vms, c.zones, log)
	if err != nil {
		log.say("cannot run: %v", err)
		return exitNotRun
	}
	defer f.stopAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	giveUp := func(why string) {
		log.say("cannot run: %s", why)
		f.stopAll()
		_ = os.RemoveAll(dir)
		log.close()
		os.Exit(exitNotRun)
	}
	go func() {
		<-stop
		giveUp("interrupted")
	}()
	time.AfterFunc(longest, func() { giveUp("the case took too long") })
	l := &lab{store: st, fleet: f, log: log, arrived: &arrivals{}, base: base, trouble: os.Getenv("TROUBLE") != "0"}
	log.say("case %s, trouble %v, %d machines", name, l.trouble, c.vms)
	broken, err := c.run(l)
	l.recordArrivals()
	switch {
	case err != nil:
		log.say("cannot run: %v", err)
		return exitNotRun
	case broken:
		log.say("rule broken")
		return exitBroken
	}
	log.say("rule held")
	return exitHeld
}

// recordArrivals writes what reached the servers to the record.
func (l *lab) recordArrivals() {
	for _, a := range l.arrived.list() {
		l.log.eventAt(a.at, "arrived", a.id, fmt.Sprintf("at %s, tenant %s, body %d bytes, ran %v", a.server, a.tenant, a.body, a.ran))
	}
}
