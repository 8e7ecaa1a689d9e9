package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() {
	cases["gone"] = struct {
		vms   int
		zones []string
		run   func(*lab) (bool, error)
	}{4, []string{"zone-a", "zone-b"}, runGone}
}

const (
	// goneAfter is the time after a close from which a request must not reach a server.
	goneAfter = 500 * time.Millisecond
	// aFew is how many requests may do so: GONE says "more than a few".
	aFew = 5
	// leaveWithin is half of the route's latency objective, as `give_up` has it.
	leaveWithin = 1250 * time.Millisecond
	// reportWork is how long a report takes.
	reportWork = 947 * time.Millisecond
	// usualRate is what each of the two tenants sends, per second.
	usualRate = 6
	// leaveShare is the share of clients that leave, in tenths.
	leaveShare = 2
	// hotFactor is the load of one tenant during `hot_tenant`, as a multiple of its usual.
	hotFactor = 7.5
	// reportBytes is the length of the list for which a report is made. MaxBodyBytes is 64 MB.
	reportBytes = 24 << 10
)

// runGone: one tenant sends many times its usual, so that requests wait, and some clients
// leave meanwhile.
func runGone(l *lab) (bool, error) {
	usual := tenant{Name: "tenant-one", ApiKeys: []string{"k-tenant-one-0123456789"}, Priority: 1}
	hot := tenant{Name: "tenant-two", ApiKeys: []string{"k-tenant-two-0123456789"}, Priority: 1}
	l.store.put("op/config", baseConfig(3, usual, hot))
	size := reportBytes
	if n, err := strconv.Atoi(os.Getenv("LAB_BODY")); err == nil {
		size = n
	}
	for i := range 10 {
		cfg := serverConfig{
			service: "stock", ip: l.base + ".200", zone: l.fleet.zones[i%2], slots: 2, queue: 12,
			work: func(string) time.Duration { return reportWork },
		}
		if _, err := startServer(cfg, l.store, l.arrived); err != nil {
			return false, err
		}
	}
	if err := l.fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	g := &goneClients{lab: l, size: size, closed: &sentTimes{at: map[string]time.Time{}}, statuses: &counts{n: map[string]int{}}}
	for i := range 8 {
		g.clients = append(g.clients, newClient(l.fleet, l.fleet.zones[i%2], false))
	}
	stop := make(chan struct{})
	go g.send(usual.ApiKeys[0], usualRate, stop)
	calm := make(chan struct{})
	go g.send(hot.ApiKeys[0], usualRate, calm)
	time.Sleep(5 * time.Second)
	close(calm)
	factor := 1.0
	if l.trouble {
		factor = hotFactor
		g.setLeaving(true)
	}
	busy := make(chan struct{})
	go g.send(hot.ApiKeys[0], usualRate*factor, busy)
	time.Sleep(6500 * time.Millisecond)
	close(busy)
	time.Sleep(3 * time.Second)
	close(stop)
	g.running.Wait()
	for status, n := range g.statuses.n {
		l.log.say("%d requests ended with status %s", n, status)
	}
	late := 0
	for _, a := range l.arrived.list() {
		at, ok := g.closed.get(a.id)
		if ok && a.at.Sub(at) > goneAfter {
			late++
			l.log.eventAt(a.at, "late", a.id, fmt.Sprintf("reached %s %.0f ms after its client had closed, ran %v, body %d bytes", a.server, a.at.Sub(at).Seconds()*1000, a.ran, a.body))
		}
	}
	l.log.say("GONE: %d of %d requests whose clients left reached a server over %v after the close; allowed %d", late, len(g.closed.at), goneAfter, aFew)
	return late > aFew, nil
}

// goneClients send reports at given rates.
type goneClients struct {
	lab      *lab
	size     int
	clients  []*client
	closed   *sentTimes
	statuses *counts
	running  sync.WaitGroup

	mu      sync.Mutex
	leaving bool
	n       int
}

func (g *goneClients) setLeaving(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = on
}

// send starts perSecond requests a second until stop is closed.
func (g *goneClients) send(key string, perSecond float64, stop chan struct{}) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			g.running.Add(1)
			go g.sendOne(key)
		}
	}
}

func (g *goneClients) sendOne(key string) {
	defer g.running.Done()
	g.mu.Lock()
	g.n++
	c := g.clients[g.n%len(g.clients)]
	leaves := g.leaving && g.n%10 < leaveShare
	g.mu.Unlock()
	r := request{method: "POST", path: "/report/" + newID(), key: key, deadline: 12 * time.Second, body: make([]byte, g.size), id: newID()}
	if leaves {
		r.leaves = time.Duration(rand.Int63n(int64(leaveWithin)))
	}
	res := c.do(r)
	if leaves && res.err != nil {
		g.closed.set(r.id)
		g.lab.log.event("closed", r.id, "")
	}
	g.statuses.add(fmt.Sprint(res.status))
	g.lab.log.eventAt(res.sent, "sent", r.id, fmt.Sprintf("status %d, error %v, %d ms", res.status, res.err, res.took.Milliseconds()))
}
