package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
)

// Periods for which knowledge from before a return of the store from an older copy
// (see Position.Epoch) replaces the content of the copy. Targets register again within
// about 2 s of the return and renew their registrations every 1.5 s.
const (
	// carryPeriod is how long an active target is kept that has not registered again.
	carryPeriod = 5 * time.Second
	// overridePeriod is how long entries of the copy are ignored where the fleet knew
	// otherwise: targets that had left or were draining, and failure domains whose state
	// differed. Live targets end it by their next write, and the store removes
	// registrations that nobody renews well within that time.
	overridePeriod = 30 * time.Second
	// unverifiedPeriod is how long documents count as unverified that were built without
	// knowing what the fleet had in force: by then the live targets and the operator have
	// repeated their writes, and no reader carries anything any more.
	unverifiedPeriod = 2 * overridePeriod
)

// Known is what this VM knows of the fleet's configuration.
type Known struct {
	// Applied is the configuration applied on this VM, whether it was built here or by
	// a peer; nil before the first one.
	Applied *document.Snapshot
	// ContestedTicket is the highest ticket that is in use with a content that this VM
	// does not apply; 0 for none.
	ContestedTicket uint64
	// NewestTicket is the highest ticket that is applied here or reported by a peer; 0
	// for none.
	NewestTicket uint64
	// HearsPeers is true when reports of peers arrive, or when there are no peers.
	HearsPeers bool
}

// index returns the applied index; nil for none.
func (k Known) index() *document.Index {
	if k.Applied == nil {
		return nil
	}
	return k.Applied.Index
}

// informed reports whether this VM knows what the fleet had in force when an epoch
// began, or has the store's content of that epoch from a VM that knew it.
func (k Known) informed(epoch uint64) bool {
	if k.Applied == nil || k.Applied.Unverified() {
		return false
	}
	applied := EpochOf(k.Applied.Ticket())
	if applied == epoch && !isProvisional(k.Applied.Ticket()) {
		return true
	}
	return k.HearsPeers && EpochOf(k.NewestTicket) <= applied
}

// carriedTarget replaces the store's entry of a target until the store reports a write
// of it.
type carriedTarget struct {
	// registration is the entry known before the return; nil when there was none.
	registration *Registration
	until        time.Time
}

// carriedDomain replaces the store's state of a failure domain until the store reports
// a write of it.
type carriedDomain struct {
	out   bool
	until time.Time
}

// carryState is the knowledge from before a return of the store that is still in use.
type carryState struct {
	// first is the revision of the first read in the epoch: later changes were written
	// after the return.
	first           uint64
	unverifiedUntil time.Time
	// unverified is true when this VM did not know what the fleet had in force before.
	unverified bool
	targets    map[string]carriedTarget
	domains    map[string]carriedDomain
}

// beginEpoch replaces the content of the copy by what the fleet knew before the return.
// A reader that first reads an epoch whose applied documents equal the store's content
// carries nothing: the fleet has stopped doing so.
func (r *Registry) beginEpoch(a Answer) {
	r.retained = map[string]retainedTarget{}
	r.carried = carryState{
		first: a.At.Revision, unverifiedUntil: a.Now.Add(unverifiedPeriod), unverified: !a.Known.informed(a.At.Epoch),
		targets: map[string]carriedTarget{}, domains: map[string]carriedDomain{},
	}
	applied := a.Known.Applied
	if applied == nil || EpochOf(applied.Ticket()) == a.At.Epoch && !isProvisional(applied.Ticket()) {
		return
	}
	for id := range r.entries {
		r.carried.targets[id] = carriedTarget{nil, a.Now.Add(overridePeriod)}
	}
	for _, service := range applied.Services {
		for _, t := range service.Targets {
			period := carryPeriod
			if t.State == document.Draining {
				period = overridePeriod
			}
			r.carried.targets[t.ID] = carriedTarget{&Registration{service.Name, t}, a.Now.Add(period)}
		}
	}
	names := maps.Clone(r.domainsOut)
	for name := range applied.Domains {
		names[name] = true
	}
	for name := range names {
		if out := applied.DomainIsOut(name); out != r.domainsOut[name] {
			r.carried.domains[name] = carriedDomain{out, a.Now.Add(overridePeriod)}
		}
	}
}

// knowsFleetNow reports whether this VM did not know what the fleet had in force when the
// epoch began, and has applied a verified configuration of the epoch since.
func (r *Registry) knowsFleetNow(a Answer) bool {
	return r.carried.unverified && a.Known.informed(r.position.Epoch) && EpochOf(a.Known.Applied.Ticket()) == r.position.Epoch
}

// unverified reports whether the documents may hold entries of an older copy that the
// fleet knows to be outdated.
func (r *Registry) unverified(now time.Time) bool {
	return r.carried.unverified && now.Before(r.carried.unverifiedUntil)
}

// dropCarried drops the carried entries that a change replaces, if the change was written
// after the return of the store. A carried active target whose registration is removed is
// kept for the retention period, because registrations lapse while targets cannot reach
// the store.
func (r *Registry) dropCarried(c Change, now time.Time) {
	if c.Revision <= r.carried.first {
		return
	}
	delete(r.carried.domains, c.Domain)
	held, ok := r.carried.targets[c.Key]
	if !ok {
		return
	}
	if c.Registration != nil || held.registration == nil || held.registration.Target.State != document.Active {
		delete(r.carried.targets, c.Key)
		return
	}
	if until := now.Add(retentionPeriod); until.Before(held.until) {
		held.until = until
		r.carried.targets[c.Key] = held
	}
}

// dropMissingCarried drops the carried entries of keys that a full read in the same epoch no
// longer contains.
func (r *Registry) dropMissingCarried(entries map[string]Registration, domainsOut map[string]bool, a Answer) {
	for id := range entries {
		if _, ok := r.entries[id]; !ok {
			r.dropCarried(Change{Key: id, Revision: a.At.Revision}, a.Now)
		}
	}
	for name := range domainsOut {
		if !r.domainsOut[name] {
			r.dropCarried(Change{Domain: name, Revision: a.At.Revision}, a.Now)
		}
	}
}

// provisional reports whether the documents hold targets or failure domains that differ
// from the store's content.
func (r *Registry) provisional() bool {
	return len(r.retained)+len(r.carried.targets)+len(r.carried.domains) > 0
}

// outDomains returns the failure domains that are out of service.
func (r *Registry) outDomains() map[string]bool {
	out := maps.Clone(r.domainsOut)
	for name, held := range r.carried.domains {
		delete(out, name)
		if held.out {
			out[name] = true
		}
	}
	return out
}

// expiries returns the ends of all periods for which entries are retained or carried.
func (r *Registry) expiries() []time.Time {
	var all []time.Time
	for _, t := range r.retained {
		all = append(all, t.until)
	}
	for _, t := range r.carried.targets {
		all = append(all, t.until)
	}
	for _, d := range r.carried.domains {
		all = append(all, d.until)
	}
	return all
}

// NextExpiry returns when the next retained or carried entry expires; ok is false when
// there is none.
func (r *Registry) NextExpiry() (at time.Time, ok bool) {
	all := r.expiries()
	if len(all) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(all, time.Time.Compare), true
}

// Expire drops the retained and carried entries whose period has ended.
func (r *Registry) Expire(now time.Time) {
	maps.DeleteFunc(r.retained, func(_ string, t retainedTarget) bool { return !now.Before(t.until) })
	maps.DeleteFunc(r.carried.targets, func(_ string, t carriedTarget) bool { return !now.Before(t.until) })
	maps.DeleteFunc(r.carried.domains, func(_ string, d carriedDomain) bool { return !now.Before(d.until) })
}

// newestConfiguration returns the configuration with the higher version: that of the
// store or the applied one.
func (r *Registry) newestConfiguration(applied *document.Snapshot) *Configuration {
	stored := uint64(0)
	if r.configuration != nil {
		stored = r.configuration.Version
	}
	if applied.ConfigVersion() <= stored {
		return r.configuration
	}
	c := &Configuration{Version: applied.ConfigVersion(), documents: document.Content{}}
	for _, name := range slices.Sorted(maps.Keys(applied.Services)) {
		c.Services = append(c.Services, *applied.Services[name])
	}
	for name, raw := range applied.Raw {
		if isOperatorDocument(name) {
			c.documents[name] = raw
		}
	}
	return c
}
