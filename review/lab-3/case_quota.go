package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["quota"] = playQuota }

const (
	quotaFirst = 9 // machines that run from the start, the seeds among them
	quotaAdded = 6 // machines that are added
	// The limit of the tenant and the bounds of the rule QUOTA.
	quotaRate, quotaBurst = 20.0, 40.0
	quotaWindow           = 5 * time.Second
	quotaOverage          = 0.25
	quotaSlack            = 20
	// quotaDemand is how many requests a second the tenant sends.
	quotaDemand = 160
)

// playQuota lets a tenant send several times its rate while machines are added. With the
// disruption the three machines that the seeds name are down before.
func playQuota(rec *Record, trouble bool) int {
	store, runs := newStore(), &Runs{}
	fleet, err := newFleet(Options{machines: quotaFirst + quotaAdded, memoryMB: 284, fds: 4100, store: serveStore(store), quotaSlack: quotaSlack})
	if err != nil {
		return notRun(rec, err)
	}
	defer fleet.close()
	const key = "2b9wu3fexd9dnn2ctnfz"
	putConfig(store, 1, []map[string]any{tenant("huka270", key, quotaRate, quotaBurst)}, []map[string]any{
		route("r-book", "unsafe", "/pufi791/", "huvo11a", 2500),
	}, "huvo11a")
	for i := range 12 {
		s := &Server{id: fmt.Sprintf("i-%d", i), service: "huvo11a", slots: 3, runs: runs, work: func() time.Duration { return 20 * time.Millisecond }}
		if err := startServer(s, fleet.address(), store); err != nil {
			return notRun(rec, err)
		}
	}
	first, added := fleet.machines[:quotaFirst], fleet.machines[quotaFirst:]
	if err := startAll(first); err != nil {
		return notRun(rec, err)
	}
	if err := awaitReady(first, 20*time.Second); err != nil {
		return notRun(rec, err)
	}
	rec.add("%d machines are ready", quotaFirst)
	callers := startCallers(rec, fleet, key, quotaDemand)
	time.Sleep(8 * time.Second)
	if trouble {
		for _, m := range first[:seeds] {
			m.kill()
			rec.add("%s, a seed, is down", m.name)
		}
	}
	time.Sleep(2 * time.Second)
	if err := startAll(added); err != nil {
		return notRun(rec, err)
	}
	rec.add("%d machines are added", quotaAdded)
	time.Sleep(25 * time.Second)
	callers.stop()
	sentAt, statuses := callers.sent()
	var all []quotaRun
	for _, run := range runs.list() {
		sent, ok := sentAt[run.id]
		rec.add("ran %s of tenant %s at %s, sent at %.3f, arrived at %.3f", run.id, run.tenant, run.server, sent.Sub(rec.start).Seconds(), run.at.Sub(rec.start).Seconds())
		if ok {
			all = append(all, quotaRun{sent, run.at})
		}
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most, at := busiest(all, quotaWindow)
	rec.say("answers by status: %v", statuses)
	rec.say("busiest %v from %.1f s: %d requests of the tenant ran, the rule allows %.0f", quotaWindow, at.Sub(rec.start).Seconds(), most, bound)
	if len(all) == 0 {
		return notRun(rec, fmt.Errorf("no request was served"))
	}
	if float64(most) > bound {
		return exitBroken
	}
	return exitHeld
}

// quotaRun is a request that ran.
type quotaRun struct{ sent, arrived time.Time }

// busiest returns the largest number of requests that were both sent and run in one span, and
// the start of it.
func busiest(all []quotaRun, span time.Duration) (most int, at time.Time) {
	for _, first := range all {
		n := 0
		for _, r := range all {
			if !r.sent.Before(first.sent) && r.arrived.Sub(first.sent) < span {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}

// Callers are clients that send requests of one tenant at a steady rate.
type Callers struct {
	rec     *Record
	fleet   *Fleet
	key     string
	stopped chan struct{}
	done    sync.WaitGroup

	mu       sync.Mutex
	sentAt   map[string]time.Time
	statuses map[string]int
}

// startCallers starts clients that send perSecond requests together.
func startCallers(rec *Record, fleet *Fleet, key string, perSecond int) *Callers {
	c := &Callers{rec: rec, fleet: fleet, key: key, stopped: make(chan struct{}), sentAt: map[string]time.Time{}, statuses: map[string]int{}}
	const clients = 40
	for i := range clients {
		c.done.Go(func() { c.run(i, time.Duration(clients)*time.Second/time.Duration(perSecond)) })
	}
	return c
}

// run asks up to three machines for addresses, nearest first, and uses them for the time of
// the answer.
func (c *Callers) run(i int, gap time.Duration) {
	transport := newTransport()
	var addresses []string
	var asked time.Time
	tick := time.NewTicker(gap)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-c.stopped:
			return
		case <-tick.C:
		}
		if len(addresses) == 0 || time.Since(asked) > time.Second {
			for k := range 3 {
				m := c.fleet.machines[(i*7+n+k*5)%len(c.fleet.machines)]
				if got := resolve(m); len(got) > 0 {
					addresses, asked = got, time.Now()
					break
				}
			}
		}
		if len(addresses) == 0 {
			continue
		}
		q := Request{id: newID(), method: "POST", path: fmt.Sprintf("/pufi791/%d-%d", i, n), body: "book", key: c.key, deadline: 2500 * time.Millisecond}
		front := addresses[(i+n)%len(addresses)]
		c.mu.Lock()
		c.sentAt[q.id] = time.Now()
		c.mu.Unlock()
		c.done.Go(func() {
			a := send(transport, front, q)
			status := fmt.Sprint(a.status)
			if a.err != nil {
				status = "none"
			}
			c.rec.add("%s %s to %s: status %s", q.id, q.path, front, status)
			c.mu.Lock()
			c.statuses[status]++
			c.mu.Unlock()
		})
	}
}

func (c *Callers) stop() {
	close(c.stopped)
	c.done.Wait()
}

func (c *Callers) sent() (map[string]time.Time, map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAt, c.statuses
}
