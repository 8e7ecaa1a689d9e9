// Package logsink writes log lines without ever blocking the code that logs. Lines
// beyond a rate or a full buffer are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the volume of a process.
	linesPerSecond = 100
	// lineBurst is the number of lines at once.
	lineBurst = 400
	// bufferedLines wait for a slow reader of the log.
	bufferedLines = 512
)

// Sink is an io.Writer of whole lines. Create it with New.
type Sink struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to out on its own goroutine.
func New(out io.Writer) *Sink {
	s := &Sink{
		out:   out,
		limit: rate.NewLimiter(linesPerSecond, lineBurst),
		lines: make(chan []byte, bufferedLines),
		done:  make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limit.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Close writes what is queued and ends the sink. No Write may follow.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	reported := int64(0)
	for line := range s.lines {
		if n := s.dropped.Load(); n > reported {
			line = append(fmt.Appendf(nil, `{"level":"warn","msg":"log lines dropped","count":%d,"total":%d}`+"\n", n-reported, n), line...)
			reported = n
		}
		// A closed standard output leaves nobody to tell.
		_, _ = s.out.Write(line)
	}
}
