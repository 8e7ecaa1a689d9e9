package config

import (
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// Division of the platform's read limit among the readers, without coordination.
const (
	// fleetReadsPerSecond is nine tenths of the platform's limit of 2,000 reads/s.
	fleetReadsPerSecond = 1800
	// watchReadsPerSecond is the number of reads per second that the two watches of a
	// reader cost.
	watchReadsPerSecond = 4
	// readSharesPerCell is the number of shares into which a cell's document reads are
	// divided: each of the three readers can use up a burst and the refill of one
	// second within the same second.
	readSharesPerCell = 2 * Readers
)

// documentRate returns the number of documents that one reader may read per second, and
// in a burst, in a fleet of n VMs.
func documentRate(n int) float64 {
	cells := float64(member.CellCount(n))
	remaining := fleetReadsPerSecond - cells*Readers*watchReadsPerSecond
	return max(1, remaining/(cells*readSharesPerCell))
}

// startupRateShare is the share of its rate that a VM uses while VMs that started at
// the same time read the VM list.
const startupRateShare = 0.5

// readLimiter is a token bucket for document reads. Its rate follows the number of VMs.
type readLimiter struct {
	tokens float64
	last   time.Time
}

// take takes one token and reports whether one was available.
func (l *readLimiter) take(now, start time.Time, vms int) bool {
	rate := documentRate(vms)
	if now.Sub(start) < startupReadSpread+time.Second {
		rate = max(1, rate*startupRateShare)
	}
	if l.last.IsZero() {
		l.tokens = rate
	} else {
		l.tokens = min(rate, l.tokens+rate*now.Sub(l.last).Seconds())
	}
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// maxRefusals bounds the number of refused contents that are remembered.
const maxRefusals = 64

// refusal identifies a refused content.
type refusal struct {
	ticket uint64
	digest uint32
}

// refusals records refused contents, so that they are neither fetched nor reported
// again. The oldest one is dropped first.
type refusals struct {
	known map[refusal]bool
	order []refusal
}

func newRefusals() refusals {
	return refusals{known: map[refusal]bool{}}
}

func (r *refusals) has(ticket uint64, digest uint32) bool {
	return r.known[refusal{ticket, digest}]
}

// add records a content and reports whether it is new.
func (r *refusals) add(ticket uint64, digest uint32) bool {
	k := refusal{ticket, digest}
	if r.known[k] {
		return false
	}
	if len(r.order) >= maxRefusals {
		delete(r.known, r.order[0])
		r.order = r.order[1:]
	}
	r.known[k] = true
	r.order = append(r.order, k)
	return true
}
