package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// applyBound is the time after the acknowledgement of a change by which each
	// connected VM must have applied it; readBound is the same where documents are read
	// one by one.
	applyBound = 2 * time.Second
	readBound  = 3 * time.Second
	// connectedAfter is how long a VM must have run with access to the platform to
	// count as connected.
	connectedAfter = 3 * time.Second
)

// change is a published ticket with the time of its acknowledgement.
type change struct {
	ticket uint64
	at     time.Time
}

// fleetTrial is a randomised run of VMs that manage their list themselves. It checks at
// each step that each connected VM has applied each change in time.
type fleetTrial struct {
	*sim
	changes []change
	// lastBlocked holds when each VM last ran without access to the platform.
	lastBlocked map[string]time.Time
	// partition holds the network partition of each VM; VMs of different partitions
	// cannot reach each other.
	partition map[string]int
	// reported holds the delays that were added to problems already.
	reported map[string]bool
	// applyLimit is applyBound or readBound.
	applyLimit time.Duration
	// receiveNothing holds the VMs that send, but receive nothing from other VMs.
	receiveNothing map[string]bool
	// worstDelay is the longest time for which a connected VM lacked a change. lastFault
	// describes the last injected fault.
	worstDelay time.Duration
	lastFault  string

	problems []string
}

func newFleetTrial(seed uint64, n int, inline bool) *fleetTrial {
	t := &fleetTrial{sim: newSim(seed, n), lastBlocked: map[string]time.Time{}, partition: map[string]int{}, reported: map[string]bool{}, receiveNothing: map[string]bool{}}
	t.selfManaged, t.inlineDocuments, t.applyLimit = true, inline, applyBound
	if !inline {
		t.applyLimit = readBound
	}
	t.loss, t.fetchLoss, t.maxDelay = 0.01, 0.01, 50*time.Millisecond
	t.disconnected = func(a, b *simVM) bool { return t.partition[a.id] != t.partition[b.id] || t.receiveNothing[b.id] }
	t.publish()
	for _, v := range t.vms {
		t.restart(v)
	}
	t.advanceChecked(8 * time.Second)
	return t
}

// publish publishes a configuration change.
func (t *fleetTrial) publish() {
	ticket := t.platform.publish(map[string]json.RawMessage{"domains": domains("in"), "workspaces/a": workspaces(len(t.changes) + 1)})
	t.changes = append(t.changes, change{ticket, t.now})
}

// advanceChecked advances by d and checks the fleet after each step.
func (t *fleetTrial) advanceChecked(d time.Duration) {
	for end := t.now.Add(d); t.now.Before(end); {
		t.advance(step)
		t.check()
	}
}

// firstMissing returns the first change that a VM lacks; ok is false when it has all.
func (t *fleetTrial) firstMissing(v *simVM) (c change, ok bool) {
	i := slices.IndexFunc(t.changes, func(c change) bool { return c.ticket > v.machine.snapshot.Ticket() })
	if i < 0 {
		return change{}, false
	}
	return t.changes[i], true
}

func (t *fleetTrial) check() {
	for _, v := range t.vms {
		if v.view != fresh {
			t.lastBlocked[v.id] = t.now
		}
		since := t.now.Sub(later(t.lastBlocked[v.id], v.machine.start))
		due, ok := t.firstMissing(v)
		if since <= connectedAfter || !v.machine.ready || !ok {
			continue
		}
		age := t.now.Sub(due.at)
		t.worstDelay = max(t.worstDelay, age)
		if key := fmt.Sprint(v.id, v.incarnation, due.ticket); age > t.applyLimit && !t.reported[key] {
			t.reported[key] = true
			t.problems = append(t.problems, fmt.Sprintf("%v: %s (role %v) has ticket %d, want at least %d, which was acknowledged %v ago; last fault: %s",
				t.now.Sub(t.start), v.id, v.machine.Role(), v.machine.snapshot.Ticket(), due.ticket, age, t.lastFault))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// faultTargets returns a random share of the VMs, or the VMs that currently read the
// platform.
func (t *fleetTrial) faultTargets() []*simVM {
	if t.rand.IntN(2) == 0 {
		var readers []*simVM
		for _, v := range t.vms {
			if v.machine.Role() == Watcher {
				readers = append(readers, v)
			}
		}
		return readers
	}
	all := slices.Clone(t.vms)
	t.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:1+t.rand.IntN(len(all)/2)]
}

// injectFault starts a fault of a random kind on random VMs.
func (t *fleetTrial) injectFault() {
	affected := t.faultTargets()
	kind := []string{"refused by platform", "silent", "disconnected from peers", "disconnected from peers, platform hanging", "deaf", "killed"}[t.rand.IntN(6)]
	t.lastFault = fmt.Sprintf("%d VMs %s at %v", len(affected), kind, t.now.Sub(t.start))
	for _, v := range affected {
		switch kind {
		case "refused by platform":
			v.view = refusing
		case "silent":
			v.view = hanging
		case "disconnected from peers":
			t.partition[v.id] = 1
		case "disconnected from peers, platform hanging":
			t.partition[v.id], v.view = 1, hanging
		case "deaf":
			t.receiveNothing[v.id] = true
		case "killed":
			t.restart(v)
		}
	}
}

func (t *fleetTrial) clearFaults() {
	clear(t.partition)
	clear(t.receiveNothing)
	t.setAllViews(fresh)
}

// runFleetTrial injects faults at the time of a change, with single changes and with
// changes in quick succession.
func runFleetTrial(seed uint64, inline bool) *fleetTrial {
	t := newFleetTrial(seed, 20, inline)
	for range 8 {
		t.publish()
		if t.rand.IntN(2) == 0 {
			t.injectFault()
			t.advanceChecked(time.Duration(t.rand.IntN(6)) * step)
			t.publish()
		}
		t.injectFault()
		t.advanceChecked(time.Duration(t.rand.IntN(6)) * step)
		pause := time.Duration(2+t.rand.IntN(30)) * step
		for end := t.now.Add(time.Duration(2+t.rand.IntN(7)) * time.Second); t.now.Before(end); {
			t.publish()
			t.advanceChecked(pause)
		}
		t.clearFaults()
		t.advanceChecked(time.Duration(t.rand.IntN(8)) * time.Second)
	}
	return t
}

// Guards against changes that are applied too late because readers lose the platform or
// the other VMs at the time of a change.
func TestChangesAreInForceInTimeWhileReadersFail(t *testing.T) {
	for _, inline := range []bool{true, false} {
		t.Run(fmt.Sprintf("documents with the index %t", inline), func(t *testing.T) { checkFleetTrials(t, inline) })
	}
}

func checkFleetTrials(t *testing.T, inline bool) {
	t.Helper()
	runs, first := *runsFlag, uint64(1)
	if *seedFlag != 0 {
		runs, first = 1, *seedFlag
	}
	worst := time.Duration(0)
	for seed := first; seed < first+uint64(runs); seed++ {
		trial := runFleetTrial(seed, inline)
		worst = max(worst, trial.worstDelay)
		for _, p := range trial.problems[:min(3, len(trial.problems))] {
			t.Errorf("seed %d: %s; replay: go test ./core/config -run ReadersFail -config.seed=%d", seed, p, seed)
		}
	}
	t.Logf("seeds %d to %d, worst %v", first, first+uint64(runs)-1, worst)
}
