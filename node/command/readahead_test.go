package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pipelined returns the text of a request that a caller sends behind others.
func pipelined(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, testKey, len(body), body)
}

// dialCaller connects to the server under test.
func (f *harness) dialCaller() net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a request that runs to its end although its caller has closed the connection,
// because another request was sent behind it meanwhile.
func TestCloseBehindPipelinedRequestEndsTheRun(t *testing.T) {
	started, ended := make(chan struct{}, 4), make(chan time.Time, 4)
	f := startHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		select {
		case <-r.Context().Done():
		case <-time.After(4 * time.Second):
		}
		ended <- time.Now()
	})
	c := f.dialCaller()
	write(c, pipelined("GET", "/get/slow", ""))
	<-started
	write(c, pipelined("GET", "/get/behind", ""))
	time.Sleep(50 * time.Millisecond)
	closedAt := time.Now()
	_ = c.Close()
	if took := (<-ended).Sub(closedAt); took > 100*time.Millisecond {
		t.Errorf("the target ran the request for %v after the caller had closed, want at most 100 ms", took)
	}
	if len(started) > 0 {
		t.Error("the request behind the abandoned one ran too")
	}
}

// Guards against answers to pipelined requests that are lost, mixed up or out of order, with
// requests split at any byte and bodies that look like requests.
func TestPipelinedAnswersKeepTheirOrder(t *testing.T) {
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	})
	var sent strings.Builder
	var want []string
	for i := range 20 {
		body := ""
		if i%3 == 0 {
			body = pipelined("GET", "/get/inner", "")
		}
		path := fmt.Sprintf("/get/%d", i)
		sent.WriteString(pipelined("PUT", path, body))
		want = append(want, path+" "+body)
	}
	c := f.dialCaller()
	go func() {
		text := sent.String()
		for len(text) > 0 {
			n := min(len(text), 37)
			write(c, text[:n])
			text = text[n:]
			time.Sleep(time.Millisecond)
		}
	}()
	in := bufio.NewReader(c)
	for i, w := range want {
		a := receive(http.ReadResponse(in, nil))
		if a.body != w {
			t.Fatalf("answer %d is %q, error %v, want %q", i, a.body, a.err, w)
		}
	}
}

// Guards against a caller that fills the memory by sending requests without reading answers.
func TestReadAheadIsBounded(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	c := newReadAheadConn(server)
	defer c.Close()
	go func() {
		block := make([]byte, 1<<10)
		for {
			if _, err := client.Write(block); err != nil {
				return
			}
		}
	}()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	c.mu.Lock()
	buffered := len(c.buf)
	c.mu.Unlock()
	if buffered > maxReadAhead+4<<10 {
		t.Errorf("%d bytes were read ahead, want at most %d and one block", buffered, maxReadAhead)
	}
	got := 0
	for buf := make([]byte, 4<<10); got < 4*maxReadAhead; {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatalf("after %d bytes: %v", got, err)
		}
		got += n
	}
}

// Guards against a deadline of one Read that ends the connection for later ones.
func TestReadAheadSurvivesDeadline(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	c := newReadAheadConn(server)
	defer c.Close()
	send := func(text string) { go write(client, text) }
	send("a")
	one := make([]byte, 1)
	if _, err := c.Read(one); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := c.Read(one); err == nil {
		t.Fatal("no error after the deadline")
	}
	_ = c.SetReadDeadline(time.Time{})
	send("b")
	if n, err := c.Read(one); n != 1 || one[0] != 'b' {
		t.Errorf("got %d bytes %q and error %v after the deadline, want b", n, one, err)
	}
	if c.closed.Err() != nil {
		t.Error("a deadline counts as a close by the caller")
	}
}

// Guards against requests behind the last answer of a VM that stops: they count as not read, so
// none of them may run.
func TestRequestsBehindLastAnswerDoNotRun(t *testing.T) {
	started := make(chan string, 8)
	f := startHarness(t, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	c := f.dialCaller()
	write(c, pipelined("POST", "/post/1", "")+pipelined("POST", "/post/2", ""))
	<-started
	f.server.DisableKeepAlives()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	if a := receive(http.ReadResponse(in, nil)); a.body != "done" || !a.Close {
		t.Errorf("got body %q, Connection: close %t, error %v, want the complete last answer", a.body, a.Close, a.err)
	}
	if len(started) > 0 {
		t.Errorf("the request %s ran behind the last answer", <-started)
	}
}
