package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["queued-at-sigterm"] = queuedAtSigterm }

// queuedAtSigterm stops a machine while requests wait there for a slot of a server.
func queuedAtSigterm(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, "zone-a", "zone-b", "zone-c")
	if err != nil {
		return false, err
	}
	defer f.stop()
	routes := []route{{name: "r-report", kind: "safe", prefix: "/report/", service: "ledger", timeoutMs: 8000, targetMs: 1200, attempt: 2, priority: 2}}
	f.store.put("op/config", configuration(7, routes, []tenant{{name: "shop", keys: []string{"2b9wu3fexd9dnn2ctnfz"}, rate: 100, burst: 100}}, "ledger"))
	s, err := newServer(f, "i-7f3a91c2", "ledger", f.net+".101:8080", "zone-a", 2)
	if err != nil {
		return false, err
	}
	s.work = func(*http.Request) time.Duration { return 1500 * time.Millisecond }
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := newClient(rec, "2b9wu3fexd9dnn2ctnfz")
	m := f.machines[0]
	if trouble {
		m.signal(syscall.SIGTERM)
	}
	time.Sleep(2700 * time.Millisecond)
	var wg sync.WaitGroup
	results := make([]result, 8)
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = c.send(m.front(), "GET", fmt.Sprintf("/report/%d", i), newID(), 8*time.Second, "")
		}()
	}
	wg.Wait()
	lost := 0
	if countRuns([]*server{s}) == 0 {
		return false, fmt.Errorf("no request was run")
	}
	for _, r := range results {
		if r.err != nil && s.ran(r.id) == 0 {
			rec.logf("%s: the connection ended without an answer %.3f s after the request; no server ran it", r.id, r.took.Seconds())
			lost++
		}
	}
	rec.logf("%d requests lost", lost)
	return lost > 0, nil
}
