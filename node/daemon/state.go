package daemon

import (
	"context"
	"time"

	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/query"
	"github.com/galenasail/galenasail/node/record"
)

// statusTimeout bounds the wait for the target states in one state query.
const statusTimeout = time.Second

// state collects the state of this VM that operators can query.
func (d *Daemon) state() query.State {
	snapshot := d.reader.Snapshot()
	s := query.State{
		VM:           d.identity.VM,
		Instance:     record.InstanceName(d.identity.Instance),
		FailedDuties: d.system.Failed(),
		Violations:   d.recorder.Violations(),
		Ticket:       snapshot.Ticket(),
		Running:      d.handler.Running(),
		Workspaces:   d.requestMetrics.states(),
	}
	if err := d.cell.Check(); err != nil {
		s.Reason = err.Error()
	} else {
		s.Accepting = true
	}
	if snapshot != nil {
		s.Digest, s.Excluded = snapshot.Digest, snapshot.Excluded
		s.Targets = d.targetStates()
	}
	if list := d.reader.List(); list != nil {
		s.ListVersion = list.Version
		s.Peers = d.peerStates(list)
	}
	s.Leases = d.leaseStates()
	return s
}

// peerStates returns the state of all other VMs of list.
func (d *Daemon) peerStates(list *member.List) []query.PeerState {
	var out []query.PeerState
	for _, vm := range list.VMs {
		if vm.ID != d.identity.VM.ID {
			out = append(out, query.PeerState{ID: vm.ID, InContact: d.cell.InContact(vm.ID)})
		}
	}
	return out
}

// leaseStates returns the leases for which this VM has grants.
func (d *Daemon) leaseStates() []query.LeaseState {
	var out []query.LeaseState
	for s := member.Shard(0); s < member.ShardCount; s++ {
		h, ok := d.cell.Held(s)
		if !ok {
			continue
		}
		out = append(out, query.LeaseState{
			Shard: s, Grants: h.Grants, Members: h.Members, Exclusive: h.Exclusive,
			RemainingMs: time.Until(h.Until).Milliseconds(),
		})
	}
	return out
}

// targetStates returns the targets of the groups that this VM holds.
func (d *Daemon) targetStates() []query.TargetState {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var out []query.TargetState
	for _, group := range d.pool.State(ctx) {
		for _, st := range group.Targets {
			out = append(out, targetState(group.Group, st))
		}
	}
	return out
}

func targetState(group string, st target.Status) query.TargetState {
	out := query.TargetState{Group: group, ID: st.Target, Status: "warm", InUse: st.InUse, Limit: st.Limit}
	switch {
	case !st.Open:
		out.Status, out.Reason = "closed", "draining, or its failure domain is out"
	case st.Ejected:
		out.Status, out.Reason = "ejected", "outlier detection"
	case st.Cold:
		out.Status, out.Reason = "cold", "cold start ramp"
	}
	return out
}

// Ticket returns the ticket in effect; 0 before the first one.
func (d *Daemon) Ticket() uint64 {
	return d.reader.Snapshot().Ticket()
}

// Check returns nil while the VM accepts new work, otherwise the reason as an error.
func (d *Daemon) Check() error {
	return d.cell.Check()
}

// ExclusiveShards returns the number of shards that this VM holds exclusively.
func (d *Daemon) ExclusiveShards() int {
	held := 0
	for s := member.Shard(0); s < member.ShardCount; s++ {
		if h, ok := d.cell.Held(s); ok && h.Exclusive {
			held++
		}
	}
	return held
}
