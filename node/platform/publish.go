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

// publish publishes the state of the machine and reports its effects. It runs on the
// duty's goroutine, which is the only writer of the state.
func (r *Reader) publish() {
	next := *r.state.Load()
	effects := r.machine.TakeEffects()
	for _, e := range effects {
		switch e.Kind {
		case config.Applied:
			r.applySnapshot(&next, e.Snapshot)
		case config.ListApplied:
			r.applyList(&next, e.List)
		case config.BecameReady:
			next.ready = true
		}
	}
	next.ownResponse, next.response = r.machine.LastOwnResponse(), r.machine.LastResponse()
	next.upToDateByOwnReads, next.upToDateAsOf = r.machine.UpToDateByOwnReads(), r.machine.UpToDateAsOf()
	next.contestedTicket, next.newestTicket = r.machine.ContestedTicket(), r.machine.NewestTicket()
	now := r.now()
	next.peersAsked, next.hearsPeers = r.machine.PeersAsked(now), r.machine.HearsPeers(now)
	next.isReader = r.machine.Role() == config.Watcher
	old := r.state.Swap(&next)
	if next.ownResponse.After(old.ownResponse) {
		r.config.OnResponse(next.ownResponse)
	}
	for _, e := range effects {
		r.report(e, old, &next)
	}
}

// applySnapshot puts s into next. It reports a violation of the invariant that the
// configuration never reverts, by its ticket or by its version, and keeps the newer
// configuration then.
func (r *Reader) applySnapshot(next *state, s *document.Snapshot) {
	if next.snapshot != nil && s.Ticket() <= next.snapshot.Ticket() {
		r.config.Events.Violated(invariant.Config, "ticket",
			fmt.Sprintf("ticket %d would replace ticket %d", s.Ticket(), next.snapshot.Ticket()))
		return
	}
	if s.ConfigVersion() < next.snapshot.ConfigVersion() {
		r.config.Events.Violated(invariant.Config, "version",
			fmt.Sprintf("configuration version %d of ticket %d would replace version %d", s.ConfigVersion(), s.Ticket(), next.snapshot.ConfigVersion()))
		return
	}
	next.snapshot = s
	next.indexRaw, _ = r.machine.RawIndexAndList()
}

// applyList puts l into next. It reports a violation of the invariant that the VM list
// never reverts, and keeps the newer list then.
func (r *Reader) applyList(next *state, l *member.List) {
	if next.list != nil && l.Version <= next.list.Version {
		r.config.Events.Violated(invariant.Config, "list",
			fmt.Sprintf("list version %d would replace version %d", l.Version, next.list.Version))
		return
	}
	next.list = l
	_, next.listRaw = r.machine.RawIndexAndList()
}

// report records an effect as an event and calls the callbacks. The new state is
// already published then.
func (r *Reader) report(e config.Effect, old, next *state) {
	events := r.config.Events
	switch e.Kind {
	case config.Applied:
		if e.Snapshot != next.snapshot {
			return
		}
		r.reportChanges(old.snapshot, e.Snapshot, r.originDetail(e, old))
		r.reportExclusions(old.snapshot, e.Snapshot)
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

// reportExclusions records the entries that s excludes and old, which may be nil, does not.
func (r *Reader) reportExclusions(old, s *document.Snapshot) {
	known := map[document.Exclusion]bool{}
	if old != nil {
		for _, x := range old.Excluded {
			known[x] = true
		}
	}
	for _, x := range s.Excluded {
		if !known[x] {
			r.config.Events.Record(event.ConfigExcluded, x.Entry, x.Reason)
		}
	}
}

// refusal returns the subject and the detail of the event for a refused configuration.
func refusal(err error) (subject, detail string) {
	var invalid *document.ValidationError
	if errors.As(err, &invalid) && invalid.Ticket != 0 {
		return fmt.Sprintf("ticket %d", invalid.Ticket), err.Error()
	}
	return "", err.Error()
}

// originDetail returns the part of the event detail that says whether a configuration
// came from the platform or from peers, and how long ago the former one was known to be
// the newest. It reports this age to OnConfigAge.
func (r *Reader) originDetail(e config.Effect, old *state) string {
	from := " of peers"
	if e.FromPlatform {
		from = " of the platform"
	}
	if old.upToDateAsOf.IsZero() {
		return from
	}
	age := r.now().Sub(old.upToDateAsOf)
	r.config.OnConfigAge(age)
	return fmt.Sprintf("%s, the former configuration was known to be the newest %v ago", from, age.Round(time.Millisecond))
}

// reportChanges records a new configuration and what it changes for keys, failure
// domains and targets. For the first configuration of a process, whose old is nil, the
// changes are not listed. Origin is the result of originDetail.
func (r *Reader) reportChanges(old, s *document.Snapshot, origin string) {
	events := r.config.Events
	detail := fmt.Sprintf("%d documents%s", len(s.Index.Documents), origin)
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
