package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["cold"] = struct {
		vms   int
		zones []string
		run   func(*lab) (bool, error)
	}{4, []string{"zone-a", "zone-b"}, runCold}
}

// FAILBACK: ColdPerS x ColdOverage + ColdSlack requests in one second.
const (
	coldBound = 11*1.5 + 5
	coldStart = 3 * time.Second
	// coldDown is how long a server is down before it returns.
	coldDown = time.Second
)

// runCold: a server ends and starts again under its ID, cold, while the store is down.
func runCold(l *lab) (bool, error) {
	const key = "k-tenant-one-0123456789"
	l.store.put("op/config", baseConfig(3, tenant{Name: "tenant-one", ApiKeys: []string{key}}))
	cfg := serverConfig{
		service: "stock", ip: l.base + ".200", slots: 3, queue: 12,
		work: func(string) time.Duration { return 25 * time.Millisecond },
	}
	var servers []*server
	for i := range 8 {
		c := cfg
		c.zone = l.fleet.zones[i%2]
		s, err := startServer(c, l.store, l.arrived)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := l.fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	sent := &sentTimes{at: map[string]time.Time{}}
	var stop atomic.Bool
	var clients sync.WaitGroup
	for i := range 60 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := newClient(l.fleet, l.fleet.zones[i%2], true)
			for !stop.Load() {
				r := request{method: "GET", path: "/read/" + newID(), key: key, deadline: 2500 * time.Millisecond, id: newID()}
				sent.set(r.id)
				res := c.do(r)
				l.log.eventAt(res.sent, "sent", r.id, fmt.Sprintf("status %d, error %v", res.status, res.err))
				time.Sleep(max(0, 200*time.Millisecond-res.took))
			}
		}()
	}
	time.Sleep(5 * time.Second)
	var back []*server
	if l.trouble {
		if os.Getenv("LAB_STORE") == "" {
			l.store.setServes(func(string) bool { return false })
		}
		l.log.event("store", "down", "")
		time.Sleep(200 * time.Millisecond)
		for _, s := range servers[:2] {
			s.crash()
			l.log.event("end", s.id, "")
		}
		time.Sleep(coldDown)
		for _, s := range servers[:2] {
			c := s.cfg
			c.id, c.address, c.cold = s.id, s.address, coldStart
			again, err := startServer(c, l.store, l.arrived)
			if err != nil {
				return false, err
			}
			l.log.event("back", again.id, "cold")
			back = append(back, again)
		}
		time.Sleep(3300 * time.Millisecond)
		l.store.setServes(nil)
		l.log.event("store", "up", "")
	}
	time.Sleep(5 * time.Second)
	stop.Store(true)
	clients.Wait()
	return l.overCold(back, sent), nil
}

// overCold returns whether a cold server got more requests in one second than the bound.
func (l *lab) overCold(back []*server, sent *sentTimes) bool {
	broken := false
	for _, s := range back {
		type span struct{ sent, arrived time.Time }
		var all []span
		for _, a := range l.arrived.list() {
			at, ok := sent.get(a.id)
			if ok && a.server == s.id && a.at.UnixMilli() >= s.born && a.at.Before(s.coldUntil) {
				all = append(all, span{at, a.at})
				l.log.eventAt(a.at, "cold", a.id, "reached "+s.id)
			}
		}
		sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
		most, worst := 0, time.Time{}
		for i, first := range all {
			n := 0
			for _, x := range all[i:] {
				if x.arrived.Sub(first.sent) <= time.Second {
					n++
				}
			}
			if n > most {
				most, worst = n, first.sent
			}
		}
		l.log.say("FAILBACK: cold server %s got at most %d requests in 1 s, from second %.1f; allowed %.1f", s.id, most, l.log.seconds(worst), coldBound)
		broken = broken || float64(most) > coldBound
	}
	return broken
}
