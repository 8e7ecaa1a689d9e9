package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/standin/target"
	"github.com/galenasail/galenasail/core/document"
)

// entriesApplied is the time in which most VMs apply the entries of restarted targets.
const entriesApplied = time.Second

var (
	// usualFault is the behavior of all targets while faults are injected.
	usualFault = target.Fault{ShedPercent: 5, LateCopyPercent: 10}
	// restartFault is that of targets with several entries: a refused request is often sent
	// again on a connection that then carries a late copy of the refusal.
	restartFault = target.Fault{ShedPercent: 40, LateCopyPercent: 100}
)

// targetFaultKind is a kind of fault of targets and of the network between VMs and them.
type targetFaultKind struct {
	name string
	// pause is the longest time between two faults of this kind.
	pause  time.Duration
	inject func(tb *testbed, t *testing.T, r *rand.Rand, during time.Duration)
}

// targetFaultKinds lists the faults of targets. The position of a kind is part of the seed
// of its random source.
var targetFaultKinds = []targetFaultKind{
	{"restarts under new IDs", maxFaultPause, func(tb *testbed, t *testing.T, r *rand.Rand, during time.Duration) {
		service := r.IntN(len(tb.deployment.Services))
		tb.restartTargets(t, service)
		time.Sleep(entriesApplied)
		setFaults(tb.targetsOf(service), restartFault)
		time.Sleep(during)
		setFaults(tb.targetsOf(service), usualFault)
		tb.removeFormerEntries(t, service)
	}},
	{"path to targets", maxFaultPause, func(tb *testbed, _ *testing.T, r *rand.Rand, during time.Duration) {
		domain := tb.deployment.Domains[r.IntN(len(tb.deployment.Domains))]
		m := 1 + mode(r.IntN(int(modeCount)-1))
		defer tb.lockPaths(domain)()
		tb.setTargetPaths(domain, m)
		time.Sleep(during)
		tb.setTargetPaths(domain, passing)
	}},
}

// injectTargetFaults injects each kind of target fault again and again, beside the other
// kinds and the faults of VMs. Seeds with the settings for hard load also have the faults
// that belong to it.
func (tb *testbed) injectTargetFaults(t *testing.T, seed uint64, during time.Duration) {
	var running sync.WaitGroup
	defer running.Wait()
	setFaults(tb.targets, usualFault)
	began := time.Now()
	kinds := targetFaultKinds
	if tb.hardLoad {
		kinds = slices.Concat(kinds, hardLoadFaultKinds)
	}
	for i, k := range kinds {
		r := rand.New(rand.NewPCG(seed, uint64(i+1)))
		running.Go(func() {
			for time.Since(began) < during {
				time.Sleep(time.Duration(r.Int64N(int64(k.pause))))
				duration := randomFaultTime(r)
				t.Logf("%6.2f s  %s, %v", time.Since(began).Seconds(), k.name, duration.Round(time.Millisecond))
				k.inject(tb, t, r, duration)
			}
		})
	}
}

func setFaults(targets []*target.Target, f target.Fault) {
	for _, t := range targets {
		t.SetFault(f)
	}
}

// targetsOf returns the targets of a service.
func (tb *testbed) targetsOf(service int) []*target.Target {
	first := 0
	for _, s := range tb.deployment.Services[:service] {
		first += s.Targets
	}
	return tb.targets[first : first+tb.deployment.Services[service].Targets]
}

// targetsIn returns the targets in a failure domain.
func (tb *testbed) targetsIn(domain string) []*target.Target {
	var in []*target.Target
	for i, one := range tb.targets {
		if tb.targetDomains[i] == domain {
			in = append(in, one)
		}
	}
	return in
}

// lockPaths waits until no other fault uses the paths to the targets of a failure domain
// and keeps others from using them until unlock is called.
func (tb *testbed) lockPaths(domain string) (unlock func()) {
	mu := &tb.pathsInUse[slices.Index(tb.deployment.Domains, domain)]
	mu.Lock()
	return mu.Unlock
}

// setTargetPaths sets the mode of the network to the targets of a failure domain.
func (tb *testbed) setTargetPaths(domain string, m mode) {
	for i, p := range tb.targetProxies {
		if tb.targetDomains[i] == domain {
			p.setMode(m)
		}
	}
}

// restartTargets restarts the targets of a service twice, each time under new IDs, which
// are listed beside the former ones at the same addresses.
func (tb *testbed) restartTargets(t *testing.T, service int) {
	for _, one := range tb.targetsOf(service) {
		one.Crash()
	}
	tb.configMu.Lock()
	listed := tb.incarnations[service]
	last := listed[len(listed)-1]
	tb.incarnations[service] = append(listed, last+1, last+2)
	tb.configMu.Unlock()
	tb.publishServices(t)
}

// removeFormerEntries leaves only the newest ID of each target of a service.
func (tb *testbed) removeFormerEntries(t *testing.T, service int) {
	tb.configMu.Lock()
	listed := tb.incarnations[service]
	tb.incarnations[service] = listed[len(listed)-1:]
	tb.configMu.Unlock()
	tb.publishServices(t)
}

func (tb *testbed) publishServices(t *testing.T) {
	tb.configMu.Lock()
	defer tb.configMu.Unlock()
	if err := tb.publish(tb.serviceDocuments()...); err != nil {
		t.Error(err)
	}
}

// serviceDocuments returns the services with an entry for each listed incarnation of each
// target. The caller holds configMu.
func (tb *testbed) serviceDocuments() []deployment.NamedDocument {
	var documents []deployment.NamedDocument
	for i := range tb.deployment.Services {
		doc := tb.deployment.ServiceDocument(i, tb.ports)
		var listed []document.Target
		for _, entry := range doc.Targets {
			id := entry.ID
			for _, n := range tb.incarnations[i] {
				entry.ID = fmt.Sprintf("%s-%d", id, n)
				listed = append(listed, entry)
			}
		}
		doc.Targets = listed
		if tb.hardLoad {
			doc.Placement, doc.GroupByDomain = document.ByHealthEstimate, true
		}
		documents = append(documents, deployment.NamedDocument{Name: "services/" + doc.Name, Document: doc})
	}
	return documents
}

// logTargetFaults logs how often targets refused requests and sent late copies.
func (tb *testbed) logTargetFaults(t *testing.T) {
	shed, copies := 0, 0
	for _, one := range tb.targets {
		s := one.Stats()
		shed += s.Shed
		copies += s.LateCopies
	}
	t.Logf("targets: %d requests refused, %d late copies", shed, copies)
}
