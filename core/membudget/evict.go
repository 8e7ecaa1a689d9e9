package membudget

import (
	"slices"
	"time"
)

// evictionSlack is the part of a limit that is freed beyond a demand while connections are
// stalled, so that a flood does not cause an eviction for each of its connections.
const evictionSlack = 16

// demand is what an account needs in addition to what it holds.
type demand struct {
	bytes       int64
	connections int
}

// fits reports whether d fits under the limits less slack of each.
func (b *Budget) fits(d demand, slackBytes int64, slackConnections int) bool {
	return b.bytes+d.bytes <= b.limits.Bytes-slackBytes &&
		len(b.accounts)+d.connections <= b.limits.Connections-slackConnections
}

// makeRoom closes accounts until d fits and reports whether it does. It never closes the
// account of the requester.
func (b *Budget) makeRoom(requester *Account, d demand, now time.Time) (evicted []*Account, ok bool) {
	if b.fits(d, 0, 0) {
		return nil, true
	}
	if d.bytes > b.limits.Bytes || d.connections > b.limits.Connections {
		return nil, false
	}
	evicted, ok = b.evictStalled(requester, d, now)
	for !ok {
		victim := b.chooseVictim(requester, d)
		if victim == requester {
			return evicted, false
		}
		b.Close(victim)
		evicted = append(evicted, victim)
		ok = b.fits(d, 0, 0)
	}
	return evicted, true
}

// evictStalled closes stalled accounts, those without progress for longest first, until d
// fits with some slack, and reports whether d fits.
func (b *Budget) evictStalled(requester *Account, d demand, now time.Time) (evicted []*Account, ok bool) {
	if b.fits(d, 0, 0) {
		return nil, true
	}
	var stalled []*Account
	for _, a := range b.accounts {
		if a != requester && a.stalled(now) {
			stalled = append(stalled, a)
		}
	}
	slices.SortFunc(stalled, func(x, y *Account) int { return x.progress.Compare(y.progress) })
	for _, a := range stalled {
		if b.fits(d, b.limits.Bytes/evictionSlack, b.limits.Connections/evictionSlack) {
			break
		}
		b.Close(a)
		evicted = append(evicted, a)
	}
	return evicted, b.fits(d, 0, 0)
}

// stalled reports whether the caller has made no progress for longer than its phase allows.
func (a *Account) stalled(now time.Time) bool {
	switch a.phase {
	case Running:
		return false
	case Idle:
		return now.Sub(a.progress) > idleGrace
	}
	return now.Sub(a.progress) > activeGrace
}

// chooseVictim returns the account to close for d: the first to close of the holder that holds
// most, among the holders that hold more than the requester's with d. If there is none it is that
// of the requester's holder, and the requester itself if that has none either.
func (b *Budget) chooseVictim(requester *Account, d demand) *Account {
	byConnections := len(b.accounts)+d.connections > b.limits.Connections
	first := b.firstOfHolders(requester)
	largest, most := requester.holder, weight(requester.holder, byConnections, d.bytes)
	for h := range first {
		w := weight(h, byConnections, 0)
		tied := w == most && largest != requester.holder && h.name < largest.name
		if h != requester.holder && (w > most || tied) {
			largest, most = h, w
		}
	}
	if victim := first[largest]; victim != nil {
		return victim
	}
	return requester
}

// firstOfHolders returns, for each holder, the account to close first for the requester.
func (b *Budget) firstOfHolders(requester *Account) map[*holder]*Account {
	first := map[*holder]*Account{}
	for _, a := range b.accounts {
		if !a.mayCloseFor(requester) {
			continue
		}
		if other := first[a.holder]; other == nil || a.closesBefore(other) {
			first[a.holder] = a
		}
	}
	return first
}

// mayCloseFor reports whether a may be closed to make room for the requester: not with a request
// at a target, and for the same holder only if it is newer and has no complete request.
func (a *Account) mayCloseFor(requester *Account) bool {
	if a.atTargets > 0 || a == requester {
		return false
	}
	return a.holder != requester.holder || a.number > requester.number && a.phase != Running
}

// weight returns what h holds, in connections or in bytes, including an additional demand.
// A requester is already counted in its holder's connections.
func weight(h *holder, byConnections bool, demand int64) int64 {
	if byConnections {
		return int64(h.connections)
	}
	return h.bytes + demand
}

// closesBefore reports whether a is closed before other if both have the same holder: idle ones
// first, those with a complete request last, then the newer one.
func (a *Account) closesBefore(other *Account) bool {
	if x, y := a.phase.cost(), other.phase.cost(); x != y {
		return x < y
	}
	return a.number > other.number
}

// cost ranks the phases by what the caller loses when its connection is closed.
func (p Phase) cost() int {
	switch p {
	case Idle, Unproven:
		return 0
	case Running:
		return 2
	}
	return 1
}
