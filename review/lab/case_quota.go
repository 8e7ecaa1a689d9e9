package main

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["quota"] = struct {
		vms   int
		zones []string
		run   func(*lab) (bool, error)
	}{6, []string{"zone-a", "zone-b", "zone-c"}, runQuota}
}

// The tenant's quota and the bound of QUOTA over QuotaWindowS.
const (
	quotaRate   = 40
	quotaBurst  = 40
	quotaWindow = 5 * time.Second
	quotaBound  = (quotaRate*5+quotaBurst)*1.25 + 20
)

// runQuota: all machines lose power at the same moment. Three are back after half a
// second, and find the three machines of their seeds still down.
func runQuota(l *lab) (bool, error) {
	const key = "k-tenant-one-0123456789"
	l.store.put("op/config", baseConfig(3, tenant{Name: "tenant-one", ApiKeys: []string{key}, RatePerS: quotaRate, Burst: quotaBurst}))
	for i := range 16 {
		cfg := serverConfig{
			service: "stock", ip: l.base + ".200", zone: l.fleet.zones[i%3], slots: 3, queue: 12,
			work: func(string) time.Duration { return 20 * time.Millisecond },
		}
		if _, err := startServer(cfg, l.store, l.arrived); err != nil {
			return false, err
		}
	}
	if err := l.fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	sent := &sentTimes{at: map[string]time.Time{}}
	var stop atomic.Bool
	var clients sync.WaitGroup
	statuses := &counts{n: map[string]int{}}
	for i := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := newClient(l.fleet, l.fleet.zones[i%3], true)
			for !stop.Load() {
				r := request{method: "GET", path: "/read/" + newID(), key: key, deadline: 2 * time.Second, id: newID()}
				sent.set(r.id)
				res := c.do(r)
				statuses.add(fmt.Sprint(res.status))
				l.log.eventAt(res.sent, "sent", r.id, fmt.Sprintf("to %s, status %d, error %v", res.address, res.status, res.err))
				time.Sleep(60 * time.Millisecond)
			}
		}()
	}
	time.Sleep(6 * time.Second)
	if l.trouble {
		for _, v := range l.fleet.vms {
			v.signal(syscall.SIGKILL)
		}
		for _, v := range l.fleet.vms {
			v.wait(time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		for _, v := range l.fleet.vms[3:] {
			if err := v.start(); err != nil {
				return false, err
			}
		}
		// SeedLagS later the settings files name machines that run; no signal is sent.
		time.Sleep(3 * time.Second)
		l.fleet.seeds = []int{3, 4, 5}
		for _, v := range l.fleet.vms[3:] {
			if err := v.writeSettings(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(16 * time.Second)
	stop.Store(true)
	clients.Wait()
	for status, n := range statuses.n {
		l.log.say("%d requests ended with status %s", n, status)
	}
	return l.overQuota(sent), nil
}

// overQuota returns whether in some window more requests than the bound were both sent
// and arrived at a server that ran them.
func (l *lab) overQuota(sent *sentTimes) bool {
	type span struct{ sent, arrived time.Time }
	var ran []span
	for _, a := range l.arrived.list() {
		if at, ok := sent.get(a.id); ok && a.ran {
			ran = append(ran, span{at, a.at})
		}
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i].sent.Before(ran[j].sent) })
	most, worst := 0, time.Time{}
	for i, first := range ran {
		n := 0
		for _, x := range ran[i:] {
			if x.arrived.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, worst = n, first.sent
		}
	}
	l.log.say("QUOTA: at most %d requests of the tenant ran in 5 s, from second %.1f; allowed %.0f", most, l.log.seconds(worst), quotaBound)
	return float64(most) > quotaBound
}

// sentTimes holds when each request was sent.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *sentTimes) set(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[id] = time.Now()
}

func (s *sentTimes) get(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[id]
	return at, ok
}

// counts counts by name.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n[name]++
}
