// Package logsink writes log lines without ever blocking the code that logs. Lines that
// exceed a rate limit, or that arrive while the buffer is full, are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// linesPerSecond limits the log volume of a process.
	linesPerSecond = 100
	// lineBurst is the number of lines that may be logged at once.
	lineBurst = 400
	// bufferedLines is the number of lines that are buffered for a slow reader of the log.
	bufferedLines = 512
)

// Sink is an io.Writer that takes one complete line per Write. It is safe for concurrent
// use until Close. Create it with New.
type Sink struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that writes to out in a goroutine of its own.
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

// Write queues one line or drops it. It never blocks and never returns an error.
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

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 {
	return s.dropped.Load()
}

// Close writes the queued lines and stops the sink. Write must not be called afterwards.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

// run writes queued lines, preceded by a line with the number of dropped lines after lines
// were dropped.
func (s *Sink) run() {
	defer close(s.done)
	reported := int64(0)
	for line := range s.lines {
		if n := s.dropped.Load(); n > reported {
			line = append(fmt.Appendf(nil, `{"level":"warn","msg":"log lines dropped","count":%d,"total":%d}`+"\n", n-reported, n), line...)
			reported = n
		}
		// When the output is closed there is no place to report the error.
		_, _ = s.out.Write(line)
	}
}
