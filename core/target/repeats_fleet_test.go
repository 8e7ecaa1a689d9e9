package target

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

const (
	// budgetVMs is the number of VMs that grant leases on the groups.
	budgetVMs = 6
	// budgetGroups is the number of groups of the service.
	budgetGroups = 3
	// budgetGrantGap is the time between the loss of a grant and the next one of the same VM.
	budgetGrantGap = 50 * time.Millisecond
	// budgetMargin is the part of the budget that deployments give to the holders.
	budgetMargin = 0.9
)

var fleetBudget = FleetRetryBudget{Share: 0.2, Reserve: 36}

// budgetFleet is a fleet whose holders of one service are restarted, replaced and split at
// random. Each VM grants each group to at most one holder at a time.
type budgetFleet struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	// steady sends the same number of requests to each group in each step, and gives the
	// holders the budget less its margin, as deployments do.
	steady  bool
	defect  Defect
	views   []*View
	holders [budgetGroups][budgetVMs]*Holder // by group and VM
	// grantee is the VM to which each VM granted the group, -1 for none; grantAt is when it may
	// grant again.
	grantee [budgetGroups][budgetVMs]int
	grantAt [budgetGroups][budgetVMs]time.Time
	// first and repeated are the times of all requests that reached a target.
	first, repeated []time.Time
	failure         string
}

func newBudgetFleet(t *testing.T, seed uint64, defect Defect) *budgetFleet {
	f := &budgetFleet{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), defect: defect}
	service := &document.Service{Name: "citas", FloorPercent: 50, GroupSize: 2, Placement: document.ByHealthEstimate}
	for i := range 2 * budgetGroups {
		service.Targets = append(service.Targets, document.Target{ID: fmt.Sprintf("t%d", i), FailureDomain: "a", Slots: 1000, State: document.Active})
	}
	groups := Groups(service)
	for g := range groups {
		f.views = append(f.views, &View{Service: service, Group: groups[g], LongestHold: 3 * time.Second, GroupCount: len(groups)})
		for vm := range budgetVMs {
			f.grantee[g][vm] = 0
		}
	}
	return f
}

// holder returns the state of the VM for the group, nil when no VM grants it the group.
func (f *budgetFleet) holder(group, vm int) *Holder {
	grants := 0
	for _, grantee := range f.grantee[group] {
		if grantee == vm {
			grants++
		}
	}
	if grants == 0 {
		f.holders[group][vm] = nil
		return nil
	}
	h := f.holders[group][vm]
	if h == nil {
		budget := fleetBudget
		if f.steady {
			budget = FleetRetryBudget{Share: budgetMargin * budget.Share, Reserve: budgetMargin * budget.Reserve}
		}
		h = NewHolder(Config{View: f.views[group], RetryBudget: budget, Defect: f.defect}, f.now)
		f.holders[group][vm] = h
	}
	h.SetShare(float64(grants) / budgetVMs)
	h.Tick(f.now, func(string) bool { return true })
	return h
}

// send sends one request to a random holder of the group. Some first requests cannot connect
// to their target.
func (f *budgetFleet) send(group int, repeated bool) {
	h := f.holder(group, f.grantee[group][f.random.IntN(budgetVMs)])
	if h == nil || repeated && !h.MayRepeat(f.now) {
		return
	}
	g, ok := h.Acquire(AcquireRequest{Caller: Caller{VM: "vm", Instance: 1}, Hold: time.Second, Idempotent: true, Repeat: repeated}, f.now)
	if !ok {
		return
	}
	outcome := OK
	if !repeated && f.random.IntN(4) == 0 {
		outcome = Unreachable
	}
	h.Release(Caller{VM: "vm", Instance: 1}, []Release{{Permit: g.Permit, Outcome: outcome, Latency: time.Millisecond}}, f.now)
	if outcome == Unreachable {
		return
	}
	if !repeated {
		f.first = append(f.first, f.now)
		return
	}
	f.repeated = append(f.repeated, f.now)
	f.check()
}

// check asserts the budget in the window that ends now. With any traffic the requests just
// before the window count too, as long as credits last; with steady traffic they do not.
func (f *budgetFleet) check() {
	from := f.now.Add(-repeatWindow)
	repeated, first := since(f.repeated, from), since(f.first, from)
	if !f.steady {
		first = since(f.first, from.Add(-creditBuckets*accountBucket))
	}
	allowed := fleetBudget.Share*float64(first) + fleetBudget.Reserve
	if float64(repeated) > allowed+1e-6 && f.failure == "" {
		f.failure = fmt.Sprintf("%d repeats within 10 s, want at most %.1f for %d first requests", repeated, allowed, first)
	}
}

// since returns how many of the ascending times are after the given one.
func since(times []time.Time, after time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i].After(after); i-- {
		n++
	}
	return n
}

// move lets a random VM grant a group to another holder: a takeover when all do, a partition
// when some do.
func (f *budgetFleet) move() {
	group, to := f.random.IntN(budgetGroups), f.random.IntN(budgetVMs)
	all := f.random.IntN(2) == 0
	for vm := range budgetVMs {
		if all || f.random.IntN(2) == 0 {
			f.grantee[group][vm], f.grantAt[group][vm] = -1, f.now.Add(budgetGrantGap)
		}
	}
	f.observe()
	f.now = f.now.Add(budgetGrantGap)
	for vm := range budgetVMs {
		if f.grantee[group][vm] == -1 {
			f.grantee[group][vm] = to
		}
	}
	f.observe()
}

// restart ends the process of a random VM, or of all at once: its holders lose their state.
func (f *budgetFleet) restart(all bool) {
	one := f.random.IntN(budgetVMs)
	for group := range budgetGroups {
		for vm := range budgetVMs {
			if all || vm == one {
				f.holders[group][vm] = nil
			}
		}
	}
	f.observe()
}

// observe passes the shares to all holders, as the periodic pass over the groups does.
func (f *budgetFleet) observe() {
	for group := range budgetGroups {
		for vm := range budgetVMs {
			f.holder(group, vm)
		}
	}
	f.check()
}

// run sends requests, with up to two repeats for each, and returns the first failure.
func (f *budgetFleet) run(length time.Duration) string {
	f.observe()
	end := f.now.Add(length)
	for f.now.Before(end) && f.failure == "" {
		switch f.random.IntN(40) {
		case 0:
			f.move()
		case 1:
			f.restart(f.random.IntN(2) == 0)
		case 2:
			if !f.steady {
				f.now = f.now.Add(time.Duration(f.random.IntN(4000)) * time.Millisecond)
			}
		}
		f.sendAll()
		f.now = f.now.Add(100 * time.Millisecond)
		f.observe()
	}
	return f.failure
}

// sendAll sends the requests of one step, in random order with steady traffic: phases
// without repeats, which leave the budget unspent, and phases with many.
func (f *budgetFleet) sendAll() {
	repeats := 0
	if f.now.Unix()/4%2 == 0 {
		repeats = f.random.IntN(4)
	}
	for group := range budgetGroups {
		n := 4
		if !f.steady {
			n = f.random.IntN(10)
		}
		for range n {
			f.send(group, false)
			for range repeats {
				f.send(group, true)
			}
		}
	}
}

// Guards against more repeats over all VMs than the budget allows while holders restart, take
// over from each other and share groups in a partition: the holders of the last 10 s together
// would spend the reserve, or the share of the same requests, several times.
func TestFleetRetryBudgetThroughRestarts(t *testing.T) {
	runs := uint64(60)
	if testing.Short() {
		runs = 15
	}
	for seed := range runs {
		for _, steady := range []bool{false, true} {
			f := newBudgetFleet(t, seed, DefectNone)
			f.steady = steady
			if failure := f.run(60 * time.Second); failure != "" {
				t.Fatalf("seed %d, steady traffic %t, %v after the start: %s", seed, steady, f.now.Sub(time.Unix(1000, 0)), failure)
			}
			if len(f.repeated) == 0 {
				t.Errorf("seed %d: no request was repeated", seed)
			}
		}
	}
}

// Guards against a test that cannot fail: a new holder that starts with its reserve unspent
// must exceed the budget.
func TestFleetRetryBudgetCatchesUnspentReserve(t *testing.T) {
	for _, steady := range []bool{false, true} {
		detected := 0
		for seed := range uint64(10) {
			f := newBudgetFleet(t, seed, DefectRetryBudget)
			f.steady = steady
			if f.run(60*time.Second) != "" {
				detected++
			}
		}
		if detected < 8 {
			t.Errorf("steady traffic %t: holders that start with an unspent reserve were detected in %d of 10 runs, want at least 8", steady, detected)
		}
	}
}
