package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/fault"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/wire"
)

const (
	// echoFlipPrefix is the path of the route whose kind changes during the run.
	echoFlipPrefix = "/open/"
	// variantSignature is the header that a target sets on its own answers.
	variantSignature = "X-Signed"
)

// echoVariant is a dialect and what it means to targets and callers.
type echoVariant struct {
	dialect    *wire.Dialect
	notRun     string // header line of a target that did not run the request
	signs      bool   // a success needs a signature
	saysNotRun func(a answer) bool
}

func nativeVariant() echoVariant {
	return echoVariant{
		dialect:    wire.Native(),
		notRun:     wire.HeaderShed + ": " + wire.ShedNotRun,
		saysNotRun: func(a answer) bool { return a.Header.Get(wire.HeaderRan) == "no" },
	}
}

// strictVariant is a dialect in which callers choose request IDs and some statuses promise that
// the request never runs.
func strictVariant() echoVariant {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	d := wire.Native()
	d.RequestID, d.Timeout, d.Target = "X-Request", "X-Wait-Ms", "X-Target"
	d.Reserved = []string{d.Target}
	d.IdempotencyKeys, d.AcceptRequestIDs, d.RequireRequestIDEcho, d.AllowCloseDelimited = false, true, true, true
	d.Classify = func(resp *http.Response) wire.ResponseClass {
		switch {
		case resp.StatusCode == http.StatusMisdirectedRequest:
			return wire.Misdirected
		case resp.Header.Get("X-Not-Run") != "":
			return wire.NotRun
		case slices.Contains(promises, resp.StatusCode), resp.StatusCode < 300 && resp.Header.Get(variantSignature) == "":
			return wire.Unverified
		}
		return wire.Answered
	}
	d.Status = func(k fault.Kind) int {
		if k == fault.DeadlineNotRun || k == fault.Poisoned {
			return http.StatusServiceUnavailable
		}
		return k.Answer().Status
	}
	return echoVariant{d, "X-Not-Run: 1", true, func(a answer) bool { return slices.Contains(promises, a.StatusCode) }}
}

// echoKind is the kind of the route that changes. A value is replaced before and after each
// change, so two equal pointers mean that there was none in between.
type echoKind struct{ once, changing bool }

// echoRun is one randomised run.
type echoRun struct {
	f       *harness
	seed    uint64
	variant echoVariant
	ledger  *echoLedger
	targets []*echoTarget
	kind    atomic.Pointer[echoKind]
	base    *document.Snapshot
	revoked *document.Snapshot // base without the key of the callers
	listed  [][]string         // IDs of each target, the newest last
	ids     int
	// stopping is true once the VM shuts down and may refuse connections.
	stopping atomic.Bool
}

// echoIDKey is the key of the request's ID in its context.
type echoIDKey struct{}

func startEchoRun(t *testing.T, seed uint64, variant echoVariant) *echoRun {
	run := &echoRun{seed: seed, variant: variant, ledger: &echoLedger{t: t, by: map[string]*echoEntry{}}}
	run.f = startHarnessAt(t)
	run.base, run.revoked = run.f.snapshot.Load(), buildSnapshot(t, "another-key")
	run.f.handler.cfg.Dialect = variant.dialect
	run.f.handler.cfg.Picker = run
	run.f.handler.retryBudgets.limits = VMRetryBudget{Ratio: 4, Reserve: 1000}
	inner := run.f.server.http.Handler
	run.f.server.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), echoIDKey{}, r.Header.Get("X-Id"))))
	})
	for i := range 4 {
		run.targets = append(run.targets, startEchoTarget(run, []int{1, 7, 4, 1}[i]))
		run.listed = append(run.listed, nil)
		run.restart(i)
		run.restart(i)
	}
	run.publish(run.base, false)
	return run
}

// restart gives target i a new ID. Its last two IDs stay listed.
func (run *echoRun) restart(i int) {
	run.ids++
	id := fmt.Sprintf("t%d-%d", i, run.ids)
	ids := append(run.listed[i], id)
	run.listed[i] = ids[max(0, len(ids)-3):]
	run.targets[i].current.Store(&id)
}

// publish puts a copy of base with the listed targets and the kind of the changing route in
// force.
func (run *echoRun) publish(base *document.Snapshot, once bool) {
	next := *base
	service := *next.Services["citas"]
	service.Targets = nil
	for i, ids := range run.listed {
		for _, id := range ids {
			service.Targets = append(service.Targets, document.Target{ID: id, Address: run.targets[i].address, FailureDomain: "d", Slots: 3, State: "active"})
		}
	}
	next.Services = map[string]*document.Service{"citas": &service}
	next.Routes = slices.Clone(next.Routes)
	for i, rt := range next.Routes {
		if rt.PathPrefix == echoFlipPrefix {
			changed, idempotent := *rt, !once
			changed.Idempotent = &idempotent
			next.Routes[i] = &changed
		}
	}
	run.kind.Store(&echoKind{changing: true})
	run.f.snapshot.Store(&next)
	run.kind.Store(&echoKind{once: once})
}

// change restarts targets, changes the kind of a route and withdraws the key for a moment until
// stop is closed.
func (run *echoRun) change(rng *rand.Rand, stop chan struct{}) {
	once := false
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(8)) * time.Millisecond):
		}
		base := run.base
		switch rng.IntN(8) {
		case 0, 1, 2:
			run.restart(rng.IntN(len(run.targets)))
		case 3:
			base = run.revoked
		default:
			once = !once
		}
		run.publish(base, once)
	}
}

// Acquire grants a permit for a listed target, for later attempts often one at the address of
// the attempt before.
func (run *echoRun) Acquire(ctx context.Context, r node.PermitRequest) (node.Permit, error) {
	id, _ := ctx.Value(echoIDKey{}).(string)
	e := run.ledger.get(id)
	open := slices.DeleteFunc(slices.Clone(r.Service.Targets), func(t document.Target) bool { return slices.Contains(r.Avoid, t.ID) })
	if e == nil || len(open) == 0 {
		return nil, fault.New(fault.NoCapacity, "all targets are excluded")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	rng := rand.New(rand.NewPCG(run.seed, xxhash.Sum64String(id)+uint64(len(e.attempts))<<32))
	target := open[rng.IntN(len(open))]
	if n := len(e.attempts); n > 0 && rng.IntN(4) > 0 {
		last := e.attempts[n-1].target.Address
		if i := slices.IndexFunc(open, func(t document.Target) bool { return t.Address == last }); i >= 0 {
			target = open[i]
		}
	}
	p := &echoPermit{fakePermit: fakePermit{run.f, target}, run: run, entry: e, kind: run.kind.Load(), expired: rng.IntN(40) == 0}
	if rng.IntN(3) == 0 {
		p.hedge = time.Duration(1+rng.IntN(4)) * time.Millisecond
	}
	e.attempts = append(e.attempts, p)
	return p, nil
}

// echoPermit is the permit of one attempt.
type echoPermit struct {
	fakePermit
	run     *echoRun
	entry   *echoEntry
	hedge   time.Duration
	expired bool
	kind    *echoKind // when the permit was granted
	written bool      // the request may have been written
	once    bool      // its route was non-idempotent from the grant until the write
}

// HedgeAfter implements node.Permit.
func (p *echoPermit) HedgeAfter() time.Duration { return p.hedge }

// Check implements node.Permit. It is called before the request is written.
func (p *echoPermit) Check() error {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	if p.expired {
		return fault.New(fault.NoCapacity, "the permit has expired")
	}
	p.written = true
	p.once = p.entry.once || strings.HasPrefix(p.entry.path, echoFlipPrefix) && p.kind.once && p.kind == p.run.kind.Load()
	p.entry.trace = append(p.entry.trace, fmt.Sprintf("attempt to %s at %s, once %t", p.target.ID, p.target.Address, p.once))
	return nil
}

// send lets callers send requests until all numbers have been used. The VM shuts down beside the
// last ones.
func (run *echoRun) send(requests int) {
	next := make(chan int)
	var callers sync.WaitGroup
	for range 24 {
		callers.Go(func() {
			c := &echoCaller{run: run, transports: [2]*http.Transport{callerTransport(false), callerTransport(true)}}
			for i := range next {
				c.rng = rand.New(rand.NewPCG(run.seed, uint64(i)))
				c.sendOne(i)
			}
			c.close()
		})
	}
	for i := range requests {
		if i == requests-requests/10 {
			callers.Go(run.shutDown)
		}
		next <- i
	}
	close(next)
	callers.Wait()
}

func (run *echoRun) shutDown() {
	run.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := run.f.server.Shutdown(ctx); err != nil {
		run.f.t.Error(err)
	}
}

// sendOne sends request i, a batch of pipelined requests, or a request twice with one
// idempotency key.
func (c *echoCaller) sendOne(i int) {
	id := fmt.Sprintf("%07d", i)
	switch c.rng.IntN(8) {
	case 0, 1, 2:
		c.overTransport(c.newEntry(id, false))
		return
	case 3:
		c.twice(c.newEntry(id, c.run.variant.dialect.IdempotencyKeys))
		return
	}
	var batch []*echoEntry
	for n := range 1 + c.rng.IntN(3) {
		batch = append(batch, c.newEntry(fmt.Sprintf("%07d%c", i, 'a'+n), false))
	}
	c.pipelined(batch)
}

// settle waits until no request runs and no connection to a target is open, so that no run can
// follow.
func (run *echoRun) settle() {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		busy := run.f.handler.Running()
		run.f.handler.transport.CloseIdleConnections()
		for _, t := range run.targets {
			busy += t.open.Load()
		}
		if busy == 0 {
			return
		}
	}
	run.f.t.Error("requests or connections to targets do not end")
}

// Guards against targets that repeat request IDs and send answers twice, late: a second run, a
// wrong "not run", the answer or body of another request. Targets restart under new IDs and a
// route changes its kind meanwhile.
//
// To replay a run: go test ./node/command -run TestChaosWithRepeatedIDs -chaos.seed N
func TestChaosWithRepeatedIDs(t *testing.T) {
	seed := *chaosSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	requests := *chaosRequests
	if testing.Short() {
		requests /= 3
	}
	variants := map[string]echoVariant{"native": nativeVariant(), "strict": strictVariant()}
	for name, variant := range variants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Logf("replay with: go test ./node/command -run TestChaosWithRepeatedIDs/%s -chaos.seed %d -chaos.requests %d", name, seed, *chaosRequests)
			run := startEchoRun(t, seed, variant)
			stop := make(chan struct{})
			var changes sync.WaitGroup
			changes.Go(func() { run.change(rand.New(rand.NewPCG(seed, 2)), stop) })
			changes.Go(func() { run.f.injectContactLoss(rand.New(rand.NewPCG(seed, 1)), stop) })
			run.send(requests / len(variants))
			close(stop)
			changes.Wait()
			run.settle()
			run.ledger.finish()
			run.f.wantViolations()
		})
	}
}
