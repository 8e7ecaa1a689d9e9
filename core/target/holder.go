package target

import (
	"maps"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/event"
)

// Time constants of permits.
const (
	// HoldSlack is added to the longest route timeout: an entry VM may reuse an idle
	// permit for this long after requesting it.
	HoldSlack = 500 * time.Millisecond
	// clockSlack is the ratio of clock rates between VMs that permit deadlines tolerate.
	clockSlack = 1.02
	// clockMargin covers scheduling delays between the deadline and its check.
	clockMargin = 20 * time.Millisecond
	// propagationTime is how long a ticket may take to reach all VMs.
	propagationTime = 3 * time.Second
)

// Config sets up a Holder.
type Config struct {
	// View describes the group at the ticket that is in effect.
	View *View
	// Members lists the IDs of the VMs of the cell, this VM included.
	Members []string
	// FirstPermit is the identifier before the first permit. Holders of different leases
	// must use disjoint ranges.
	FirstPermit uint64
	// Emit receives events about targets. Default: they are dropped.
	Emit func(Event)
	// RetryBudget is the fleet-wide budget of repeated requests to the service.
	RetryBudget FleetRetryBudget
	// Anticipate makes the holder learn how many requests each target serves at once, and
	// report the slots that it would grant as free. It affects only placement by health
	// estimates. Default: false.
	Anticipate bool
	// OverloadControl weighs sheds against those of the other targets. It applies to services
	// with placement by health estimates. Default: false.
	OverloadControl bool
	// Defect injects a deliberate fault into a randomised test run. Default: none.
	Defect Defect
}

// Defect is a deliberate fault. Tests inject it to show that a check can fail.
type Defect uint8

// The defects that a test can inject.
const (
	// DefectNone injects no fault.
	DefectNone Defect = iota
	// DefectFloor ejects targets without regard to the floor.
	DefectFloor
	// DefectCold treats each target as warm.
	DefectCold
	// DefectLeaving issues permits for closed targets.
	DefectLeaving
	// DefectSlots subtracts a released permit twice from the slots in use.
	DefectSlots
	// DefectTakeover issues permits without regard to those of earlier holders.
	DefectTakeover
	// DefectRetryBudget starts with an unspent reserve of the retry budget.
	DefectRetryBudget
)

// Holder is the state of one group at the VM that holds its lease and places its
// requests. It is not safe for concurrent use.
type Holder struct {
	view    *View
	members []string
	emit    func(Event)
	defect  Defect
	targets []*state
	permits map[permitKey]*permit
	// ended lists permits that were released less than endedMemory ago.
	ended       map[permitKey]time.Time
	lastID      uint64
	baseline    baseline
	answerTimes map[string]*latencyHistogram // by route
	anticipate  bool
	references  map[string]*reference // by route
	// partialSheds counts the sheds and answers of targets with free slots.
	partialSheds failureCounter
	limitShare   float64 // set by SetShare; 0 until then
	retries      retryAccount
	failures     failureCounter
	// overloadControl is Config.OverloadControl; shedding is set by UpdateShedding.
	overloadControl bool
	shedding        bool
	// lastSeen is when each VM last called.
	lastSeen map[string]time.Time
	takeover takeover
	// healthySlots is the result of freeHealthySlots at healthySlotsAt.
	healthySlots   int
	healthySlotsAt time.Time
}

type permitKey struct {
	instance uint64
	id       uint64
}

type permit struct {
	target *state
	vm     string
	route  string
	// generation is the caller's report generation at the acquire.
	generation uint32
	issuedAt   time.Time
	// previousGrant is when the target was granted before.
	previousGrant time.Time
	deadline      time.Time
	// mayIdle is true when the entry VM may keep the permit unused for a while.
	mayIdle bool
	// adopted is true when another holder issued the permit, at an unknown time.
	adopted bool
	// concurrency is the highest number of requests that were on the target together with
	// this one, itself included.
	concurrency int
	// first is true while the permit counts as a first request for the retry budget, for
	// which it earned this part of a repeat.
	first  bool
	earned float64
	// ageStrikes is how often the permit's age has been recorded as a bad outcome.
	ageStrikes int
}

// state is one target of the group.
type state struct {
	doc              document.Target
	open             bool
	inUse            int
	lastGrant        time.Time
	ramp             ramp
	score            score
	eject            ejection
	paths            map[string]*path
	suspectedRestart *suspectedRestart
	unreported       unreportedPermits
	// running holds the permits in use.
	running map[permitKey]*permit
	health  healthEstimate
	// capacity is learned only with Config.Anticipate.
	capacity capacity
	sheds    shedCounter
}

// NewHolder returns the state of a new lease. It issues no permits before Tick has
// ended the takeover.
func NewHolder(c Config, now time.Time) *Holder {
	h := &Holder{
		view:            c.View,
		members:         c.Members,
		emit:            c.Emit,
		defect:          c.Defect,
		permits:         map[permitKey]*permit{},
		ended:           map[permitKey]time.Time{},
		lastID:          c.FirstPermit,
		lastSeen:        map[string]time.Time{},
		answerTimes:     map[string]*latencyHistogram{},
		anticipate:      c.Anticipate,
		references:      map[string]*reference{},
		partialSheds:    newFailureCounter(),
		retries:         newRetryAccount(c.RetryBudget, now),
		failures:        newFailureCounter(),
		overloadControl: c.OverloadControl,
	}
	if h.emit == nil {
		h.emit = func(Event) {}
	}
	h.retries.ignoresPredecessor = c.Defect == DefectRetryBudget
	h.takeover.begin(now)
	for _, doc := range c.View.Group.Targets {
		s := h.newState(doc, now)
		s.unreported = unreportedPermits{until: now.Add(h.holdWithMargin(c.View.LongestHold)), ticket: c.View.MembersTicket}
		h.targets = append(h.targets, s)
	}
	return h
}

func (h *Holder) newState(doc document.Target, now time.Time) *state {
	s := &state{doc: doc, open: IsOpen(doc, h.view.OutDomains), paths: map[string]*path{}, running: map[permitKey]*permit{}, sheds: newShedCounter()}
	s.health.setColdUntil(doc, now)
	if h.placesByHealth() {
		return s
	}
	s.ramp.restart(now)
	return s
}

// holdWithMargin returns how long the holder regards a permit of the given length as
// in use, with margins for delays and clock rates.
func (h *Holder) holdWithMargin(hold time.Duration) time.Duration {
	return time.Duration(float64(hold+HoldSlack)*clockSlack) + clockMargin
}

// View returns the view of the group that was last applied.
func (h *Holder) View() *View {
	return h.view
}

// SetMembers replaces the IDs of the VMs of the cell.
func (h *Holder) SetMembers(ids []string) {
	h.members = ids
	maps.DeleteFunc(h.lastSeen, func(vm string, _ time.Time) bool { return !slices.Contains(ids, vm) })
}

// Apply replaces the view of the group by that of a new ticket. Permits in use stay
// valid.
func (h *Holder) Apply(v *View, now time.Time) {
	previous := h.view
	h.view = v
	old := make(map[string]*state, len(h.targets))
	for _, s := range h.targets {
		old[s.doc.ID] = s
	}
	targets := make([]*state, 0, len(v.Group.Targets))
	for _, doc := range v.Group.Targets {
		s := old[doc.ID]
		if s == nil || s.doc.Address != doc.Address || s.doc.Process != doc.Process {
			s = h.newMemberState(doc, previous, now)
		} else {
			h.updateState(s, doc, now)
		}
		targets = append(targets, s)
	}
	h.targets = targets
}

// newMemberState returns the state of a target that the group did not have. A target
// that moved from another group of the service may still run requests with permits
// that the other group's holder issued.
func (h *Holder) newMemberState(doc document.Target, previous *View, now time.Time) *state {
	s := h.newState(doc, now)
	for _, t := range previous.Service.Targets {
		if t.ID == doc.ID {
			until := now.Add(propagationTime + h.holdWithMargin(h.view.LongestHold))
			s.unreported = unreportedPermits{until: until, ticket: h.view.MembersTicket}
		}
	}
	h.reattach(s)
	return s
}

// reattach moves the permits in use of a removed target to its new state, when a
// later ticket adds the same target again.
func (h *Holder) reattach(s *state) {
	for key, p := range h.permits {
		old := p.target
		if old != s && old.doc.ID == s.doc.ID && old.doc.Address == s.doc.Address && old.doc.Process == s.doc.Process {
			p.target = s
			s.running[key] = p
			s.inUse++
		}
	}
}

// updateState applies the document of a ticket to a known target.
func (h *Holder) updateState(s *state, doc document.Target, now time.Time) {
	wasOpen := s.open
	wasDraining := s.doc.State == document.Draining
	if doc.ColdMs != s.doc.ColdMs {
		s.health.setColdUntil(doc, now)
	}
	s.doc = doc
	s.open = IsOpen(doc, h.view.OutDomains)
	s.ramp.resize(doc.Slots)
	if doc.State == document.Draining && !wasDraining {
		h.emitEvent(event.TargetDraining, s, "ticket %d, %d requests in use", h.view.Ticket, s.inUse)
	}
	if s.open && !wasOpen && h.anticipate {
		h.beginReturn(s, now)
	}
	if s.open && !wasOpen && !h.placesByHealth() {
		h.clearEjection(s)
		h.turnCold(s, now, "returned to service")
	}
}

// FreeSlots returns the number of permits that can be issued now. For groups of one failure
// domain it counts targets that are not probably gray only: the figure tells other domains
// and this one where requests can be served. With Config.Anticipate it counts the slots that
// the holder would grant now (see anticipatedFreeSlots).
func (h *Holder) FreeSlots(now time.Time) int {
	if h.view.Service.GroupByDomain && h.placesByHealth() {
		return h.freeHealthySlots(now)
	}
	if h.anticipate && h.placesByHealth() {
		return h.anticipatedFreeSlots(now)
	}
	free := 0
	for _, s := range h.targets {
		if h.usable(s, now) {
			free += max(0, h.limit(s)-s.inUse)
		}
	}
	return free
}

// Capacity returns the number of slots that can be in use at once now.
func (h *Holder) Capacity(now time.Time) int {
	sum := 0
	for _, s := range h.targets {
		if h.usable(s, now) {
			sum += h.limit(s)
		}
	}
	return sum
}

// Ramping reports whether an open target that is not ejected is in cold start.
func (h *Holder) Ramping() bool {
	for _, s := range h.targets {
		if s.open && s.ramp.cold && !s.eject.active {
			return true
		}
	}
	return false
}

// WarmTargets returns the IDs of the open targets that are neither cold nor ejected.
func (h *Holder) WarmTargets() []string {
	var warm []string
	for _, s := range h.targets {
		if s.open && !s.ramp.cold && !s.eject.active {
			warm = append(warm, s.doc.ID)
		}
	}
	return warm
}

// emitEvent emits an event about s.
func (h *Holder) emitEvent(k event.Kind, s *state, format string, args ...any) {
	h.emit(Event{Kind: k, Subject: h.view.Service.Name + "/" + s.doc.ID, Detail: sprintf(format, args...)})
}

// IsCold reports whether a target of the group is in cold start.
func (h *Holder) IsCold(id string) bool {
	s := h.find(id)
	return s != nil && s.ramp.cold
}
