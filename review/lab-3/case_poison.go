package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["crash-in-answer"] = func(rec *Record, trouble bool) int {
		return playCrash(rec, trouble, crashCase{
			method: "GET", crashing: "/lohu930/report", ordinary: "/pufi791/", gap: 3 * time.Second, answers: true,
			servers: 12, clients: 32,
		})
	}
	cases["crash-by-query"] = func(rec *Record, trouble bool) int {
		return playCrash(rec, trouble, crashCase{
			method: "POST", crashing: "/pufi791/hold?slot=none", ordinary: "/pufi791/hold?slot=", gap: 5 * time.Second,
			servers: 12, clients: 32,
		})
	}
	cases["crash-of-the-only-server"] = func(rec *Record, trouble bool) int {
		return playCrash(rec, trouble, crashCase{
			method: "POST", crashing: "/pufi791/hold/none", ordinary: "/pufi791/hold/", gap: 5 * time.Second,
			servers: 1, clients: 2, sameAddress: true,
		})
	}
}

// crashCase is a request that crashes each server that runs it, beside ordinary requests.
type crashCase struct {
	method, crashing string        // method and request target of the crashing request
	ordinary         string        // the start of the request targets of the ordinary ones, which are POST
	gap              time.Duration // after which the crashing request comes again
	answers          bool          // a server crashes in the middle of its answer, else before it
	servers, clients int
	sameAddress      bool // a server comes back at the address that it had
}

const (
	crashWork  = 160 * time.Millisecond // of a server on a request, as for fitting-booking on the sheet
	crashPause = 60 * time.Millisecond  // of a client between two ordinary requests
	crashBack  = 3 * time.Second        // after which a crashed server is back
	crashLasts = 45 * time.Second
	// silenceEnds is the time after which the store removes the entry of a server that is silent.
	silenceEnds = 3 * 1500 * time.Millisecond
	// The bounds of the rule BUDGET.
	crashWindow  = 3 * time.Second
	crashRetries = 3
)

// crashes are the times of all crashes.
type crashes struct {
	mu  sync.Mutex
	all []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, time.Now())
}

func (c *crashes) list() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.all...)
}

// crashingServers are servers of which each one ends when it runs the crashing request, and is
// back, with a new id, after crashBack.
type crashingServers struct {
	rec     *Record
	store   *Store
	runs    *Runs
	play    crashCase
	trouble bool // false: the request crashes no server
	crashes crashes

	mu      sync.Mutex
	started int
}

// start starts one server at address; port 0 is any free one.
func (c *crashingServers) start(address string) error {
	c.mu.Lock()
	c.started++
	id := fmt.Sprintf("i-%d", c.started)
	c.mu.Unlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &Server{id: id, service: "huvo11a", slots: 3, runs: c.runs, work: func() time.Duration { return crashWork }}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	process := &http.Server{Handler: s}
	var once sync.Once
	s.fault = func(w http.ResponseWriter, r *http.Request) bool {
		if !c.trouble || r.URL.RequestURI() != c.play.crashing {
			return false
		}
		if c.play.answers {
			_, _ = w.Write([]byte("answer of"))
			_ = http.NewResponseController(w).Flush()
		}
		once.Do(func() { c.crash(s, process, address) })
		return true
	}
	go func() { _ = process.Serve(l) }()
	s.register(c.store, "ready")
	return nil
}

// crash ends the server with all of its connections.
func (c *crashingServers) crash(s *Server, process *http.Server, address string) {
	if c.play.sameAddress {
		address = s.address
	}
	c.crashes.add()
	c.rec.add("%s crashes", s.id)
	_ = process.Close()
	time.AfterFunc(silenceEnds, func() { c.store.Delete("servers/" + s.id) })
	time.AfterFunc(crashBack, func() {
		if err := c.start(address); err != nil {
			c.rec.add("a server is not back: %v", err)
		}
	})
}

// playCrash sends ordinary requests and a request that comes again at any machine and, with the
// disruption, crashes each server that runs it. No machine and no store is disturbed, so all
// machines are in touch.
func playCrash(rec *Record, trouble bool, play crashCase) int {
	store, runs := newStore(), &Runs{}
	fleet, err := newFleet(Options{machines: 4, memoryMB: 284, fds: 4100, store: serveStore(store), quotaSlack: 20})
	if err != nil {
		return notRun(rec, err)
	}
	defer fleet.close()
	const key = "2b9wu3fexd9dnn2ctnfz"
	putConfig(store, 1, []map[string]any{tenant("huka270", key, 0, 0)}, []map[string]any{
		route("r-read", "safe", "/lohu930/", "huvo11a", 2500), route("r-book", "unsafe", "/pufi791/", "huvo11a", 2500),
	}, "huvo11a")
	servers := &crashingServers{rec: rec, store: store, runs: runs, play: play, trouble: trouble}
	for range play.servers {
		if err := servers.start(fleet.address() + ":0"); err != nil {
			return notRun(rec, err)
		}
	}
	if err := startAll(fleet.machines); err != nil {
		return notRun(rec, err)
	}
	if err := awaitReady(fleet.machines, 20*time.Second); err != nil {
		return notRun(rec, err)
	}
	time.Sleep(5 * time.Second)
	var counts crashCounts
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	for range play.clients {
		clients.Go(func() { counts.client(rec, fleet, play, key, stopped) })
	}
	time.Sleep(2 * time.Second)
	crashing := map[string]bool{}
	transport := newTransport()
	for end := time.Now().Add(crashLasts); time.Now().Before(end); time.Sleep(play.gap) {
		q := Request{id: newID(), method: play.method, path: play.crashing, key: key, deadline: 2500 * time.Millisecond}
		crashing[q.id] = true
		front := fleet.machines[rand.IntN(len(fleet.machines))].front()
		a := send(transport, front, q)
		rec.add("crashing request %s %s %s to %s: status %d, error %v", q.id, q.method, q.path, front, a.status, a.err)
	}
	close(stopped)
	clients.Wait()
	return counts.judge(rec, runs.list(), crashing, servers.crashes.list())
}

// crashCounts counts the answers to ordinary requests.
type crashCounts struct {
	mu                      sync.Mutex
	served, refused, failed int
}

// client sends ordinary requests on kept connections until stopped is closed.
func (c *crashCounts) client(rec *Record, fleet *Fleet, play crashCase, key string, stopped <-chan struct{}) {
	transport := newTransport()
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return
		case <-time.After(crashPause):
		}
		q := Request{id: newID(), method: "POST", path: fmt.Sprintf("%s%d", play.ordinary, n), key: key, deadline: 2500 * time.Millisecond}
		front := fleet.machines[rand.IntN(len(fleet.machines))].front()
		a := send(transport, front, q)
		c.count(a)
		rec.add("%s %s %s to %s: status %d, body %q, error %v", q.id, q.method, q.path, front, a.status, a.body, a.err)
	}
}

func (c *crashCounts) count(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.err == nil && a.status == http.StatusOK:
		c.served++
	case a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
		c.refused++
	default:
		c.failed++
	}
}

// judge counts the client attempts of the crashing request that reached servers later than
// crashWindow after the third crash. An attempt that reached two servers counts once.
func (c *crashCounts) judge(rec *Record, runs []Run, crashing map[string]bool, crashed []time.Time) int {
	retries, reached := map[string]bool{}, 0
	for _, run := range runs {
		kind := "ran"
		if crashing[run.id] {
			kind = "crashing request reached"
			reached++
			if len(crashed) >= 3 && run.at.After(crashed[2].Add(crashWindow)) {
				retries[run.id] = true
			}
		}
		rec.add("%s %s %s %s at %s, tenant %s, at %.3f", kind, run.id, run.method, run.path, run.server, run.tenant, run.at.Sub(rec.start).Seconds())
	}
	rec.say("ordinary requests: %d served, %d refused, %d failed", c.served, c.refused, c.failed)
	rec.say("%d crashes; %d client attempts of the crashing request, which reached servers %d times", len(crashed), len(crashing), reached)
	rec.say("%d of them reached servers later than %v after the third crash, the rule allows %d", len(retries), crashWindow, crashRetries)
	switch {
	case c.served == 0:
		return notRun(rec, fmt.Errorf("no request was served"))
	case len(retries) > crashRetries:
		return exitBroken
	}
	return exitHeld
}
