// Package roster maintains the list of the fleet's VMs by gossip, for fleets without a
// published list. It starts no goroutine; the caller passes the time in.
package roster

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenasail/galenasail/core/member"
)

const (
	// ExpireAfter is how long a VM from which no VM receives heartbeats stays in the
	// list. Its shares of rates stay reserved for that long.
	ExpireAfter = time.Minute
	// leftRetention is how long a VM that announced its departure stays in the list.
	leftRetention = 10 * time.Second
	// MaxMembers bounds the number of VMs of a roster, as a protection against
	// corrupt messages.
	MaxMembers = 8192
)

// MemberRecord is the information about one VM that VMs exchange.
type MemberRecord struct {
	// VM holds the ID, the addresses and the failure domain of the VM.
	VM member.VM
	// Instance is the process instance of the VM, 0 when unknown.
	Instance uint64
	// Age is the time since any VM last received a heartbeat from it.
	Age time.Duration
	// Left is true when that instance announced its departure.
	Left bool
}

// entry is the record of one VM other than this one.
type entry struct {
	vm       member.VM
	instance uint64
	lastSeen time.Time
	left     bool
	leftAt   time.Time // when this VM learned of the departure
}

// Roster is the set of known VMs. It is not safe for concurrent use.
type Roster struct {
	self     member.VM
	instance uint64
	entries  map[string]*entry
	list     *member.List
	version  uint64
	digest   uint64
	// cellSize is the target size of a cell in VMs.
	cellSize int
	unreached
}

// New returns a roster that holds only the VM self. Instance identifies this VM's process.
// CellSize is the target size of the cells of its lists in VMs; 0 means
// member.DefaultCellSize.
func New(self member.VM, instance uint64, cellSize int) *Roster {
	r := &Roster{self: self, instance: instance, entries: map[string]*entry{}, cellSize: cellSize}
	r.lost = map[string]bool{}
	r.rebuild()
	return r
}

// Len returns the number of VMs, the VM itself included.
func (r *Roster) Len() int { return r.list.Len() }

// List returns the VMs of the roster, sorted by ID. Its version increases with each change.
func (r *Roster) List() *member.List { return r.list }

// Digest returns a hash of the VMs and their states. Rosters with the same VMs in the same
// states have the same digest.
func (r *Roster) Digest() uint64 { return r.digest }

// Export returns the records of all VMs, this VM's first.
func (r *Roster) Export(now time.Time) []MemberRecord {
	out := []MemberRecord{{VM: r.self, Instance: r.instance}}
	for _, vm := range r.list.VMs {
		if e := r.entries[vm.ID]; e != nil {
			out = append(out, MemberRecord{VM: e.vm, Instance: e.instance, Age: max(0, now.Sub(e.lastSeen)), Left: e.left})
		}
	}
	return out
}

// MissingFrom returns this VM's record, and then the records of VMs that left or that are not
// in received as present.
func (r *Roster) MissingFrom(received []MemberRecord, now time.Time) []MemberRecord {
	known := map[string]bool{}
	for _, record := range received {
		known[record.VM.ID] = !record.Left
	}
	out := r.Export(now)
	rest := out[:1]
	for _, record := range out[1:] {
		if !known[record.VM.ID] || record.Left {
			rest = append(rest, record)
		}
	}
	return rest
}

// Merge adds the records that another VM sent, its own first. It returns true when the set of
// VMs, the state of one or the number of unreached ones changed.
func (r *Roster) Merge(all []MemberRecord, now time.Time) bool {
	fromOther := len(all) > 0 && all[0].VM.ID != r.self.ID && all[0].Age == 0
	changed := fromOther && r.recordReached(now)
	for _, record := range all {
		changed = r.merge(record, now) || changed
	}
	if changed {
		r.rebuild()
	}
	return changed
}

// merge adds one record. It reports whether the set of VMs or the state of one changed.
func (r *Roster) merge(record MemberRecord, now time.Time) bool {
	if !complete(record.VM) || record.VM.ID == r.self.ID || record.Age >= ExpireAfter {
		return false
	}
	lastSeen := now.Add(-record.Age)
	e := r.entries[record.VM.ID]
	if e == nil {
		if record.Left || len(r.entries) >= MaxMembers {
			return false
		}
		r.entries[record.VM.ID] = &entry{vm: record.VM, instance: record.Instance, lastSeen: lastSeen}
		return true
	}
	newer := lastSeen.After(e.lastSeen)
	if newer {
		e.lastSeen = lastSeen
	}
	switch {
	case record.Instance == e.instance:
		return record.Left && e.markLeft(now)
	case newer && record.Instance != 0:
		wasLeft := e.left
		e.instance, e.left, e.vm = record.Instance, record.Left, record.VM
		return wasLeft != e.left
	}
	return false
}

// complete reports whether vm has all required fields.
func complete(vm member.VM) bool {
	return vm.ID != "" && vm.Address != "" && vm.PeerAddress != "" && vm.FailureDomain != ""
}

// markLeft records the departure of the instance. It returns false when it was known.
func (e *entry) markLeft(now time.Time) bool {
	if e.left {
		return false
	}
	e.left, e.leftAt = true, now
	return true
}

// RecordHeartbeat records that this VM received a heartbeat from an instance of another VM at
// the given time, and whether the instance announced its departure. A heartbeat that is not
// newer than the last information about a different instance is ignored: a former process
// stays in contact for a while after its end.
func (r *Roster) RecordHeartbeat(id string, instance uint64, leaving bool, at time.Time) {
	e := r.entries[id]
	if e == nil || instance == 0 || (e.instance != instance && !at.After(e.lastSeen)) {
		return
	}
	if at.After(e.lastSeen) {
		e.lastSeen = at
	}
	changed := r.recordReached(at)
	if e.instance != instance {
		changed = changed || e.left
		e.instance, e.left = instance, false
	}
	if leaving && e.markLeft(at) {
		changed = true
	}
	if changed {
		r.rebuild()
	}
}

// Expire removes VMs from which no VM received a heartbeat for ExpireAfter, and VMs that
// announced their departure at least leftRetention ago. The former still count until another
// VM is heard of: this VM may be the one that is cut off.
func (r *Roster) Expire(now time.Time) {
	removed := false
	for id, e := range r.entries {
		left := e.left && now.Sub(e.leftAt) >= leftRetention
		if !left && now.Sub(e.lastSeen) < ExpireAfter {
			continue
		}
		if !e.left {
			r.recordLost(id, now)
		}
		delete(r.entries, id)
		removed = true
	}
	if removed {
		r.rebuild()
	}
}

// rebuild computes the list and the digest from the entries.
func (r *Roster) rebuild() {
	vms := []member.VM{r.self}
	r.digest = memberDigest(r.self.ID, member.Live)
	for _, e := range r.entries {
		vm := e.vm
		vm.State = member.Live
		if e.left {
			vm.State = member.Leaving
		}
		vms = append(vms, vm)
		r.digest += memberDigest(vm.ID, vm.State)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	r.version++
	r.list = &member.List{Version: r.version, VMs: vms, CellSize: r.cellSize, Unreached: r.unreached.count()}
}

// memberDigest returns the contribution of one VM to the digest, which is the sum over all VMs.
func memberDigest(id string, state member.State) uint64 {
	return xxhash.Sum64String(id + "/" + string(state))
}
