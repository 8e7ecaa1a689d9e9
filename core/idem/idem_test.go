package idem

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against running a key twice. In any order of begins, ends and expirations
// in a table that is too small, a key that ran or is running never gets Run again,
// its record is kept while it runs, a different request with the same key is
// detected, and all limits hold.
func TestNoKeyRunsTwice(t *testing.T) {
	limits := Limits{Entries: 6, Bytes: 4000, WorkspaceEntries: 4, WorkspaceBytes: 2500, Retention: time.Second, Tombstones: 40}
	rapid.Check(t, func(t *rapid.T) {
		table := New(limits)
		now := start
		state := map[string]Decision{} // expected state of each key
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				w, k := drawKey(t)
				if v, a := table.Begin(w, k, 8, now); a != nil || state[w+k] == Running && v != Reused {
					t.Fatalf("Begin of a different request with a running key: got %d, want Reused", v)
				} else if v == Run {
					table.Release(w, k)
				}
				got, answer := table.Begin(w, k, 7, now)
				checkBegin(t, state[w+k], got, answer)
				if got == Run {
					state[w+k] = Running
				}
			},
			"end": func(t *rapid.T) {
				w, k := drawKey(t)
				if state[w+k] != Running {
					return
				}
				switch rapid.IntRange(0, 2).Draw(t, "how") {
				case 0:
					size := rapid.IntRange(0, 3000).Draw(t, "size")
					table.Finish(w, k, &Answer{Status: 200, Body: make([]byte, size)}, now)
					state[w+k] = AnswerKept
				case 1:
					table.MarkUnknown(w, k, now)
					state[w+k] = Unknown
				case 2:
					table.Release(w, k)
					delete(state, w+k)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
				table.Expire(now)
			},
			"": func(t *rapid.T) {
				if table.Len() > limits.Entries || table.Bytes() > limits.Bytes || table.Bytes() < 0 {
					t.Fatalf("table has %d records with %d bytes, above its limits", table.Len(), table.Bytes())
				}
				for w, u := range table.usage {
					if u.entries > limits.WorkspaceEntries || u.bytes > limits.WorkspaceBytes {
						t.Fatalf("workspace %s has %d records with %d bytes, above its limits", w, u.entries, u.bytes)
					}
				}
			},
		})
	})
}

func drawKey(t *rapid.T) (workspace, key string) {
	return rapid.SampledFrom([]string{"a/", "b/"}).Draw(t, "workspace"),
		fmt.Sprint(rapid.IntRange(0, 11).Draw(t, "key"))
}

// checkBegin compares a result of Begin with the expected state of the key.
func checkBegin(t *rapid.T, known, got Decision, a *Answer) {
	ok := got == known
	switch known {
	case 0:
		ok = got == Run || got == Full
	case AnswerKept:
		ok = got == AnswerKept && a != nil || got == AnswerNotKept
	}
	if !ok {
		t.Fatalf("Begin: got %d for a key in state %d", got, known)
	}
}

// Guards against a full set of tombstones that drops a key before its minimum age,
// and against one that refuses new keys forever.
func TestTombstonesAreKeptForTheirMinimumAge(t *testing.T) {
	table := New(Limits{Retention: time.Second, Tombstones: 8, MinTombstoneAge: time.Hour})
	now := start
	var ran []string
	refused := 0
	for i := range 60 {
		now = now.Add(time.Minute)
		k := fmt.Sprint(i)
		switch v, _ := table.Begin("a", k, 1, now); v {
		case Run:
			ran = append(ran, k)
			table.Finish("a", k, nil, now)
		case Full:
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("the test did not fill the set of tombstones")
	}
	for _, k := range ran {
		if v, _ := table.Begin("a", k, 1, now); v != AnswerNotKept {
			t.Fatalf("Begin: got %d for key %s with a tombstone, want AnswerNotKept", v, k)
		}
	}
	if v, _ := table.Begin("a", "new", 1, now.Add(2*time.Hour)); v != Run {
		t.Fatalf("Begin of a new key after the minimum tombstone age: got %d, want Run", v)
	}
}

// Guards against a parser that panics, or that accepts a key which does not survive
// formatting and parsing.
func FuzzParseKey(f *testing.F) {
	for _, s := range []string{"abc.one", "0000000000000abc.a.b", ".x", "g.x", "11112222333344445.x", "a.", "a.\x00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := ParseKey(s)
		if err != nil {
			return
		}
		again, err := ParseKey(FormatInstance(k.Instance) + "." + k.Text)
		if len(s) <= MaxKeyBytes-16 && (err != nil || again != k) {
			t.Fatalf("%q: first parsed as %v, after formatting as %v, error %v", s, k, again, err)
		}
	})
}

// BenchmarkBeginFinish measures one request with a new key.
func BenchmarkBeginFinish(b *testing.B) {
	table := New(Limits{})
	answer := &Answer{Status: 200, Body: make([]byte, 512)}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		key := fmt.Sprint(i)
		table.Begin("a", key, 1, now)
		table.Finish("a", key, answer, now)
	}
}
