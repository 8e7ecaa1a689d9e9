package target

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/galenasail/galenasail/core/document"
)

// Guards against groups that mix failure domains, and against targets that move between the
// groups of one domain when another domain changes.
func TestDomainGroupsHoldOneDomain(t *testing.T) {
	s := document.Service{Name: "s", GroupSize: 24, GroupByDomain: true}
	for i := range 111 {
		s.Targets = append(s.Targets, document.Target{ID: fmt.Sprintf("t%03d", i), FailureDomain: fmt.Sprint("d", i%4), Slots: 2})
	}
	before := map[string]string{}
	for _, g := range Groups(&s) {
		for _, target := range g.Targets {
			if target.FailureDomain != g.Domain {
				t.Fatalf("group %s of domain %s has a target of %s", g.Name, g.Domain, target.FailureDomain)
			}
			before[target.ID] = g.Name
		}
	}
	if len(before) != len(s.Targets) {
		t.Fatalf("%d of %d targets are in groups", len(before), len(s.Targets))
	}
	s.Targets = append(s.Targets, document.Target{ID: "new", FailureDomain: "d0", Slots: 2})
	for _, g := range Groups(&s) {
		for _, target := range g.Targets {
			if old := before[target.ID]; old != "" && old != g.Name && target.FailureDomain != "d0" {
				t.Errorf("target %s of %s moved from %s to %s", target.ID, target.FailureDomain, old, g.Name)
			}
		}
	}
}

// domainLoad plays requests of failure domains at one group for each domain, and counts those
// that leave their domain and those that find no free slot.
type domainLoad struct {
	slots, busy []int
	crossed     int
	unserved    int
}

func (d *domainLoad) request(domain int) {
	best, bestRoom := -1, 0.0
	for i := range d.slots {
		load := GroupLoad{Free: d.slots[i] - d.busy[i], Slots: d.slots[i]}
		if room := Room(load, i == domain); load.Free > 0 && (best < 0 || room > bestRoom) {
			best, bestRoom = i, room
		}
	}
	if best < 0 {
		d.unserved++
		return
	}
	d.busy[best]++
	if best != domain {
		d.crossed++
	}
}

// finish ends each request with probability share.
func (d *domainLoad) finish(share float64, random *rand.Rand) {
	for i := range d.busy {
		for range d.busy[i] {
			if random.Float64() < share {
				d.busy[i]--
			}
		}
	}
}

// Guards against requests that leave their domain while it has room, that wait in a full
// domain while others are free, and that all return or leave at once.
func TestRequestsLeaveTheDomainOnlyAsItFills(t *testing.T) {
	const rounds = 400
	cases := []struct {
		name    string
		arrive  []int // requests of each domain in each round
		slots   []int
		crossed [2]float64 // bounds of the share of requests that leave their domain
	}{
		{"even", []int{10, 10, 10, 10}, []int{50, 50, 50, 50}, [2]float64{0, 0.02}},
		{"uneven", []int{22, 8, 8, 8}, []int{50, 50, 50, 50}, [2]float64{0.02, 0.35}},
		{"unequal rooms", []int{10, 10, 10, 10}, []int{20, 60, 60, 60}, [2]float64{0.05, 0.25}},
		{"all demand in one domain", []int{36, 0, 0, 0}, []int{50, 50, 50, 50}, [2]float64{0.3, 0.75}},
		{"no target in one domain", []int{10, 10, 10, 10}, []int{0, 60, 60, 60}, [2]float64{0.25, 0.3}},
	}
	for _, c := range cases {
		random := rand.New(rand.NewPCG(1, 2))
		d := domainLoad{slots: c.slots, busy: make([]int, len(c.slots))}
		total := 0
		for range rounds {
			d.finish(0.33, random)
			for domain, n := range c.arrive {
				for range n {
					d.request(domain)
					total++
				}
			}
		}
		share := float64(d.crossed) / float64(total)
		if d.unserved > 0 || share < c.crossed[0] || share > c.crossed[1] {
			t.Errorf("%s: %.3f of the requests left their domain, want %.2f to %.2f; %d of %d found no slot", c.name, share, c.crossed[0], c.crossed[1], d.unserved, total)
		}
	}
}

// Guards against a group whose holder does not answer being preferred to one that does.
func TestUnreachableGroupsComeLast(t *testing.T) {
	lost := GroupLoad{Free: 10, Slots: 10, Unreachable: true}
	full := GroupLoad{Queued: 9, Slots: 10}
	if Room(lost, true) >= Room(full, false) {
		t.Error("a local group without a reachable holder ranks before a full remote one")
	}
}
