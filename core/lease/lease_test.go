package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// fault is one fault of a script. After is the time since the previous one.
type fault struct {
	Kind  string
	Node  int
	Mask  int // nodes on one side of a network partition
	After time.Duration
	For   time.Duration
}

// script is a simulated run with faults.
type script struct {
	Seed   uint64
	Nodes  int
	Loss   int // percentage of datagrams that are lost
	Slow   int // percentage of datagrams that are delayed
	Faults []fault
}

// faultKinds holds the kinds of faults to draw from. Repeated ones are drawn more often.
var faultKinds = []string{"one-way", "split", "split", "link", "link", "pause", "crash", "crash", "leave", "list"}

var scripts = rapid.Custom(func(t *rapid.T) script {
	s := script{
		Seed:  rapid.Uint64().Draw(t, "seed"),
		Nodes: rapid.IntRange(4, 8).Draw(t, "nodes"),
		Loss:  rapid.IntRange(0, 20).Draw(t, "loss"),
		Slow:  rapid.IntRange(0, 20).Draw(t, "slow"),
	}
	for range rapid.IntRange(1, 12).Draw(t, "faults") {
		s.Faults = append(s.Faults, fault{
			Kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Node:  rapid.IntRange(0, s.Nodes-1).Draw(t, "node"),
			Mask:  rapid.IntRange(1, 1<<s.Nodes-2).Draw(t, "mask"),
			After: time.Duration(rapid.IntRange(0, 2500).Draw(t, "after")) * time.Millisecond,
			For:   time.Duration(rapid.IntRange(10, 6000).Draw(t, "for")) * time.Millisecond,
		})
	}
	return s
})

// runScript runs a script, ends all faults and checks that the leases converge. It returns the
// first failed check, empty for none.
func runScript(sc script, d defects) string {
	s := newSim(sc.Seed, sc.Nodes, 2, d)
	s.loss, s.slow = float64(sc.Loss)/100, float64(sc.Slow)/100
	for _, f := range sc.Faults {
		s.run(f.After)
		s.inject(f, sc.Nodes)
	}
	s.run(3 * time.Second)
	s.loss, s.slow = 0, 0
	clear(s.cutUntil)
	for _, n := range s.nodes {
		n.pausedUntil, n.adoptAt, n.restartAt = 0, min(n.adoptAt, s.now), min(n.restartAt, s.now)
	}
	s.run(8 * time.Second)
	s.checkConverged()
	return s.failure
}

func (s *sim) inject(f fault, nodes int) {
	n := s.nodes[f.Node]
	until := s.now + f.For
	switch f.Kind {
	case "one-way":
		s.cutAll(1<<f.Node, ^0, until)
	case "split":
		s.cutAll(f.Mask, ^f.Mask, until)
		s.cutAll(^f.Mask, f.Mask, until)
	case "link":
		s.cutAll(1<<f.Node, 1<<(f.Mask%nodes), until)
		s.cutAll(1<<(f.Mask%nodes), 1<<f.Node, until)
	case "pause":
		n.pausedUntil = until
	case "crash":
		n.up = false
		n.restartAt = until
	case "leave":
		n.agent.Leave(s.clock(n, s.now))
		s.tick(f.Node)
		n.restartAt = until
	case "list":
		s.publishList(f)
	}
}

// cutAll cuts the datagrams from the nodes in one mask to those in the other.
func (s *sim) cutAll(from, to int, until time.Duration) {
	for a := range s.nodes {
		for b := range s.nodes {
			if from&(1<<a) != 0 && to&(1<<b) != 0 {
				s.cutUntil[[2]int{a, b}] = until
			}
		}
	}
}

// publishList replaces a member, and nodes learn of the new list at different times. It does
// nothing unless every node has the last list, because quorums of lists two changes apart
// need not intersect.
func (s *sim) publishList(f fault) {
	if slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.adoptAt != 0 || n.restartAt != 0 }) {
		return
	}
	s.replace(f.Node)
	for _, n := range s.nodes {
		n.adoptAt = s.now + time.Duration(s.rng.Int64N(int64(f.For)+int64(5*time.Second)))
	}
}

// Guards against two exclusive holders of a shard, rates above the bound, and leases that do
// not converge after faults.
func TestLeasesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := scripts.Draw(t, "script")
		if v := runScript(sc, defects{}); v != "" {
			t.Fatalf("%s (%+v)", v, sc)
		}
	})
}

// seated is the configuration of a fleet that maintains its own list and uses seats.
var seated = Config{
	DynamicQuorum: true, Seats: 2, Term: 900 * time.Millisecond,
	FastHeartbeats: Timing{Interval: 250 * time.Millisecond, Timeout: 800 * time.Millisecond},
	SlowHeartbeats: Timing{Interval: 3 * time.Second, Timeout: 10 * time.Second},
}

// Guards against sides of a network partition that together give out more than the rate, and
// against VMs that disagree on the holders of seats once the faults are over.
func TestSeatedLeasesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := scripts.Draw(t, "script")
		if v := runScript(sc, defects{config: seated}); v != "" {
			t.Fatalf("%s (%+v)", v, sc)
		}
	})
}

// Guards against checks that cannot fail in runs with seats: each deliberate defect must break
// the check of rates.
func TestSeatedRunsCatchDefects(t *testing.T) {
	shortRetention, noWait := seated, seated
	shortRetention.GrantRetention = 300 * time.Millisecond
	noWait.Wait = -1
	link := fault{Kind: "link", Node: 0, Mask: 1, For: 6 * time.Second}
	restart := fault{Kind: "crash", Node: 2, After: 2 * time.Second, For: stepTime}
	// Lost renewals let grants expire at grantors that keep them too briefly, and cut
	// links make other VMs claim the shards.
	var links []fault
	for node := range 5 {
		links = append(links, fault{Kind: "link", Node: node, Mask: node + 1, For: 4 * time.Second})
	}
	cases := []struct {
		name   string
		config Config
		script script
	}{
		{"short grant retention", shortRetention, script{Nodes: 6, Loss: 20, Faults: links}},
		{"no start-up wait", noWait, script{Nodes: 5, Faults: []fault{link, restart}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(2 * defectRuns) {
				c.script.Seed = seed
				if v := runScript(c.script, defects{only: "rates", config: c.config}); v != "" {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatalf("none of %d runs broke the check of rates", 2*defectRuns)
		})
	}
}

// defectRuns is the number of runs within which a defect must break a check.
const defectRuns = 20

// Guards against checks that cannot fail: each deliberate defect must break the named check in
// a run of its script.
func TestFaultRunsCatchDefects(t *testing.T) {
	half := func(n int) int { return n / 2 }
	short := Config{GrantRetention: time.Second}
	longCut := fault{Kind: "one-way", For: 5 * time.Second}
	link := fault{Kind: "link", Node: 0, Mask: 1, For: 6 * time.Second}
	restart := fault{Kind: "crash", Node: 2, After: 2 * time.Second, For: stepTime}
	split := fault{Kind: "split", Mask: 0b000111, For: 5 * time.Second}
	pause := fault{Kind: "pause", For: 5 * time.Second}
	// Nodes 0 and 1 both claim the shards that node 2 gives up. Their delayed datagrams
	// from before that do not carry these claims.
	leave := fault{Kind: "leave", Node: 2, After: 2 * time.Second, For: 5 * time.Second}
	shuffled := script{Nodes: 6, Slow: 30, Faults: []fault{link, leave}}
	cases := []struct {
		name, check string
		defects     defects
		script      script
	}{
		{"no start-up wait", "rates", defects{config: Config{Wait: -1}}, script{Nodes: 5, Faults: []fault{link, restart}}},
		{"short grant retention", "exclusive", defects{config: short}, script{Nodes: 5, Faults: []fault{longCut}}},
		{"short grant retention", "rates", defects{config: short}, script{Nodes: 6, Faults: []fault{split}}},
		{"quorum of a half", "exclusive", defects{config: Config{Quorum: half}}, script{Nodes: 6, Faults: []fault{split}}},
		{"release out of order", "rates", defects{anyOrder: true}, shuffled},
		{"reader with outdated time", "exclusive", defects{outdatedReader: true}, script{Nodes: 5, Faults: []fault{pause}}},
		{"claims never released", "convergence", defects{neverRelease: true}, script{Nodes: 6, Faults: []fault{split}}},
	}
	for _, c := range cases {
		t.Run(c.name+"/"+c.check, func(t *testing.T) {
			for seed := range uint64(defectRuns) {
				c.script.Seed = seed
				c.defects.only = c.check
				if v := runScript(c.script, c.defects); v != "" {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatalf("none of %d runs broke the check of %s", defectRuns, c.check)
		})
	}
}

// crash stops up to a quarter of the nodes of a settled cell at once and returns the time until
// every shard has an exclusive holder again, at most 10 s.
func crash(seed uint64, nodes int, d defects) time.Duration {
	s := newSim(seed, nodes, 0, d)
	s.delay = 5 * time.Millisecond
	s.run(time.Second + time.Duration(s.rng.Int64N(int64(time.Second))))
	for range nodes / 4 {
		s.nodes[s.rng.IntN(nodes)].up = false
	}
	crashed := s.now
	for s.now < crashed+10*time.Second && !s.covered() {
		s.step()
	}
	return s.now - crashed
}

// takeoverBound is the specified maximum time of a takeover after a crash.
const takeoverBound = 2600 * time.Millisecond

// Guards against takeovers that take longer than 2.6 s after a crash of up to a quarter of the
// VMs. A grant retention of 4 s must break the check.
func TestTakeoverAfterCrash(t *testing.T) {
	if took := crash(1, 8, defects{config: Config{GrantRetention: 4 * time.Second}}); took <= takeoverBound {
		t.Fatalf("takeover took %v with a grant retention of 4 s, want more than 2.6 s", took)
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		nodes := rapid.IntRange(4, 12).Draw(t, "nodes")
		if took := crash(seed, nodes, defects{}); took > takeoverBound {
			t.Fatalf("takeover took %v with %d nodes, want at most 2.6 s", took, nodes)
		}
	})
}

// replaceHalf replaces four of eight members during a network partition, so that quorums of the
// two lists are disjoint. The side with the former holders learns of the new list 1.9 s after
// the other side.
func replaceHalf(seed uint64, d defects) string {
	s := newSim(seed, 8, 4, d)
	const oldSide = 1<<0 | 1<<4 | 1<<5 | 1<<6 | 1<<7
	s.cutAll(oldSide, ^oldSide, time.Hour)
	s.cutAll(^oldSide, oldSide, time.Hour)
	s.run(3 * time.Second) // until the grants of the other side have expired
	for range 4 {
		s.replace(4)
	}
	for i, n := range s.nodes {
		n.adoptAt = s.now + 1
		if oldSide&(1<<i) != 0 {
			n.adoptAt = s.now + 1900*time.Millisecond
		}
	}
	s.run(7 * time.Second)
	return s.failure
}

// Guards against two exclusive holders after a list change that is too large for quorums to
// intersect. Without the wait after such a change the check must fail.
func TestLargeListChangeWaits(t *testing.T) {
	for seed := range uint64(5) {
		if v := replaceHalf(seed, defects{}); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
	}
	for seed := range uint64(20) {
		d := defects{only: "exclusive", config: Config{Wait: -1}}
		if v := replaceHalf(seed, d); v != "" {
			return
		}
	}
	t.Fatal("without the wait no run had two exclusive holders")
}

// listOfLive returns a list of the first n VMs.
func listOfLive(n int) *member.List {
	l := &member.List{Version: uint64(n)}
	for i := range n {
		l.VMs = append(l.VMs, member.VM{ID: fmt.Sprintf("vm-%02d", i), State: member.Live})
	}
	return l
}

// Guards against a fleet that gives up all its leases at each list change within 10 s after its
// start, because quorums of the small lists of its first second do not intersect with those of
// later lists. It was seen on 89 VMs that were killed at the same time and then stopped and
// started in turn.
func TestListChangeAfterAStartKeepsLeases(t *testing.T) {
	start := time.Unix(1000, 0)
	s := New("vm-00", 1, start, Config{DynamicQuorum: true, Seats: 2, Term: time.Second})
	now := start
	for n := 1; n <= 12; n++ {
		now = now.Add(50 * time.Millisecond)
		s.SetList(listOfLive(n), now)
	}
	statuses := make([]contact.MemberStatus, 12)
	statuses[0] = contact.MemberStatus{InContact: true, Eligible: true}
	now = now.Add(3 * time.Second)
	s.Update(statuses, now)
	before, _ := s.Claims(now)
	changed := listOfLive(12)
	changed.VMs[5].State = member.Leaving
	s.SetList(changed, now)
	s.Update(statuses, now)
	after, _ := s.Claims(now)
	if before.Len() == 0 || after != before || s.Waiting(now) {
		t.Fatalf("%d shards claimed before a VM leaves and %d after, waiting: %v; want the same shards and no wait", before.Len(), after.Len(), s.Waiting(now))
	}
}

// Guards against VMs that are started at the same time and each claim all shards before they
// have discovered most of the others: the shares of the holders would add up to more than the
// rate.
func TestYoungVMWaitsWhileItsListGrows(t *testing.T) {
	start := time.Unix(1000, 0)
	s := New("vm-00", 1, start, Config{DynamicQuorum: true, Seats: 2, Term: time.Second})
	now := start
	for n := 1; n <= 12; n++ {
		now = now.Add(120 * time.Millisecond)
		s.SetList(listOfLive(n), now)
		statuses := make([]contact.MemberStatus, n)
		statuses[0] = contact.MemberStatus{InContact: true, Eligible: true}
		s.Update(statuses, now)
		if claims, _ := s.Claims(now); claims.Len() > 0 {
			t.Fatalf("%d shards claimed %v after the start with a list of %d VMs, want none while the list grows", claims.Len(), now.Sub(start), n)
		}
	}
	now = now.Add(2 * time.Second)
	statuses := make([]contact.MemberStatus, 12)
	statuses[0] = contact.MemberStatus{InContact: true, Eligible: true}
	s.Update(statuses, now)
	if claims, _ := s.Claims(now); claims.Len() == 0 {
		t.Fatal("no shard is claimed although the list has settled")
	}
}
