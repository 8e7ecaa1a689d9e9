package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened to record.txt, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) seconds(at time.Time) float64 { return at.Sub(r.start).Seconds() }

func (r *record) event(kind, subject, detail string) { r.eventAt(time.Now(), kind, subject, detail) }

func (r *record) eventAt(at time.Time, kind, subject, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %-8s %s %s\n", r.seconds(at), kind, subject, detail)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.event("note", line, "")
	fmt.Println(line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
