package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

func start(t *testing.T, c Config) (*Target, *httptest.Server) {
	tg := New(c)
	s := httptest.NewUnstartedServer(tg.Handler())
	s.Config.ConnState = tg.trackConn
	s.Start()
	t.Cleanup(s.Close)
	return tg, s
}

func send(url, id, body string) (status int, shed string, err error) {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set(HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(HeaderShed), err
}

// Guards against injected faults that do not affect requests.
func TestEachFaultAffectsRequests(t *testing.T) {
	tg, s := start(t, Config{MedianServiceTime: time.Millisecond})
	cases := []struct {
		name   string
		fault  Fault
		status int
		fails  bool
	}{
		{"healthy", Fault{}, 200, false},
		{"error", Fault{ErrorPercent: 100}, 500, false},
		{"truncated", Fault{TruncatePercent: 100}, 200, true},
		{"closed", Fault{ClosePercent: 100}, 0, true},
		{"crash", Fault{CrashMarker: "boom"}, 0, true},
	}
	for _, c := range cases {
		tg.SetFault(c.fault)
		status, _, err := send(s.URL+"/x?bytes=100000", c.name, "boom")
		if status != c.status || (err != nil) != c.fails {
			t.Errorf("fault %s: got status %d, error %v", c.name, status, err)
		}
	}
	tg.SetFault(Fault{SlowFactor: 100})
	begin := time.Now()
	_, _, _ = send(s.URL, "slow", "")
	if took := time.Since(begin); took < 100*time.Millisecond {
		t.Errorf("slow request: got %s, want at least 100 times 1 ms", took)
	}
}

// Guards against a second run or a leaked workspace key that is not counted.
func TestDuplicateRunsAndLeakedKeysAreCounted(t *testing.T) {
	tg, s := start(t, Config{MedianServiceTime: time.Millisecond, Keys: []string{"secret-1"}})
	for range 2 {
		if _, _, err := send(s.URL, "same", "text secret-1 text"); err != nil {
			t.Fatal(err)
		}
	}
	if st := tg.Stats(); st.Runs != 2 || st.Duplicates != 1 || st.KeysSeen != 2 {
		t.Fatalf("got %+v, want 2 runs, 1 duplicate and 2 keys", st)
	}
}

// Guards against a cold target that can handle any load, and against a full queue
// whose refusals lack the shed header.
func TestColdOverloadAndShed(t *testing.T) {
	tg, s := start(t, Config{MedianServiceTime: 50 * time.Millisecond, ColdRamp: time.Hour, Slots: 2, Queue: 1})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sheds := 0
	for range 6 {
		wg.Go(func() {
			status, shed, err := send(s.URL, "", "")
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status == 503 && shed == ShedNotRun {
				sheds++
			}
		})
	}
	wg.Wait()
	if st := tg.Stats(); st.ColdOverloads == 0 || sheds != 3 || st.Shed != 3 {
		t.Fatalf("got %d refusals with the shed header and %+v; want 3 refusals, 3 counted as shed, and a cold overload", sheds, st)
	}
}

// Guards against a late copy that is not the former answer of its connection, and against
// a crash that does not reset connections.
func TestLateCopyOfTheFormerAnswer(t *testing.T) {
	tg := New(Config{MedianServiceTime: time.Millisecond})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	running.Go(func() { _ = tg.Serve(ctx, l) })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	exchange := func(id string, f Fault, want ...string) {
		tg.SetFault(f)
		_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: x\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", HeaderRequestID, id)
		for _, w := range want {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if got := fmt.Sprint(resp.Header.Get(HeaderRequestID), " ", resp.StatusCode, " ", resp.Header.Get(HeaderShed)); got != w {
				t.Errorf("request %s: got answer %q, want %q", id, got, w)
			}
		}
	}
	exchange("a", Fault{ShedPercent: 100, LateCopyPercent: 100}, "a 503 not-run")
	exchange("b", Fault{LateCopyPercent: 100}, "a 503 not-run", "b 200 ")
	exchange("c", Fault{}, "c 200 ")
	if st := tg.Stats(); st.Runs != 2 || st.Shed != 1 || st.LateCopies != 1 {
		t.Errorf("got %+v, want 2 runs, 1 shed request and 1 late copy", st)
	}
	tg.Crash()
	if _, err := answers.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read after a crash: got %v, want a reset", err)
	}
}
