package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["denied"] = struct {
		vms   int
		zones []string
		run   func(*lab) (bool, error)
	}{4, []string{"zone-a", "zone-b"}, runDenied}
}

const (
	// deniedSlack and deniedShare: DENIED allows 5 and one in 500 of all requests.
	deniedSlack = 5
	deniedShare = 1.0 / 500
	// deniedClients is the number of clients, each with one kept connection.
	deniedClients = 8
	deniedTime    = 60 * time.Second
	// cores is how many cores a machine exposes.
	cores = 2
)

// runDenied: the machines expose several cores (TROUBLE=0: one), and clients send their next
// request on a kept connection as soon as they have the answer to the last one.
func runDenied(l *lab) (bool, error) {
	const key = "k-tenant-one-0123456789"
	l.store.put("op/config", baseConfig(3, tenant{Name: "tenant-one", ApiKeys: []string{key}}))
	for i := range 16 {
		cfg := serverConfig{
			service: "stock", ip: l.base + ".200", zone: l.fleet.zones[i%2], slots: 3, queue: 12,
			work: func(string) time.Duration { return time.Duration(5+rand.Intn(40)) * time.Millisecond },
		}
		if _, err := startServer(cfg, l.store, l.arrived); err != nil {
			return false, err
		}
	}
	l.fleet.cores = 1
	if l.trouble {
		l.fleet.cores = cores
	}
	if n, err := strconv.Atoi(os.Getenv("LAB_CORES")); err == nil {
		l.fleet.cores = n
	}
	if err := l.fleet.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	d := &keptClients{lab: l, key: key, n: map[string]int{}}
	for i := range deniedClients {
		d.running.Add(1)
		go d.run(newClient(l.fleet, l.fleet.zones[i%2], true))
	}
	time.Sleep(deniedTime)
	d.stop.Store(true)
	d.running.Wait()
	all := 0
	for outcome, n := range d.n {
		all += n
		l.log.say("%d requests: %s", n, outcome)
	}
	allowed := deniedSlack + deniedShare*float64(all)
	l.log.say("DENIED: %d of %d proper requests ended with a 4xx of the machine's own; allowed %.0f", d.denied, all, allowed)
	return float64(d.denied) > allowed, nil
}

// keptClients are clients that keep one connection each and send the next request when
// they have the answer to the last one.
type keptClients struct {
	lab     *lab
	key     string
	stop    atomic.Bool
	running sync.WaitGroup

	mu     sync.Mutex
	n      map[string]int
	denied int
}

func (d *keptClients) run(c *client) {
	defer d.running.Done()
	var conn net.Conn
	var answers *bufio.Reader
	for !d.stop.Load() {
		if conn == nil {
			address := c.address()
			next, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				c.forget(address)
				time.Sleep(50 * time.Millisecond)
				continue
			}
			conn, answers = next, bufio.NewReader(next)
		}
		if !d.send(conn, answers) {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// send sends one booking of 5,000 to 15,000 bytes and reads its answer. It returns false
// if the connection must not be used again.
func (d *keptClients) send(conn net.Conn, answers *bufio.Reader) (reusable bool) {
	id := newID()
	body := strings.Repeat("b", 5000+rand.Intn(10000))
	head := fmt.Sprintf("PUT /book/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		id, host, id, d.key, len(body))
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, head+body); err != nil {
		d.record(id, len(body), "connection broken while the request was sent", "", err.Error())
		return false
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		d.record(id, len(body), "connection broken without an answer", "", err.Error())
		return false
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		d.record(id, len(body), "answer not complete", "", err.Error())
		return false
	}
	d.record(id, len(body), "status "+strconv.Itoa(resp.StatusCode), resp.Header.Get("Server-Signature"), string(text[:min(len(text), 120)]))
	return !resp.Close
}

// record counts an outcome. A 4xx other than 408, 421 and 429 without a server's
// signature is the machine's own.
func (d *keptClients) record(id string, size int, outcome, signature, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.n[outcome]++
	if strings.HasPrefix(outcome, "status 4") && signature == "" && outcome != "status 408" && outcome != "status 421" && outcome != "status 429" {
		d.denied++
	}
	if outcome != "status 200" {
		d.lab.log.event("failed", id, fmt.Sprintf("%d bytes, %s, %s", size, outcome, detail))
		return
	}
	d.lab.log.event("served", id, "")
}
