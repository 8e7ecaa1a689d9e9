// Package idem implements the idempotency table of one VM instance. It decides
// whether a request with an idempotency key may run, and stores answers for
// retries.
//
// The same instance does not run a key twice: when the record of a key has expired, a
// tombstone with the hash of the key remains for at least Limits.MinTombstoneAge. When
// a limit is reached, new keys are refused before they run. Records of running requests
// are never removed. Time is passed in; the package is not safe for concurrent use.
package idem

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits bounds a Table.
type Limits struct {
	// Entries is the maximum number of records. Default: 65536.
	Entries int
	// Bytes is the maximum size of all records with their answers. Default: 16 MiB.
	Bytes int
	// WorkspaceEntries is the maximum number of records of one workspace. Default: a
	// quarter of Entries.
	WorkspaceEntries int
	// WorkspaceBytes is the maximum size of the records of one workspace. Default: a
	// quarter of Bytes.
	WorkspaceBytes int
	// Retention is how long an ended record is kept with its answer. Default: 10 min.
	Retention time.Duration
	// Tombstones is the maximum number of keys in each of the two generations of
	// tombstones. A full generation of the default size takes 16 bytes per key.
	// Default: 1048576.
	Tombstones int
	// MinTombstoneAge is the age from which a generation of tombstones may be dropped
	// to make room for new ones. Default: 24 h.
	MinTombstoneAge time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.Entries, 65536)
	setDefault(&l.Bytes, 16<<20)
	setDefault(&l.WorkspaceEntries, (l.Entries+3)/4)
	setDefault(&l.WorkspaceBytes, (l.Bytes+3)/4)
	setDefault(&l.Retention, 10*time.Minute)
	setDefault(&l.Tombstones, 1<<20)
	setDefault(&l.MinTombstoneAge, 24*time.Hour)
	return l
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Answer is an HTTP response that is stored for retries. It must not be modified
// after it was passed to the table.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end headers.
	Header map[string][]string
	// Body is the complete body.
	Body []byte
	// Trailer holds the trailers.
	Trailer map[string][]string
}

// size returns the number of bytes that the answer contributes to the limits.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, fields := range []map[string][]string{a.Header, a.Trailer} {
		for name, values := range fields {
			n += len(name)
			for _, v := range values {
				n += len(v)
			}
		}
	}
	return n
}

// Decision is the state of an idempotency key, which determines what to do with a
// request that has this key.
type Decision uint8

// The results of Begin.
const (
	// Run means that the key is new and that the request may run. Begin has created
	// a record in the state Running.
	Run Decision = iota + 1
	// Running means that the first request with the key has not ended.
	Running
	// AnswerKept means that the request has finished; its answer is returned.
	AnswerKept
	// AnswerNotKept means that the request has finished and that its answer is no
	// longer available.
	AnswerNotKept
	// Unknown means that the request may or may not have run.
	Unknown
	// Reused means that the key was used for a different request.
	Reused
	// Full means that there is no room for a new key. The request did not run.
	Full
)

// recordOverhead is the assumed size of a record without its key and answer, in
// bytes.
const recordOverhead = 256

// id identifies a record.
type id struct {
	workspace string
	key       string
}

func (i id) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(i.workspace)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(i.key)
	return d.Sum64()
}

type record struct {
	id          id
	fingerprint uint64
	state       Decision // Running, AnswerKept, AnswerNotKept or Unknown
	answer      *Answer
	bytes       int
	endedAt     time.Time
}

// usage is the share of one workspace in the table.
type usage struct {
	entries int
	bytes   int
	ended   []*record // ended records, oldest first
}

// Table holds the records of one VM instance.
type Table struct {
	limits     Limits
	records    map[id]*record
	usage      map[string]*usage
	bytes      int
	tombstones tombstones
}

// New returns an empty table.
func New(l Limits) *Table {
	l = l.withDefaults()
	return &Table{
		limits:     l,
		records:    map[id]*record{},
		usage:      map[string]*usage{},
		tombstones: newTombstones(l.Tombstones, l.MinTombstoneAge),
	}
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// Bytes returns the total size of the records, as counted for the limits.
func (t *Table) Bytes() int {
	return t.bytes
}

// Begin decides what to do with a request. After the result Run, the caller must
// call exactly one of Finish, MarkUnknown and Release. The answer is non-nil for
// AnswerKept only.
func (t *Table) Begin(workspace, key string, fingerprint uint64, now time.Time) (Decision, *Answer) {
	i := id{workspace, key}
	t.expireWorkspace(workspace, now)
	if r, ok := t.records[i]; ok {
		if r.fingerprint != fingerprint {
			return Reused, nil
		}
		return r.state, r.answer
	}
	if v, ok := t.tombstones.find(i.hash()); ok {
		return v, nil
	}
	size := recordOverhead + len(workspace) + len(key)
	if !t.tombstones.hasRoom(len(t.records)+1, now) || !t.makeRoom(workspace, 1, size, now) {
		return Full, nil
	}
	t.add(&record{id: i, fingerprint: fingerprint, state: Running, bytes: size})
	return Run, nil
}

// Finish ends the record of a running request that has run. The answer is not
// stored if it is nil or if there is no room for it.
func (t *Table) Finish(workspace, key string, a *Answer, now time.Time) {
	r := t.runningRecord(workspace, key)
	if r == nil {
		return
	}
	t.endRecord(r, AnswerNotKept, now)
	if a == nil || !t.makeRoomForAnswer(r, a.size(), now) {
		return
	}
	r.state = AnswerKept
	r.answer = a
	t.resize(r, a.size())
}

// MarkUnknown ends the record of a running request whose outcome is not known.
func (t *Table) MarkUnknown(workspace, key string, now time.Time) {
	if r := t.runningRecord(workspace, key); r != nil {
		t.endRecord(r, Unknown, now)
	}
}

// Release removes the record of a request that provably did not run, so that a
// retry may run.
func (t *Table) Release(workspace, key string) {
	if r := t.runningRecord(workspace, key); r != nil {
		t.remove(r)
	}
}

// Expire replaces the records that ended at least the retention time ago by
// tombstones.
func (t *Table) Expire(now time.Time) {
	for workspace := range t.usage {
		t.expireWorkspace(workspace, now)
	}
}

func (t *Table) runningRecord(workspace, key string) *record {
	r, ok := t.records[id{workspace, key}]
	if !ok || r.state != Running {
		return nil
	}
	return r
}
