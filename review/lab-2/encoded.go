package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["encoded-slash"] = encodedSlash }

const (
	// lostFor is how long servers lose answers, lostOf of how many requests each loses one.
	lostFor = 4 * time.Second
	lostOf  = 20
	// bookings is how many requests of each kind are sent meanwhile.
	bookings = 900
)

// encodedSlash sends unsafe requests whose path has an encoded slash while servers lose answers.
// The path begins with the prefix of the unsafe route; only after decoding does it begin with
// that of the safe one.
func encodedSlash(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, "zone-a", "zone-b", "zone-c")
	if err != nil {
		return false, err
	}
	defer f.stop()
	routes := []route{
		{name: "r-book", kind: "unsafe", prefix: "/book/", service: "citas", timeoutMs: 3000, targetMs: 500, attempt: 2, priority: 1},
		{name: "r-list", kind: "safe", prefix: "/book/list/", service: "citas", timeoutMs: 3000, targetMs: 500, attempt: 2, priority: 1},
	}
	f.store.put("op/config", configuration(7, routes, []tenant{{name: "shop", keys: []string{"2b9wu3fexd9dnn2ctnfz"}, rate: 1000, burst: 1000}}, "citas"))
	var mu sync.Mutex
	losing := false
	var servers []*server
	for i := range 6 {
		s, err := newServer(f, fmt.Sprintf("i-%d", i+1), "citas", fmt.Sprintf("%s.%d:8080", f.net, 101+i), f.zones[i%3], 3)
		if err != nil {
			return false, err
		}
		if i%2 == 0 { // half of the servers
			seen := 0
			s.behave = func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool {
				mu.Lock()
				lose := false
				if losing {
					seen++
					lose = seen%lostOf == 0
				}
				mu.Unlock()
				if !lose || !s.begin(r) {
					return false
				}
				defer func() { <-s.free }()
				s.run(r, body)
				time.Sleep(s.work(r))
				rec.logf("server %s loses its answer to %s", s.id, r.Header.Get("Request-Id"))
				panic(http.ErrAbortHandler)
			}
		}
		servers = append(servers, s)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	losing = trouble
	mu.Unlock()
	rec.logf("for %v half of the servers lose the answer of one in %d of the requests that they run: %t", lostFor, lostOf, trouble)
	time.AfterFunc(lostFor, func() {
		mu.Lock()
		losing = false
		mu.Unlock()
		rec.logf("no answer is lost from now on")
	})
	c := newClient(rec, "2b9wu3fexd9dnn2ctnfz")
	var wg sync.WaitGroup
	encoded, plain := make([]string, bookings), make([]string, bookings)
	for i := range bookings {
		for _, kind := range []struct {
			ids  []string
			path string
		}{{encoded, fmt.Sprintf("/book/list%%2F%d", i)}, {plain, fmt.Sprintf("/book/%d", i)}} {
			id := newID()
			kind.ids[i] = id
			wg.Go(func() { c.send(f.machines[i%3].front(), "POST", kind.path, id, 3*time.Second, "x") })
		}
		time.Sleep(lostFor / bookings)
	}
	wg.Wait()
	twice := func(ids []string) int {
		n := 0
		for _, id := range ids {
			runs := 0
			for _, s := range servers {
				runs += s.ran(id)
			}
			if runs > 1 {
				rec.logf("%s ran %d times", id, runs)
				n++
			}
		}
		return n
	}
	if countRuns(servers) < bookings {
		return false, fmt.Errorf("fewer than half of the requests were run")
	}
	doubled, control := twice(encoded), twice(plain)
	rec.logf("of %d unsafe requests with an encoded slash, %d ran twice; of %d without one, %d", bookings, doubled, bookings, control)
	return doubled+control > 0, nil
}

// countRuns returns how many requests the servers have run.
func countRuns(servers []*server) int {
	n := 0
	for _, s := range servers {
		s.mu.Lock()
		n += len(s.runs)
		s.mu.Unlock()
	}
	return n
}
