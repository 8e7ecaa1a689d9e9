package config

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

var (
	seedFlag = flag.Uint64("config.seed", 0, "run only this seed")
	runsFlag = flag.Int("config.runs", 20, "number of randomised runs")
)

func domains(state string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"kind":"domains","domains":[{"name":"d","state":%q}]}`, state))
}

func workspaces(rate int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"kind":"workspaces","workspaces":[{"id":"w%d","keyDigests":[],"ratePerSecond":%d,"burst":5}]}`, rate, rate))
}

// trial is one randomised run with checks of the applied configurations.
type trial struct {
	*sim
	// lastTicket and incarnation hold the last ticket applied by each VM and the
	// incarnation of the VM that applied it.
	lastTicket  map[string]uint64
	incarnation map[string]int
	// badTickets holds the invalid tickets, badReads the number of document reads of them.
	badTickets map[uint64]bool
	badReads   map[string]int
	// requiredTicket is the ticket that every VM must have applied.
	requiredTicket uint64
	problems       []string
}

func newTrial(seed uint64, d defects) *trial {
	t := &trial{
		sim: newSim(seed, 9), lastTicket: map[string]uint64{}, incarnation: map[string]int{},
		badTickets: map[uint64]bool{}, badReads: map[string]int{},
	}
	t.loss, t.fetchLoss, t.maxDelay, t.defects = 0.15, 0.05, 120*time.Millisecond, d
	t.onEffect, t.onRead = t.checkEffect, t.checkRead
	t.publish(map[string]json.RawMessage{"domains": domains("in"), "workspaces/a": workspaces(1)})
	for _, v := range t.vms {
		t.restart(v)
	}
	t.advance(15 * time.Second)
	return t
}

func (t *trial) publish(docs map[string]json.RawMessage) uint64 { return t.platform.publish(docs) }

func (t *trial) addProblem(format string, args ...any) {
	t.problems = append(t.problems, fmt.Sprintf("%v: ", t.now.Sub(t.start))+fmt.Sprintf(format, args...))
}

// checkEffect asserts that no VM reverts to a lower ticket, applies a bad ticket, or
// starts to serve with a ticket lower than one that every VM must have applied.
func (t *trial) checkEffect(v *simVM, e Effect) {
	if t.incarnation[v.id] != v.incarnation {
		t.incarnation[v.id], t.lastTicket[v.id] = v.incarnation, 0
	}
	switch e.Kind {
	case Applied:
		ticket := e.Snapshot.Ticket()
		if ticket <= t.lastTicket[v.id] {
			t.addProblem("revert: %s went from ticket %d to %d", v.id, t.lastTicket[v.id], ticket)
		}
		if t.badTickets[ticket] {
			t.addProblem("bad ticket %d applied by %s", ticket, v.id)
		}
		t.lastTicket[v.id] = ticket
	case BecameReady:
		if v.machine.snapshot.Ticket() < t.requiredTicket {
			t.addProblem("early: %s starts to serve with ticket %d, want at least %d", v.id, v.machine.snapshot.Ticket(), t.requiredTicket)
		}
	}
}

// checkRead asserts that a VM reads each document of a bad ticket at most once.
func (t *trial) checkRead(v *simVM, key string) {
	_, number, ok := strings.Cut(key, "@")
	var ticket uint64
	if _, err := fmt.Sscan(number, &ticket); !ok || err != nil || !t.badTickets[ticket] {
		return
	}
	id := fmt.Sprintf("%s/%d/%s", v.id, v.incarnation, key)
	if t.badReads[id]++; t.badReads[id] > 1 {
		t.addProblem("repeat: %s read document %s of a refused ticket %d times, want once", v.id, key, t.badReads[id])
	}
}

// injectFaults makes the platform unavailable or stale for some VMs, but leaves one
// reader of the cell an up-to-date view, and returns that reader. It also restarts one
// VM and stops another one from receiving what its peers know. VMs that have just
// started do not act as readers yet, so they are not chosen as the reader.
func (t *trial) injectFaults() *simVM {
	ranked := liveMembers(t.list, member.Rank(t.list, readerKey))
	reader := ranked[t.rand.IntN(Readers)]
	for t.now.Sub(t.byID[reader].machine.start) < 10*time.Second {
		reader = ranked[t.rand.IntN(Readers)]
	}
	t.platform.staleValues = map[string]Value{}
	for k, v := range t.platform.values {
		t.platform.staleValues[k] = v
	}
	for _, v := range t.vms {
		v.view = view(t.rand.IntN(4))
		if v.id == reader {
			v.view = fresh
		}
	}
	t.isolated = nil
	if v := t.vms[t.rand.IntN(len(t.vms))]; v.id != reader {
		t.isolated, v.view = v, refusing
	}
	if v := t.vms[t.rand.IntN(len(t.vms))]; v.id != reader && v != t.isolated {
		t.restart(v)
	}
	return t.byID[reader]
}

// waitForReader waits until the reader has a recent response: a reader that still backs
// off after an outage cannot read yet. This takes at most 3 s, which covers the timeout
// of one read and the longest backoff.
func (t *trial) waitForReader(reader *simVM) {
	limit := t.now.Add(3 * time.Second)
	for t.now.Sub(reader.machine.lastOwnResponse) >= PlatformSilenceTimeout {
		if t.now.After(limit) {
			t.addProblem("absent: reader %s got no response for 3 s from a platform that answers", reader.id)
			return
		}
		t.advance(step)
	}
}

// checkApplied asserts that each VM that is ready has applied at least the given
// ticket.
func (t *trial) checkApplied(ticket uint64) {
	t.requiredTicket = ticket
	for _, v := range t.vms {
		if v != t.isolated && v.machine.ready && v.machine.snapshot.Ticket() < ticket {
			t.addProblem("late: %s has ticket %d, want at least %d, which was published 3 s ago", v.id, v.machine.snapshot.Ticket(), ticket)
		}
	}
}

// publishConflict shows other content under the applied ticket to the readers for 4 s.
func (t *trial) publishConflict() {
	ix := *t.platform.index
	other := document.TicketFile{Ticket: ix.Ticket, Documents: map[string]json.RawMessage{"workspaces/a": workspaces(999)}}
	next, content := other.Apply(&ix, t.platform.content)
	raw, _ := json.Marshal(next)
	old := t.platform.values[indexKey]
	for _, e := range next.Documents {
		t.platform.put(e.Key(), content[e.Name])
	}
	t.platform.put(indexKey, raw)
	t.advance(4 * time.Second)
	for _, e := range t.platform.index.Documents {
		t.platform.put(e.Key(), t.platform.content[e.Name])
	}
	t.platform.put(indexKey, old.Raw)
}

// runTrial runs ten rounds of faults and tickets and returns the violations found.
func runTrial(seed uint64, d defects) []string {
	t := newTrial(seed, d)
	for round := range 10 {
		reader := t.injectFaults()
		t.advance(time.Duration(t.rand.IntN(5000)) * time.Millisecond)
		if t.rand.IntN(3) == 0 {
			t.badTickets[t.platform.index.Ticket+1] = true
			t.publish(map[string]json.RawMessage{"domains": domains("gone")})
			t.advance(time.Duration(t.rand.IntN(40)) * time.Second)
		}
		t.waitForReader(reader)
		docs := map[string]json.RawMessage{"domains": domains("out"), "workspaces/a": workspaces(round + 2)}
		ticket := t.publish(docs)
		t.advance(3 * time.Second)
		t.checkApplied(ticket)
		if v := t.vms[t.rand.IntN(len(t.vms))]; t.isolated != nil && v != reader && v != t.isolated {
			t.restartWith(v, t.isolated.id)
			t.advance(4 * time.Second)
		}
		if t.rand.IntN(3) == 0 {
			t.publishConflict()
		}
	}
	return t.problems
}

// Guards against a VM that reverts, that applies a refused ticket or reads it again, or
// that serves before it knows its peers' ticket, and against a ticket that is not
// applied within 3 s while one reader can read the platform.
func TestRandomisedRuns(t *testing.T) {
	runs, first := *runsFlag, uint64(1)
	if *seedFlag != 0 {
		runs, first = 1, *seedFlag
	}
	for seed := first; seed < first+uint64(runs); seed++ {
		for _, p := range runTrial(seed, defects{}) {
			t.Errorf("seed %d: %s; replay: go test ./core/config -run TestRandomisedRuns -config.seed=%d", seed, p, seed)
		}
	}
	t.Logf("seeds %d to %d", first, first+uint64(runs)-1)
}

// Guards against checks that cannot fail: each injected defect must be caught by the
// check that its case is named after.
func TestDefectsAreCaught(t *testing.T) {
	cases := map[string]defects{
		"revert": {acceptLowerTicket: true},
		"late":   {ignorePeers: true},
		"repeat": {forgetRefused: true},
		"early":  {serveTooEarly: true},
	}
	cases["revert same"] = defects{acceptConflict: true}
	for name, d := range cases {
		t.Run(name, func(t *testing.T) {
			check := strings.Fields(name)[0] + ":"
			for seed := uint64(1); seed <= 20; seed++ {
				for _, p := range runTrial(seed, d) {
					if strings.Contains(p, check) {
						t.Logf("seed %d: %s", seed, p)
						return
					}
				}
			}
			t.Errorf("no check reported defect %s in 20 runs, want at least one report", name)
		})
	}
}
