package logsink

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// Guards against logging that blocks requests while the log is not read, and against lines
// that are dropped without being counted and reported.
func TestSinkNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := New(out)
	began := time.Now()
	const lines = 4 * lineBurst
	for range lines {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Fatalf("%v for %d lines, want at most 1 s", took, lines)
	}
	if s.Dropped() == 0 {
		t.Fatal("no line was dropped while the writer was blocked")
	}
	close(out.release)
	s.Close()
	text := out.String()
	if kept := strings.Count(text, "line\n"); int64(kept)+s.Dropped() != lines || !strings.Contains(text, "log lines dropped") {
		t.Fatalf("%d lines written and %d dropped, want %d in total and a line about the drops", kept, s.Dropped(), lines)
	}
}
