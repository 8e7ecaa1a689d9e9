package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { scenarios["isolated-shares"] = isolatedShares }

const (
	// isolatedFleet is the number of machines; the first three are the seeds.
	isolatedFleet = 11
	// seedLag is SeedLagS.
	seedLag = 3 * time.Second
	// tenantRate and tenantBurst are the quota of the tenant.
	tenantRate, tenantBurst = 40.0, 40.0
	// perMachine is how many requests of the tenant each machine gets in a second.
	perMachine = 20
)

// isolatedShares kills all processes at once. The seeds do not come back, and the platform then
// names other seeds in the settings files, without a signal.
func isolatedShares(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, isolatedFleet, "zone-a", "zone-b", "zone-c")
	if err != nil {
		return false, err
	}
	defer f.stop()
	routes := []route{{name: "r-book", kind: "unsafe", prefix: "/book/", service: "citas", timeoutMs: 2000, targetMs: 500, attempt: 2, priority: 1}}
	f.store.put("op/config", configuration(7, routes, []tenant{{name: "shop", keys: []string{"2b9wu3fexd9dnn2ctnfz"}, rate: tenantRate, burst: tenantBurst}}, "citas"))
	var servers []*server
	for i := range 8 {
		s, err := newServer(f, fmt.Sprintf("i-%d", i+1), "citas", fmt.Sprintf("%s.%d:8080", f.net, 101+i), f.zones[i%3], 3)
		if err != nil {
			return false, err
		}
		s.work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
		servers = append(servers, s)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	left := f.machines[3:]
	if trouble {
		for _, m := range f.machines {
			m.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range left {
			if err := m.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(seedLag - 500*time.Millisecond)
		f.seeds = []int{3, 4, 5}
		for _, m := range left {
			if _, err := m.writeSettings(); err != nil {
				return false, err
			}
		}
		rec.logf("the settings files name front-4, front-5 and front-6 as seeds from now on; no signal is sent")
	}
	time.Sleep(9 * time.Second)
	for _, m := range left {
		rec.logf("%s: ready %t", m.name, m.ready())
	}
	runs := hotTenant(rec, left, servers, 15*time.Second)
	most, at := busiest(runs, 5*time.Second)
	allowed := (tenantRate*5+tenantBurst)*1.25 + 20
	rec.logf("at most %d requests of the tenant were sent and run in 5 s (from %.3f s on), allowed %.0f", most, at.Sub(rec.start).Seconds(), allowed)
	return float64(most) > allowed, nil
}

// span is a request that ran: when it was sent and when it was answered.
type span struct{ sent, ran time.Time }

// hotTenant sends the requests of one tenant to all machines and returns those that ran.
func hotTenant(rec *record, machines []*machine, servers []*server, lasts time.Duration) []span {
	var mu sync.Mutex
	var runs []span
	var wg sync.WaitGroup
	end := time.Now().Add(lasts)
	for _, m := range machines {
		c := newClient(rec, "2b9wu3fexd9dnn2ctnfz")
		wg.Go(func() {
			for time.Now().Before(end) {
				wg.Go(func() {
					r := c.send(m.front(), "POST", "/book/1", newID(), 2*time.Second, "x")
					for _, s := range servers {
						if s.ran(r.id) > 0 {
							mu.Lock()
							runs = append(runs, span{r.sent, r.sent.Add(r.took)})
							mu.Unlock()
						}
					}
				})
				time.Sleep(time.Second / perMachine)
			}
		})
	}
	wg.Wait()
	return runs
}

// busiest returns the largest number of requests that were both sent and run within a window, and
// its start. A request counts as run when its answer came, which is no earlier.
func busiest(runs []span, window time.Duration) (most int, at time.Time) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.ran.Sub(first.sent) <= window {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}
