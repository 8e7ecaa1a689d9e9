package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// directReadBound is the time after a reader's last read by which each VM must have
// started to read by itself: a change is due after applyBound, and reading it, or
// fetching it from a VM that read it, takes the rest.
const directReadBound = applyBound - 600*time.Millisecond

// follower is one VM of a fleet of ten. The tests write the reports that it receives
// from other VMs.
type follower struct {
	*Machine
	now    time.Time
	ranked []string
}

// contactList implements Contacts: only the named VMs are in contact.
type contactList []string

func (c contactList) InContact(id string) bool { return slices.Contains(c, id) }

// newFollower returns the VM of the given rank with ticket 1 applied.
func newFollower(t *testing.T, rank int) *follower {
	t.Helper()
	s := newSim(1, 10)
	s.selfManaged, s.inlineDocuments = true, true
	s.platform.publish(nil)
	ranked := liveMembers(s.list, member.RankSeats(s.list, 1)[0])
	f := &follower{now: s.now, ranked: ranked}
	f.Machine = New(Params{Self: ranked[rank], Rand: rand.New(rand.NewPCG(1, 1)), SelfManagedList: true}, f.now)
	f.AdoptList(s.list)
	f.PlatformDone(f.now, Op{Kind: Read, Key: indexKey, Sent: f.now}, s.visibleValue(pendingOp{op: Op{Key: indexKey}, vm: s.vms[0]}))
	if f.Snapshot().Ticket() != 1 {
		t.Fatalf("got ticket %d applied, want 1", f.Snapshot().Ticket())
	}
	return f
}

// firstRead delivers r from the first reader about every 250 ms and returns after which
// time the VM first reads the platform; false when it does not within d.
func (f *follower) firstRead(d time.Duration, r Report) (time.Duration, bool) {
	start := f.now
	for i := 0; f.now.Sub(start) < d; i++ {
		if i%5 == 0 && r.Ticket != 0 {
			r.Digest = f.digest
			f.ReceiveReport(f.now, f.ranked[0], r)
		}
		reads := slices.ContainsFunc(f.Next(f.now, contactList(f.ranked)), func(o Op) bool { return o.Kind != Fetch })
		if reads {
			return f.now.Sub(start), true
		}
		f.now = f.now.Add(step)
	}
	return 0, false
}

// Guards against a VM that misses changes because it treats platform responses to other
// VMs as its own. It must read the platform when it receives no reports, when readers
// only know of responses to others, and when it cannot fetch what they read. It must
// not read while readers confirm that its configuration is up to date.
func TestVMReadsOnceNothingSaysThatItIsCurrent(t *testing.T) {
	const recent = 100 * time.Millisecond
	cases := map[string]Report{
		"no report":         {},
		"answers to others": {Ticket: 1, PlatformKnown: true, PlatformAge: recent},
		"unknown ticket":    {Ticket: 2, ReadKnown: true, ReadAge: recent},
		"reader that lags":  {Ticket: 1, ReadKnown: true, ReadAge: 5 * time.Second},
	}
	for rank := Readers; rank < 10; rank++ {
		for name, r := range cases {
			t.Run(fmt.Sprintf("%s, rank %d", name, rank), func(t *testing.T) {
				f := newFollower(t, rank)
				for _, reader := range f.ranked[:Readers] {
					f.ReceiveReport(f.now, reader, Report{Ticket: 1, Digest: f.digest, ReadKnown: true})
				}
				if at, ok := f.firstRead(5*time.Second, r); !ok || at > directReadBound {
					t.Errorf("first read after %v (read: %t), want one within %v", at, ok, directReadBound)
				}
			})
		}
	}
	f := newFollower(t, 9)
	if at, ok := f.firstRead(20*time.Second, Report{Ticket: 1, ReadKnown: true, ReadAge: recent}); ok {
		t.Errorf("VM with a confirmed configuration reads the platform after %v, want no read", at)
	}
}

// Guards against backup readers that leave the fleet with too few readers: while a
// reader cannot read, the VM next in rank takes its place.
func TestBackupReaderReplacesReaderThatCannotRead(t *testing.T) {
	f := newFollower(t, Readers)
	receive := func(ids ...string) {
		for _, id := range ids {
			f.ReceiveReport(f.now, id, Report{Ticket: 1, Digest: f.digest, ReadKnown: true})
		}
		f.Next(f.now, contactList(f.ranked))
	}
	receive(f.ranked[:Readers]...)
	if f.Role() != Standby {
		t.Fatalf("got role %v with three active readers, want standby", f.Role())
	}
	f.now = f.now.Add(replaceAfter)
	receive(f.ranked[1:Readers]...)
	if f.Role() != Watcher {
		t.Fatalf("got role %v with two active readers, want watcher", f.Role())
	}
	receive(f.ranked[:Readers]...)
	if f.Role() != Standby {
		t.Fatalf("got role %v after the third reader returned, want standby", f.Role())
	}
}

// Guards against a VM that lost contact with the readers and still waits out the long
// backoff that applies while in contact with them: it must follow the platform by
// itself.
func TestVMThatLosesContactWithReadersRetriesSoon(t *testing.T) {
	f := newFollower(t, 9)
	tries := 0
	var last time.Time
	advance := func(d time.Duration, c Contacts) {
		for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
			for _, op := range f.Next(f.now, c) {
				if op.Kind != Fetch {
					tries, last = tries+1, f.now
					f.PlatformDone(f.now, op, Value{Status: Failed})
				}
			}
		}
	}
	for tries < 3 {
		advance(step, contactList(f.ranked))
	}
	failed := last
	advance(directReadBackoff+2*step, contactList(nil))
	if tries < 4 {
		t.Fatalf("got no read within %v after the failed one at %v, want one", f.now.Sub(failed), failed)
	}
}

// Guards against VMs that read by themselves all the time where the platform seldom
// changes, because the readers' watches last longer than their responses stay recent.
func TestOnlyReadersReadAnIdlePlatform(t *testing.T) {
	s := startedSim(true)
	ranked := liveMembers(s.list, member.RankSeats(s.list, 1)[0])
	readers := ranked[:Readers]
	s.openWatches = slices.DeleteFunc(s.openWatches, func(p pendingOp) bool { return !slices.Contains(readers, p.vm.id) })
	for range 400 {
		s.advance(step)
		for _, p := range s.openWatches {
			if !slices.Contains(readers, p.vm.id) {
				t.Fatalf("%s (role %v) watches an idle platform, want only readers to watch", p.vm.id, p.vm.machine.Role())
			}
		}
		for _, id := range ranked[Readers:] {
			if v := s.byID[id]; v.machine.Role() != Standby || v.machine.indexPoll.inFlight {
				t.Fatalf("%s (role %v) reads an idle platform, want an idle standby", id, v.machine.Role())
			}
		}
	}
}

// Guards against a VM that reports itself as behind after it caught up, because the
// newest platform reads did not fit among the waiting ones.
func TestNewestWaitingReadIsKept(t *testing.T) {
	var f freshness
	start := time.Unix(1000, 0)
	for i := range 2 * maxWaitingReads {
		f.record(platformRead{ticket: 9, at: start.Add(time.Duration(i) * time.Second)}, 1)
	}
	if age := f.oldestWaitingAge(start.Add(time.Minute)); age != time.Minute {
		t.Errorf("oldest waiting read is %v old, want one minute", age)
	}
	f.recheckWaiting(9)
	if want := start.Add((2*maxWaitingReads - 1) * time.Second); !f.asOf.Equal(want) || len(f.waiting) > 0 {
		t.Errorf("confirmed up to date as of %v, want %v; %d reads still wait, want 0", f.asOf, want, len(f.waiting))
	}
}
