package platform

import (
	"errors"
	"fmt"
	"time"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/invariant"
	"github.com/galenasail/galenasail/core/member"
)

// publish makes the state of the machine visible and reports its effects. It
// runs on the duty, which is the only writer of the state.
func (r *Reader) publish() {
	next := *r.state.Load()
	effects := r.machine.TakeEffects()
	for _, e := range effects {
		switch e.Kind {
		case config.Applied:
			r.takeSnapshot(&next, e.Snapshot)
		case config.ListApplied:
			r.takeList(&next, e.List)
		case config.BecameReady:
			next.ready = true
		}
	}
	next.own, next.response = r.machine.LastOwnResponse(), r.machine.LastResponse()
	next.read, next.current = r.machine.UpToDateByOwnReads(), r.machine.UpToDateAsOf()
	next.reads = r.machine.Role() == config.Watcher
	old := r.state.Swap(&next)
	if next.own.After(old.own) {
		r.config.OnResponse(next.own)
	}
	for _, e := range effects {
		r.report(e, old, &next)
	}
}

// takeSnapshot asserts that the configuration never reverts.
func (r *Reader) takeSnapshot(next *state, s *document.Snapshot) {
	if next.snapshot != nil && s.Ticket() <= next.snapshot.Ticket() {
		r.config.Events.Violated(invariant.Config, "ticket",
			fmt.Sprintf("ticket %d would replace ticket %d", s.Ticket(), next.snapshot.Ticket()))
		return
	}
	next.snapshot = s
	next.indexRaw, _ = r.machine.Raw()
}

// takeList asserts that the VM list never reverts.
func (r *Reader) takeList(next *state, l *member.List) {
	if next.list != nil && l.Version <= next.list.Version {
		r.config.Events.Violated(invariant.Config, "list",
			fmt.Sprintf("list version %d would replace version %d", l.Version, next.list.Version))
		return
	}
	next.list = l
	_, next.listRaw = r.machine.Raw()
}

// report records one effect after the new state is visible.
func (r *Reader) report(e config.Effect, old, next *state) {
	events := r.config.Events
	switch e.Kind {
	case config.Applied:
		if e.Snapshot != next.snapshot {
			return
		}
		r.reportChanges(old.snapshot, e.Snapshot, r.way(e, old))
		r.config.OnTicket(e.Snapshot, e.FromPlatform)
	case config.ListApplied:
		if e.List != next.list {
			return
		}
		events.Record(event.ListApplied, fmt.Sprintf("list %d", e.List.Version), fmt.Sprintf("%d VMs", e.List.Len()))
		r.config.OnList(e.List)
	case config.Refused:
		subject, detail := refusal(e.Err)
		events.Record(event.ConfigRefused, subject, detail)
		r.config.Logger.Info("configuration refused", "subject", subject, "reason", detail)
	case config.PlatformLost:
		events.Record(event.PlatformLost, "", "the platform does not answer this VM")
	case config.PlatformBack:
		events.Record(event.PlatformBack, "", "the platform answers this VM")
	case config.BecameReady:
		r.config.OnTicket(next.snapshot, false)
	case config.Behind:
		events.Record(event.ConfigBehind, fmt.Sprintf("ticket %d", next.snapshot.Ticket()), e.Lag.String())
	case config.CaughtUp:
		events.Record(event.ConfigCurrent, fmt.Sprintf("ticket %d", next.snapshot.Ticket()), e.Lag.String())
	}
}

// refusal returns subject and detail of the event for a refused configuration.
func refusal(err error) (subject, detail string) {
	var invalid *document.ValidationError
	if errors.As(err, &invalid) && invalid.Ticket != 0 {
		return fmt.Sprintf("ticket %d", invalid.Ticket), err.Error()
	}
	return "", err.Error()
}

// way says from where a configuration came and how long ago the former one was known to
// be the newest.
func (r *Reader) way(e config.Effect, old *state) string {
	from := " of peers"
	if e.FromPlatform {
		from = " of the platform"
	}
	if old.current.IsZero() {
		return from
	}
	age := r.now().Sub(old.current)
	r.config.OnAge(age)
	return fmt.Sprintf("%s, the former ones were known to be the newest %v ago", from, age.Round(time.Millisecond))
}

// reportChanges records what a ticket changes for targets, keys and failure
// domains. The first configuration of a process is recorded as a whole.
func (r *Reader) reportChanges(old, s *document.Snapshot, way string) {
	events := r.config.Events
	detail := fmt.Sprintf("%d documents%s", len(s.Index.Documents), way)
	if old == nil {
		events.Record(event.ConfigApplied, fmt.Sprintf("ticket %d", s.Ticket()), detail)
		return
	}
	changes := document.Diff(old, s)
	events.Record(event.ConfigApplied, fmt.Sprintf("ticket %d", s.Ticket()),
		fmt.Sprintf("%s, %d changes from ticket %d", detail, changes.Len(), old.Ticket()))
	for _, k := range changes.Keys {
		if k.Action == document.Revoked {
			events.Record(event.KeyRevoked, k.Workspace, "key with digest "+k.Digest[:8])
		}
	}
	for _, d := range changes.Domains {
		switch d.Action {
		case document.TakenOutOfService:
			events.Record(event.DomainOut, d.Domain, "no new work from this ticket on")
		case document.ReturnedToService:
			events.Record(event.DomainIn, d.Domain, "new work from this ticket on")
		}
	}
	for _, t := range changes.Targets {
		if t.Action == document.Drained {
			events.Record(event.TargetDraining, t.Service+"/"+t.Target, "no new requests from this ticket on")
		}
	}
}
