package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/lease"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/quota"
)

const (
	// isolationVMs is the number of VMs of an isolationSim; all of them are seeds.
	isolationVMs = 5
	// isolationStep is the time of one step.
	isolationStep = 50 * time.Millisecond
	// soleMemberAfter is when a VM that reached no other publishes its list, as in node/roster.
	soleMemberAfter = 6 * time.Second
)

// isolatedVM is a VM with its roster and leases.
type isolatedVM struct {
	up        bool
	cut       bool // no other VM reaches it
	cutAt     time.Time
	cutUntil  time.Time
	counted   int       // number of VMs that it counted when it was cut off
	startAt   time.Time // of the next start; zero for none
	startedAt time.Time
	instance  uint64
	roster    *Roster
	agent     *lease.Agent
	list      *member.List // the published list
	lastSeen  map[string]time.Time
}

// isolationSim is a fleet without a published VM list, whose VMs are restarted and cut off
// from all others at random.
type isolationSim struct {
	random *rand.Rand
	now    time.Time
	vms    []*isolatedVM
	// seeds is the number of other seeds that each VM is told of.
	seeds   int
	steps   int
	failure string
	// recentCounts holds the results of countedByConnected for each step of the last second.
	recentCounts [time.Second / isolationStep]int
	// alone counts the steps at which an isolated VM used a part of the rates.
	alone int
}

func newIsolationSim(seed uint64, seeds int) *isolationSim {
	s := &isolationSim{random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1000, 0), seeds: seeds}
	for i := range isolationVMs {
		s.vms = append(s.vms, &isolatedVM{})
		s.start(i)
	}
	return s
}

func (s *isolationSim) start(i int) {
	v := s.vms[i]
	instance := s.random.Uint64() | 1
	*v = isolatedVM{up: true, cut: v.cut, cutAt: v.cutAt, cutUntil: v.cutUntil, counted: v.counted, startedAt: s.now, instance: instance, lastSeen: map[string]time.Time{}}
	self := vm(i)
	self.State = member.Live
	v.roster = New(self, instance, 0)
	v.roster.SetSeedCount(s.seeds)
	v.agent = lease.NewAgent(vm(i).ID, instance, s.now, lease.Config{
		DynamicQuorum: true, Seats: 2, Term: 900 * time.Millisecond,
		FastHeartbeats: lease.Timing{Interval: 250 * time.Millisecond, Timeout: 800 * time.Millisecond},
		SlowHeartbeats: lease.Timing{Interval: 3 * time.Second, Timeout: 10 * time.Second},
	})
}

// reaches reports whether messages between two VMs arrive.
func (s *isolationSim) reaches(a, b int) bool {
	return a != b && s.vms[a].up && s.vms[b].up && !s.vms[a].cut && !s.vms[b].cut
}

// disturb stops, restarts, cuts off and reconnects VMs at random.
func (s *isolationSim) disturb() {
	for i, v := range s.vms {
		switch {
		case !v.up && !s.now.Before(v.startAt):
			s.start(i)
		case v.cut && !s.now.Before(v.cutUntil):
			v.cut = false
		case v.up && s.random.IntN(400) == 0:
			v.up, v.startAt = false, s.now.Add(time.Duration(s.random.IntN(3000))*time.Millisecond)
		case !v.cut && s.random.IntN(600) == 0:
			s.cutOff(v)
		}
	}
}

// cutOff cuts a VM off from all others.
func (s *isolationSim) cutOff(v *isolatedVM) {
	v.cut, v.cutAt, v.cutUntil, v.counted = true, s.now, s.now.Add(time.Duration(s.random.IntN(100))*time.Second), isolationVMs
	if v.list != nil {
		v.counted = v.list.LenWithUnreached()
	}
}

// advance exchanges the rosters of a VM and a random other one, publishes its list and
// updates its leases.
func (s *isolationSim) advance(i int) {
	v := s.vms[i]
	if other := s.random.IntN(isolationVMs); s.steps%4 == 0 && s.reaches(i, other) {
		o := s.vms[other]
		received := o.roster.Export(s.now)
		o.roster.Merge(v.roster.Export(s.now), s.now)
		v.roster.Merge(received, s.now)
	}
	for _, p := range v.agent.Contact.Peers() {
		if p.InContact(s.now) {
			v.roster.RecordHeartbeat(p.VM.ID, p.Instance, false, v.lastSeen[p.VM.ID])
		}
	}
	v.roster.Expire(s.now)
	if l := v.roster.List(); l != v.list && (v.list != nil || l.Len() > 1 || s.now.Sub(v.startedAt) >= soleMemberAfter) {
		v.list = l
		v.agent.SetList(l, s.now)
	}
	if v.list != nil {
		s.send(i, v.agent.Tick(s.now, false))
	}
}

// send delivers heartbeats at once, and the responses to them.
func (s *isolationSim) send(i int, peers []*contact.Peer) {
	for _, p := range peers {
		h := s.vms[i].agent.Heartbeat(p, s.now)
		for to, v := range s.vms {
			if vm(to).ID != p.VM.ID || !s.reaches(i, to) || v.list == nil {
				continue
			}
			from, reply, _ := v.agent.Receive(&h, s.now)
			if from != nil {
				v.lastSeen[from.VM.ID] = s.now
			}
			s.send(to, reply)
		}
	}
}

// check asserts that the fractions of the rates in use add up to at most one share for each
// VM. The share of a VM that is cut off is that of one among the VMs that it counted before,
// or among all seeds when it has restarted since. That of the others is one among the fewest
// VMs on a list of theirs. With complete lists the sum is at most 1.
func (s *isolationSim) check() {
	counted := s.countedByConnected()
	bound := 0.0
	for _, v := range s.vms {
		n := counted
		if v.cut {
			n = s.countedWhenCut(v, counted)
		}
		bound += 1 / float64(n)
	}
	for shard := range member.Shard(2) {
		if sum := s.fractions(shard); sum > bound+1e-9 && s.failure == "" {
			s.failure = fmt.Sprintf("shard %d: the fractions of the rates add up to %.3f, want at most %.3f", shard, sum, bound)
		}
	}
}

// countedByConnected returns the fewest VMs that one which is not cut off counted within the
// last second, in which leases may have begun that still last.
func (s *isolationSim) countedByConnected() int {
	counted := isolationVMs
	for _, v := range s.vms {
		if !v.cut && v.up && v.list != nil {
			counted = min(counted, v.list.LenWithUnreached())
		}
	}
	s.recentCounts[s.steps%len(s.recentCounts)] = counted
	return slices.Min(s.recentCounts[:min(s.steps+1, len(s.recentCounts))])
}

// countedWhenCut returns the least number of VMs among which the share of a VM that is cut off
// may be one. Others may hold it until their leases end, one among the given number.
func (s *isolationSim) countedWhenCut(v *isolatedVM, connected int) int {
	n := v.counted
	if v.startedAt.After(v.cutAt) {
		n = isolationVMs
	}
	if s.now.Sub(v.cutAt) < time.Second {
		n = min(n, connected)
	}
	return n
}

// fractions returns the sum of the fractions of the rates of a shard that the VMs use.
func (s *isolationSim) fractions(shard member.Shard) float64 {
	sum := 0.0
	for _, v := range s.vms {
		if !v.up || v.list == nil {
			continue
		}
		h, ok := v.agent.Lease.View(shard, s.now).At(s.now)
		if !ok {
			continue
		}
		sum += quota.Grants{Count: h.Grants, Members: max(h.Fleet, h.Members), Exclusive: h.Exclusive}.Fraction(1)
		if v.cut {
			s.alone++
		}
	}
	return sum
}

// run returns the first failure.
func (s *isolationSim) run(length time.Duration) string {
	for end := s.now.Add(length); s.now.Before(end) && s.failure == ""; s.steps++ {
		s.now = s.now.Add(isolationStep)
		s.disturb()
		for i, v := range s.vms {
			if v.up {
				s.advance(i)
			}
		}
		s.check()
	}
	return s.failure
}

// Guards against VMs that are cut off from all others, after a restart or for longer than
// others stay in the list, and then use the whole of each rate: several of them, or one
// beside the others, would exceed it.
func TestIsolatedVMsUseTheirShareOnly(t *testing.T) {
	runs := uint64(12)
	if testing.Short() {
		runs = 4
	}
	for seed := range runs {
		s := newIsolationSim(seed, isolationVMs-1)
		if failure := s.run(4 * time.Minute); failure != "" {
			t.Errorf("seed %d, after %v: %s", seed, s.now.Sub(time.Unix(1000, 0)), failure)
		}
		if s.alone == 0 {
			t.Errorf("seed %d: no isolated VM used a part of the rates", seed)
		}
	}
}

// Guards against a test that cannot fail: VMs that know no seeds must exceed the bound.
func TestIsolatedVMsWithoutSeedsAreDetected(t *testing.T) {
	detected := 0
	for seed := range uint64(5) {
		if newIsolationSim(seed, 0).run(4*time.Minute) != "" {
			detected++
		}
	}
	if detected < 5 {
		t.Errorf("isolated VMs that use the whole of each rate were detected in %d of 5 runs, want all", detected)
	}
}

// Guards against a VM without other seeds, or whose peers announced that they leave, that uses a
// part of the rates only, and against one that drops the share of VMs that it no longer reaches.
func TestUnreachedVMsCountUntilAnyIsReached(t *testing.T) {
	now := time.Unix(1000, 0)
	if r := New(vm(0), 1, 0); r.List().FleetLen() != 1 {
		t.Errorf("%d VMs counted without other seeds, want 1", r.List().FleetLen())
	}
	r := New(vm(0), 1, 0)
	r.SetSeedCount(4)
	if n := r.List().FleetLen(); n != 5 {
		t.Errorf("%d VMs counted with 4 other seeds, want 5", n)
	}
	r.Merge([]MemberRecord{{VM: vm(1), Instance: 2}, {VM: vm(2), Instance: 3}}, now)
	if n := r.List().FleetLen(); n != 3 {
		t.Errorf("%d VMs counted after another VM was reached, which knows 3", n)
	}
	r.RecordHeartbeat("vm-02", 3, true, now)
	later := now.Add(ExpireAfter)
	r.Expire(later)
	if n := r.List().FleetLen(); n != 2 {
		t.Errorf("%d VMs counted after one left and one was lost, want 2", n)
	}
	r.Merge([]MemberRecord{{VM: vm(3), Instance: 4}}, later.Add(time.Second))
	if n := r.List().FleetLen(); n != 2 || r.Len() != 2 {
		t.Errorf("%d VMs counted and %d listed after a VM was reached that does not know the lost one, want 2", n, r.Len())
	}
}
