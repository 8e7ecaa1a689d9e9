// Package platform is a stand-in for the platform service, for tests and demos.
// It serves values that clients read and watch over HTTP, limits the reads per
// second, and has admin endpoints that publish tickets and VM lists and inject
// outages and stale reads.
//
// Like the platform, it checks only the sizes of values and that ticket numbers
// and list versions increase; it does not validate the content of documents.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// value is a stored value with the revision at which it was written. It is
// immutable.
type value struct {
	raw      []byte
	revision uint64
}

// store holds the values and the injected faults.
type store struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]value
	changed  chan struct{}

	// index is the latest published index; lastTicketDigest is the digest of its
	// ticket, by which a repeated publication is recognized.
	index               *document.Index
	lastTicketDigest    string
	acceptedListVersion uint64

	outageMode  OutageMode
	outageUntil time.Time
	// frozenValues is what staleReaders read until staleUntil.
	frozenValues map[string]value
	staleReaders map[string]bool
	staleUntil   time.Time
}

func newStore() *store {
	return &store{values: map[string]value{}, changed: make(chan struct{})}
}

// put stores a value under a new revision. The caller holds mu.
func (s *store) put(key string, raw []byte) {
	s.revision++
	s.values[key] = value{raw: raw, revision: s.revision}
}

// notify wakes all watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the value that reader gets at now, whether the key exists, and a
// channel that is closed at the next change of any value.
func (s *store) get(key, reader string, now time.Time) (v value, ok bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := s.values
	if s.staleReaders[reader] && now.Before(s.staleUntil) {
		values = s.frozenValues
	}
	v, ok = values[key]
	return v, ok, s.changed
}

// publish stores the documents of t and then the index, so that each document
// that the index lists can be read. A repetition of the latest ticket has no
// effect; any other ticket whose number is not greater is refused.
func (s *store) publish(t *document.TicketFile) error {
	raw, err := json.Marshal(t)
	if err != nil {
		return trace.Wrap(err)
	}
	digest := document.Digest(raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.index != nil && t.Ticket == s.index.Ticket && digest == s.lastTicketDigest {
		return nil
	}
	if s.index != nil && t.Ticket <= s.index.Ticket {
		return trace.CompareFailed("ticket %d is not greater than %d", t.Ticket, s.index.Ticket)
	}
	index, _ := t.Apply(s.index, nil)
	indexRaw, err := json.Marshal(index)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(indexRaw) > document.MaxValueBytes {
		return trace.LimitExceeded("index too large: got %d bytes, at most %d are allowed", len(indexRaw), document.MaxValueBytes)
	}
	for _, e := range index.Documents {
		if e.Ticket == t.Ticket {
			s.put(e.Key(), t.Documents[e.Name])
		}
	}
	s.put("index", indexRaw)
	s.index, s.lastTicketDigest = index, digest
	s.notify()
	return nil
}

// setList accepts a list and makes it visible to readers after lag. A list whose
// version is not greater than that of the last accepted one is refused.
func (s *store) setList(l *member.List, lag time.Duration) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(raw) > document.MaxValueBytes {
		return trace.LimitExceeded("VM list too large: got %d bytes, at most %d are allowed", len(raw), document.MaxValueBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Version <= s.acceptedListVersion {
		return trace.CompareFailed("list version %d is not greater than %d", l.Version, s.acceptedListVersion)
	}
	s.acceptedListVersion = l.Version
	if lag <= 0 {
		s.put("vms", raw)
		s.notify()
		return nil
	}
	time.AfterFunc(lag, func() { s.makeListVisible(l.Version, raw) })
	return nil
}

// makeListVisible stores a list unless the stored one is as new or newer: lists
// with different lags may become visible out of order.
func (s *store) makeListVisible(version uint64, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var shown member.List
	if v, ok := s.values["vms"]; ok {
		if err := json.Unmarshal(v.raw, &shown); err == nil && shown.Version >= version {
			return
		}
	}
	s.put("vms", raw)
	s.notify()
}

// setOutage makes the platform unavailable in the given mode for d.
func (s *store) setOutage(mode OutageMode, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageMode, s.outageUntil = mode, time.Now().Add(d)
	s.notify()
}

// outage returns the outage mode at now and the end of the outage. It returns
// Available and now when there is none.
func (s *store) outage(now time.Time) (mode OutageMode, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outageMode == Available || !now.Before(s.outageUntil) {
		return Available, now
	}
	return s.outageMode, s.outageUntil
}

// setStale makes the given readers get, for d, the values at the time of the call,
// whatever is published meanwhile.
func (s *store) setStale(readers []string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenValues = make(map[string]value, len(s.values))
	for k, v := range s.values {
		s.frozenValues[k] = v
	}
	s.staleReaders = make(map[string]bool, len(readers))
	for _, r := range readers {
		s.staleReaders[r] = true
	}
	s.staleUntil = time.Now().Add(d)
}

// writeError answers with an error and the HTTP status of its class.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case trace.IsBadParameter(err):
		status = http.StatusBadRequest
	case trace.IsCompareFailed(err):
		status = http.StatusConflict
	case trace.IsLimitExceeded(err):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, trace.UserMessage(err), status)
}
