package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["poison"] = struct {
		vms   int
		zones []string
		run   func(*lab) (bool, error)
	}{16, []string{"zone-a", "zone-b", "zone-c", "zone-d"}, runPoison}
}

const (
	// stableWindow is StableWindowMs.
	stableWindow = 3 * time.Second
	// allowedRetries is how many retries BUDGET allows to reach servers.
	allowedRetries = 3
	poisonPath     = "/read/poisoned"
	// serverBack is how long a crashed server is down.
	serverBack = 3 * time.Second
	// poisonGap is the time until the request comes again.
	poisonGap = 500 * time.Millisecond
	// rollGap is the pause between the restarts of two machines.
	rollGap = 1300 * time.Millisecond
)

// runPoison: a request crashes each server that begins to run it and comes again at any
// machine, while the machines are stopped and started in turn. With TROUBLE=0 that request is
// left out; with LAB_ROLL=0 the restarts are.
func runPoison(l *lab) (bool, error) {
	const key = "k-tenant-one-0123456789"
	l.store.put("op/config", baseConfig(3, tenant{Name: "tenant-one", ApiKeys: []string{key}}))
	var mu sync.Mutex
	var crashes []time.Time
	cfg := serverConfig{
		service: "stock", ip: l.base + ".200", slots: 3, queue: 12,
		work:    func(string) time.Duration { return 30 * time.Millisecond },
		crashes: func(path string) bool { return path == poisonPath },
	}
	var start func(serverConfig) error
	start = func(c serverConfig) error {
		s, err := startServer(c, l.store, l.arrived)
		if err != nil {
			return err
		}
		c.address = s.address
		s.onCrash = func(*server) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			l.log.event("crash", s.id, "")
			time.AfterFunc(serverBack, func() {
				if err := start(c); err != nil {
					l.log.say("server not back: %v", err)
				}
			})
		}
		return nil
	}
	for i := range 12 {
		c := cfg
		c.zone = l.fleet.zones[i%4]
		if err := start(c); err != nil {
			return false, err
		}
	}
	if err := l.fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var stop atomic.Bool
	var clients sync.WaitGroup
	takenBy := &takers{vm: map[string]*vm{}}
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := newClient(l.fleet, l.fleet.zones[i%4], true)
			for !stop.Load() {
				res := c.do(request{method: "GET", path: "/read/" + newID(), key: key, deadline: 2500 * time.Millisecond, id: newID()})
				l.log.eventAt(res.sent, "sent", res.id, fmt.Sprintf("to %s, status %d, error %v", res.address, res.status, res.err))
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	// The client of the poisoned request connects to any running machine in turn.
	clients.Add(1)
	go func() {
		defer clients.Done()
		c := newClient(l.fleet, "zone-a", false)
		for l.trouble && !stop.Load() {
			v := l.fleet.vms[rand.Intn(len(l.fleet.vms))]
			if v.isReady() {
				r := request{method: "GET", path: poisonPath, key: key, deadline: 2500 * time.Millisecond, id: newID()}
				takenBy.set(r.id, v)
				res := c.doAt(v.front(), r)
				l.log.eventAt(res.sent, "poison", res.id, fmt.Sprintf("to %s, status %d, error %v", v.name(), res.status, res.err))
			}
			time.Sleep(poisonGap)
		}
	}()
	time.Sleep(8 * time.Second)
	if os.Getenv("LAB_ROLL") != "0" {
		for _, v := range l.fleet.vms {
			if err := v.restart(); err != nil {
				return false, err
			}
			time.Sleep(rollGap)
		}
	} else {
		time.Sleep(70 * time.Second)
	}
	time.Sleep(10 * time.Second)
	stop.Store(true)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	return l.poisonedRetries(crashes, takenBy), nil
}

// takers holds which machine took each request from its client.
type takers struct {
	mu sync.Mutex
	vm map[string]*vm
}

func (t *takers) set(id string, v *vm) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vm[id] = v
}

func (t *takers) get(id string) *vm {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vm[id]
}

// poisonedRetries counts the client attempts that reached servers, sent by machines in
// touch, later than stableWindow after the third crash. An attempt that reached two
// servers counts once.
func (l *lab) poisonedRetries(crashes []time.Time, takenBy *takers) bool {
	l.log.say("%d crashes of servers", len(crashes))
	if len(crashes) < 3 {
		return false
	}
	after := crashes[2].Add(stableWindow)
	attempts := map[string]bool{}
	all := 0
	for _, a := range l.arrived.list() {
		if a.path != poisonPath {
			continue
		}
		all++
		v := takenBy.get(a.id)
		inTouch := v != nil && v.calmAt(a.at)
		l.log.eventAt(a.at, "reached", a.id, fmt.Sprintf("%s from %s, in touch %v", a.server, v.name(), inTouch))
		if inTouch && a.at.After(after) {
			attempts[a.id] = true
		}
	}
	l.log.say("BUDGET: the request reached servers %d times; %d attempts did so later than %v after the third crash (second %.1f), sent by machines in touch; allowed %d",
		all, len(attempts), stableWindow, l.log.seconds(crashes[2]), allowedRetries)
	return len(attempts) > allowedRetries
}
