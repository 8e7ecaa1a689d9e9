package deployment

import "testing"

// Guards against two test processes that choose the same ports because neither listens at them
// yet: one of them then fails with "address already in use".
func TestBlockOfPortsIsChosenOnce(t *testing.T) {
	chosen := map[Ports]bool{}
	for range 20 {
		p, err := FreePorts()
		if err != nil {
			t.Fatal(err)
		}
		if chosen[p] {
			t.Fatalf("%+v was returned twice", p)
		}
		chosen[p] = true
	}
}

// Guards against a block that stays locked after its use.
func TestBlockOfPortsIsUnlocked(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir()) // keeps the locks of other processes out
	unlock, ok := lockBlock(0)
	if !ok {
		t.Fatal("a free block was not locked")
	}
	if _, again := lockBlock(0); again {
		t.Error("a locked block was locked again")
	}
	unlock()
	unlock, ok = lockBlock(0)
	if !ok {
		t.Fatal("the block is still locked")
	}
	unlock()
}
