package main

import (
	"fmt"
	"time"
)

func init() { scenarios["reserved-prefix"] = reservedPrefix }

// reservedPrefix changes the configuration: the new version withdraws a key and adds a route.
func reservedPrefix(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, "zone-a", "zone-b", "zone-c")
	if err != nil {
		return false, err
	}
	defer f.stop()
	prefix := "/status/"
	if trouble {
		prefix = "/galenasail/"
	}
	book := route{name: "r-book", kind: "unsafe", prefix: "/book/", service: "citas", timeoutMs: 2000, targetMs: 500, attempt: 2, priority: 1}
	added := route{name: "r-added", kind: "safe", prefix: prefix, service: "citas", timeoutMs: 2000, targetMs: 500, attempt: 2, priority: 1}
	const kept, withdrawn = "key-that-stays-valid", "key-that-is-withdrawn"
	tenants := func(keys ...string) []tenant {
		return []tenant{{name: "shop", keys: keys, rate: 200, burst: 200}}
	}
	f.store.put("op/config", configuration(7, []route{book}, tenants(kept, withdrawn), "citas"))
	var servers []*server
	for i := range 3 {
		s, err := newServer(f, fmt.Sprintf("i-%d", i+1), "citas", fmt.Sprintf("%s.%d:8080", f.net, 101+i), f.zones[i%3], 3)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ran := func(id string) bool {
		for _, s := range servers {
			if s.ran(id) > 0 {
				return true
			}
		}
		return false
	}
	before, after := newClient(rec, withdrawn), newClient(rec, kept)
	if r := before.send(f.machines[0].front(), "POST", "/book/1", newID(), 2*time.Second, "x"); r.status != 200 {
		return false, fmt.Errorf("version 7 is not served: status %d", r.status)
	}
	broken := 0
	for version := 8; version <= 9; version++ {
		f.store.put("op/config", configuration(version, []route{book, added}, tenants(kept), "citas"))
		rec.logf("the store acknowledges version %d: it lacks the key %s and has the route %s", version, withdrawn, prefix)
		time.Sleep(3 * time.Second)
		for i := range 15 {
			m := f.machines[i%3]
			if r := before.send(m.front(), "POST", "/book/1", newID(), 2*time.Second, "x"); ran(r.id) {
				rec.logf("%s: run with a key that version %d has dropped", r.id, version)
				broken++
			}
			if r := after.send(m.front(), "GET", prefix+"1", newID(), 2*time.Second, ""); r.status == 404 {
				rec.logf("%s: refused with 404, though the route is there", r.id)
				broken++
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	servers[2].register("draining", 0)
	time.Sleep(3 * time.Second)
	drained := 0
	for i := range 15 {
		if r := after.send(f.machines[i%3].front(), "POST", "/book/1", newID(), 2*time.Second, "x"); servers[2].ran(r.id) > 0 {
			drained++
		}
		time.Sleep(50 * time.Millisecond)
	}
	rec.logf("%d requests were handled as only version 7 allows; %d of 15 reached a server that had been draining for 3 s", broken, drained)
	return broken > 0, nil
}
