package member

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func listOf(version uint64, ids ...int) *List {
	l := &List{Version: version}
	for _, id := range ids {
		l.VMs = append(l.VMs, VM{ID: fmt.Sprintf("vm-%03d", id), Address: "a:1", PeerAddress: "b:1", FailureDomain: "d", State: Live})
	}
	return l
}

// Guards against two exclusive holders on different list versions: quorums of two lists that
// differ by less than a quarter of their length must share a member.
func TestQuorumsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 64).Draw(t, "members")
		replaced := rapid.IntRange(0, n).Draw(t, "replaced")
		a := &List{}
		b := &List{}
		for i := 0; i < n; i++ {
			a.VMs = append(a.VMs, listOf(1, i).VMs...)
			b.VMs = append(b.VMs, listOf(2, i+replaced).VMs...)
		}
		if err := a.Normalise(); err != nil {
			t.Fatal(err)
		}
		union := UnionLen(a, b)
		if 2*Quorum(n) <= union {
			return
		}
		// In the worst case the quorum of a is at one end of the union and that of b at
		// the other end.
		shared := 2*Quorum(n) - union
		if shared < 1 {
			t.Fatalf("%d members, %d replaced: quorums may be disjoint", n, replaced)
		}
	})
}

// Guards against a rank order that depends on the list order or omits members.
func TestRankIsAPermutation(t *testing.T) {
	l := listOf(1, 1, 2, 3, 4, 5)
	reversed := listOf(1, 5, 4, 3, 2, 1)
	a, b := Rank(l, "shard/7"), Rank(reversed, "shard/7")
	if fmt.Sprint(a) != fmt.Sprint(b) || len(a) != 5 {
		t.Fatalf("got ranks %v and %v for the same 5 members in another order", a, b)
	}
}

// Guards against a change of the number of cells that moves most names to another cell.
func TestCellChangeMovesFewNames(t *testing.T) {
	const names, cells = 20000, 10
	moved := 0
	for i := 0; i < names; i++ {
		name := fmt.Sprintf("workspace-%d", i)
		if CellOf(name, cells) != CellOf(name, cells+1) {
			moved++
		}
	}
	if moved > 2*names/(cells+1) {
		t.Fatalf("%d of %d names moved to another cell", moved, names)
	}
}
