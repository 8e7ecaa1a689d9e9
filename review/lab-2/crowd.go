package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["crowd-evicts"] = crowdEvicts }

const (
	// uploadBytes is the size of each body: a twentieth of MaxBodyBytes.
	uploadBytes = 3 << 20
	// uploaders is how many ordinary clients of one tenant send such bodies.
	uploaders = 12
	// crowdTenants and crowdConns are the tenants whose clients form the crowd, and the
	// connections of each.
	crowdTenants, crowdConns = 8, 4
	uploadTime               = 12 * time.Second
	// retryPause is how long an ordinary client waits after a refusal or a failure.
	retryPause = 500 * time.Millisecond
	// The crowd sends its bodies in small pieces. All of them together use a third of the link.
	pieceBytes, piecePause = 64 << 10, 50 * time.Millisecond
)

// crowdEvicts lets ordinary clients of one tenant send bodies, while a crowd of clients of other
// tenants sends bodies of the same size that stop short of their end.
func crowdEvicts(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, "zone-a", "zone-b", "zone-c")
	if err != nil {
		return false, err
	}
	defer f.stop()
	routes := []route{{name: "r-book", kind: "unsafe", prefix: "/book/", service: "citas", timeoutMs: 3000, targetMs: 1500, attempt: 2, priority: 1}}
	tenants := []tenant{{name: "ordinary", keys: []string{"key-of-ordinary-clients"}, rate: 200, burst: 200}}
	for i := range crowdTenants {
		tenants = append(tenants, tenant{name: fmt.Sprintf("crowd-%d", i), keys: []string{fmt.Sprintf("key-of-crowd-%d-clients", i)}, rate: 200, burst: 200})
	}
	f.store.put("op/config", configuration(7, routes, tenants, "citas"))
	var servers []*server
	for i := range 8 {
		s, err := newServer(f, fmt.Sprintf("i-%d", i+1), "citas", fmt.Sprintf("%s.%d:8080", f.net, 101+i), f.zones[i%3], 3)
		if err != nil {
			return false, err
		}
		s.work = func(*http.Request) time.Duration { return time.Second }
		servers = append(servers, s)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m := f.machines[0]
	end := time.Now().Add(uploadTime)
	var wg sync.WaitGroup
	var cut, answered, refused atomic.Int32
	body := strings.Repeat("b", uploadBytes)
	for range uploaders {
		wg.Go(func() {
			c := newClient(rec, "key-of-ordinary-clients")
			kept := false
			for time.Now().Before(end) {
				r := c.send(m.front(), "POST", "/book/1", newID(), 3*time.Second, body)
				runs := 0
				for _, s := range servers {
					runs += s.ran(r.id)
				}
				switch {
				case r.err == nil && r.status == 200:
					answered.Add(1)
				case r.err == nil:
					refused.Add(1)
				case kept && runs > 0:
					rec.logf("%s: a server runs it, and its kept connection was closed without an answer", r.id)
					cut.Add(1)
				}
				kept = r.err == nil
				if r.err != nil || r.status != 200 {
					time.Sleep(retryPause)
				}
			}
		})
	}
	if trouble {
		time.Sleep(3 * time.Second)
		for i := range crowdTenants {
			for range crowdConns {
				wg.Go(func() {
					for time.Now().Before(end) {
						sendHalf(rec, m.front(), fmt.Sprintf("key-of-crowd-%d-clients", i), end)
					}
				})
			}
		}
	}
	wg.Wait()
	alive := m.running()
	rec.logf("ordinary clients: %d answered with 200, %d with a refusal or failure, %d kept connections closed without an answer; machine alive: %t, peak of its memory %d of %d MB", answered.Load(), refused.Load(), cut.Load(), alive, m.peakMB(), f.memoryMB)
	if answered.Load() == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return cut.Load() > 3 || !alive, nil
}

// sendHalf sends a request whose body stops short of its end and waits until the connection ends.
func sendHalf(rec *record, address, key string, end time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	id := newID()
	rec.logf("the crowd sends %s, a body of %d bytes less its last byte", id, uploadBytes)
	_, err = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", host, id, key, uploadBytes)
	for left := uploadBytes - 1; left > 0 && err == nil; left -= pieceBytes {
		_, err = io.WriteString(conn, strings.Repeat("c", min(left, pieceBytes)))
		time.Sleep(piecePause)
	}
	if err == nil {
		status, _ := bufio.NewReader(conn).ReadString('\n')
		rec.logf("the crowd gets %q to %s", strings.TrimSpace(status), id)
		_, _ = io.Copy(io.Discard, conn)
	}
	time.Sleep(200 * time.Millisecond)
}
