package lease

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// Guards against a holder that accepts a grant for an earlier claim that it has released
// since: the grantor may have granted the shard to another VM in between.
func TestGrantForReleasedClaimIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	list := &member.List{Version: 1, VMs: []member.VM{{ID: "a", State: member.Live}, {ID: "b", State: member.Live}}}
	s := New("a", 1, now.Add(-GrantRetention), Config{})
	s.SetList(list, now)
	isolated := []contact.MemberStatus{{InContact: true, Eligible: true}, {}}
	both := []contact.MemberStatus{{InContact: true, Eligible: true}, {InContact: true, Eligible: true}}
	var shard member.Shard // a shard for which b ranks first
	for member.Rank(list, member.ShardKey(shard))[0] != "b" {
		shard++
	}
	var shards member.ShardSet
	shards.Add(shard)

	s.Update(isolated, now)
	former := s.Epoch()
	s.Update(both, now)
	if s.View(shard, now) != nil {
		t.Fatal("the shard is claimed although a member of better rank is eligible")
	}
	s.Update(isolated, now)
	s.ReceiveGrants(Grant{ID: "b", Shards: shards, SentAt: now, Epoch: former}, now)
	if h, _ := s.View(shard, now).At(now); h.Grants != 1 {
		t.Fatalf("got %d valid grants, want only this VM's own", h.Grants)
	}
	s.ReceiveGrants(Grant{ID: "b", Shards: shards, SentAt: now, Epoch: s.Epoch()}, now)
	if h, _ := s.View(shard, now).At(now); h.Grants != 2 || !h.Exclusive {
		t.Fatalf("after a grant for the present claim: got %+v, want 2 grants, exclusive", h)
	}
}

// newSingleMember returns a state whose list had the VMs a and b and now has only a, and the
// status of a. Its start-up wait is over.
func newSingleMember(now time.Time) (*State, []contact.MemberStatus) {
	vms := []member.VM{{ID: "a", State: member.Live}, {ID: "b", State: member.Live}}
	s := New("a", 1, now.Add(-GrantRetention), Config{})
	s.SetList(&member.List{Version: 1, VMs: vms}, now)
	s.SetList(&member.List{Version: 2, VMs: vms[:1]}, now)
	return s, []contact.MemberStatus{{InContact: true, Eligible: true}}
}

// Guards against a holder that reports the same epoch before and after its lease lapsed,
// although another VM may have held the shard in between.
func TestEpochChangesAfterLapse(t *testing.T) {
	start := time.Unix(1000, 0)
	s, self := newSingleMember(start)
	var holds []Hold
	for _, after := range []time.Duration{3 * time.Second, 4 * time.Second, 10 * time.Second} {
		s.Update(self, start.Add(after))
		h, _ := s.View(0, start.Add(after)).At(start.Add(after))
		holds = append(holds, h)
	}
	if !holds[0].Exclusive || holds[1].Epoch != holds[0].Epoch || !holds[2].Exclusive || holds[2].Epoch == holds[0].Epoch {
		t.Fatalf("got %+v for the first lease, after its renewal and after its lapse; want a new epoch only after the lapse", holds)
	}
}

// Guards against using the share of a VM that was removed from the list before all VMs can
// have learned of the removal.
func TestRemovedMembersCountForTenSeconds(t *testing.T) {
	start := time.Unix(1000, 0)
	s, self := newSingleMember(start)
	for _, after := range []time.Duration{3 * time.Second, 10 * time.Second, 11 * time.Second} {
		members, at := 2, start.Add(after)
		if after > removedRetention {
			members = 1
		}
		s.Update(self, at)
		if h, ok := s.View(0, at).At(at); !ok || h.Members != members {
			t.Errorf("%v after the removal: got %+v, want %d members", after, h, members)
		}
	}
}
