package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["encoding"] = playEncoding }

const (
	encodingServers  = 4
	encodingClients  = 8
	encodingRequests = 150 // of each client
	// The dose of garble in the site file: this share of the answers of half of the servers.
	garbledServers = 2
	garbledShare   = 0.05
)

// spoiled is what a faulty server sends in place of its body.
const spoiled = "\x1f\x8b\x08\x00bytes that are not the body"

// playEncoding sends requests of clients that ask for bodies without any encoding. With the
// disruption half of the servers garble some of their answers: these have a Content-Encoding.
func playEncoding(rec *Record, trouble bool) int {
	store, runs := newStore(), &Runs{}
	fleet, err := newFleet(Options{machines: 3, memoryMB: 284, fds: 4100, store: serveStore(store), quotaSlack: 20})
	if err != nil {
		return notRun(rec, err)
	}
	defer fleet.close()
	putConfig(store, 1, []map[string]any{tenant("huka270", "2b9wu3fexd9dnn2ctnfz", 0, 0)}, []map[string]any{
		route("r-read", "safe", "/lohu930/", "huvo11a", 2500), route("r-book", "unsafe", "/pufi791/", "huvo11a", 2500),
	}, "huvo11a")
	for i := range encodingServers {
		s := &Server{id: fmt.Sprintf("i-%d", i), service: "huvo11a", slots: 3, runs: runs, work: func() time.Duration { return 20 * time.Millisecond }}
		if trouble && i < garbledServers {
			s.fault = func(w http.ResponseWriter, r *http.Request) bool {
				if rand.Float64() >= garbledShare {
					return false
				}
				rec.add("%s garbles its answer to %s", s.id, r.Header.Get(headerID))
				w.Header().Set("Content-Encoding", "gzip")
				_, _ = io.WriteString(w, spoiled)
				return true
			}
		}
		if err := startServer(s, fleet.address(), store); err != nil {
			return notRun(rec, err)
		}
	}
	if err := startAll(fleet.machines); err != nil {
		return notRun(rec, err)
	}
	if err := awaitReady(fleet.machines, 20*time.Second); err != nil {
		return notRun(rec, err)
	}
	time.Sleep(2 * time.Second)
	var counts encodingCounts
	var clients sync.WaitGroup
	for range encodingClients {
		clients.Go(func() { counts.client(rec, fleet) })
	}
	clients.Wait()
	for _, run := range runs.list() {
		rec.add("ran %s %s %s at %s", run.id, run.method, run.path, run.server)
	}
	rec.say("%d answers with the server's body, %d successes with other bytes, %d failures", counts.good, counts.wrong, counts.failed)
	switch {
	case counts.good == 0:
		return notRun(rec, fmt.Errorf("no request was served"))
	case counts.wrong > 0:
		return exitBroken
	}
	return exitHeld
}

// encodingCounts counts answers.
type encodingCounts struct {
	mu                  sync.Mutex
	good, wrong, failed int
}

// client sends requests one after the other, on kept connections.
func (c *encodingCounts) client(rec *Record, fleet *Fleet) {
	transport := newTransport()
	for n := range encodingRequests {
		q := Request{id: newID(), method: "GET", key: "2b9wu3fexd9dnn2ctnfz", deadline: 2500 * time.Millisecond,
			header: map[string]string{"Accept-Encoding": "identity"}}
		q.path = "/lohu930/" + q.id
		if n%2 == 1 {
			q.method, q.path, q.body = "POST", "/pufi791/"+q.id, "book"
		}
		front := fleet.machines[rand.IntN(len(fleet.machines))].front()
		a := send(transport, front, q)
		rec.add("%s %s to %s: status %d, encoding %q, signature %q, body %q, error %v", q.method, q.path, front, a.status, a.header.Get("Content-Encoding"), a.header.Get(headerSignature), a.body, a.err)
		c.count(a, q.id)
	}
}

func (c *encodingCounts) count(a Answer, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case a.err != nil || a.status >= 300:
		c.failed++
	case isBody(a.body, id):
		c.good++
	default:
		c.wrong++
	}
}

// isBody reports whether body is that of a server's answer to the request.
func isBody(body, id string) bool {
	for i := range encodingServers {
		if body == bodyOf(fmt.Sprintf("i-%d", i), id) {
			return true
		}
	}
	return false
}
