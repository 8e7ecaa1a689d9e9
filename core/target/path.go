package target

import (
	"time"

	"github.com/galenasail/galenasail/core/event"
)

// Constants of path avoidance.
const (
	// pathEvidenceTime is how long the success of a VM is evidence that the target itself
	// can be reached.
	pathEvidenceTime = 3 * time.Second
	// pathAvoidTime is how long a pair of VM and target is avoided at first. It doubles
	// with each repetition, because each further attempt may cost the target a cold
	// start.
	pathAvoidTime = 5 * time.Second
	// pathAvoidMax bounds the time of avoidance.
	pathAvoidMax = time.Minute
)

// path is the evidence of one entry VM about its connections to a target.
type path struct {
	// succeededAt is when the VM last got an answer, failedAt when its last request
	// failed; failedAt is zero when there was an answer since. The VM avoids the target
	// until avoidUntil.
	succeededAt time.Time
	failedAt    time.Time
	avoidUntil  time.Time
	// avoidTime is the length of the last avoidance.
	avoidTime time.Duration
}

// path returns the path from a VM to s and creates it if needed.
func (s *state) path(vm string) *path {
	p := s.paths[vm]
	if p == nil {
		p = &path{}
		s.paths[vm] = p
	}
	return p
}

func (p *path) succeeded(now time.Time) {
	p.succeededAt = now
	p.failedAt = time.Time{}
	p.avoidTime = 0
}

// avoids reports whether vm must not use the target.
func (s *state) avoids(vm string, now time.Time) bool {
	p := s.paths[vm]
	return p != nil && now.Before(p.avoidUntil)
}

// reachedByOthers reports whether another VM got an answer within pathEvidenceTime and
// no other VM has failed within that time after its last answer.
func (s *state) reachedByOthers(vm string, now time.Time) bool {
	reached := false
	for id, p := range s.paths {
		if id == vm {
			continue
		}
		if p.failedAt.After(p.succeededAt) && now.Sub(p.failedAt) < pathEvidenceTime {
			return false
		}
		if !p.succeededAt.IsZero() && now.Sub(p.succeededAt) < pathEvidenceTime {
			reached = true
		}
	}
	return reached
}

// pathAtFault records a failure of the VM of p and reports whether the path rather
// than the target seems to be at fault: other VMs reach the target, and this VM
// failed twice without an answer in between.
func (h *Holder) pathAtFault(p *permit, now time.Time) bool {
	s := p.target
	pa := s.path(p.vm)
	repeated := !pa.failedAt.IsZero() && now.Sub(pa.failedAt) < pathEvidenceTime+pa.avoidTime
	pa.failedAt = now
	if !repeated || !s.reachedByOthers(p.vm, now) {
		return false
	}
	if now.Before(pa.avoidUntil) {
		return true
	}
	pa.avoidTime = min(max(2*pa.avoidTime, pathAvoidTime), pathAvoidMax)
	pa.avoidUntil = now.Add(pa.avoidTime)
	h.emitEvent(event.PathAvoided, s, "%s cannot reach the target while other VMs do; avoided for %d ms", p.vm, pa.avoidTime.Milliseconds())
	return true
}

// suspectedRestart is a failed connection that may mean that the target restarted.
type suspectedRestart struct {
	// vm is the entry VM whose connection failed.
	vm string
	// issuedAt is when the permit of the failed request was issued.
	issuedAt time.Time
	// failedAt is when the connection failed, rampBefore the ramp of the target until then.
	failedAt   time.Time
	rampBefore ramp
}

// observeLost handles a connection that could not be established or broke. The target
// may have restarted, so it is cold until a request of another VM shows that it did
// not. After the loss of an adopted permit no request can show that, because it is
// unknown when the lost request ran.
func (h *Holder) observeLost(p *permit, now time.Time) {
	s := p.target
	if !h.pathAtFault(p, now) {
		h.recordBad(s, now)
	}
	switch {
	case p.adopted:
		s.suspectedRestart = nil
	case s.suspectedRestart == nil && !s.ramp.cold:
		s.suspectedRestart = &suspectedRestart{vm: p.vm, issuedAt: p.issuedAt, failedAt: now, rampBefore: s.ramp}
	case s.suspectedRestart != nil && s.suspectedRestart.vm == p.vm:
		s.suspectedRestart.failedAt = now
	default:
		s.suspectedRestart = nil
	}
	h.turnCold(s, now, "connection failed from "+p.vm)
}

// clearSuspectedRestart ends the suspicion of a restart when another VM gets an
// answer to a request that ran before the failed one and was answered after the
// failure: its connection survived, so the target did not restart. A permit may be
// used long after it was issued, so the request began at any time between its issue
// and one latency before now.
func (h *Holder) clearSuspectedRestart(p *permit, latency time.Duration, now time.Time) {
	s := p.target
	suspected := s.suspectedRestart
	if suspected == nil || p.adopted || p.vm == suspected.vm {
		return
	}
	latestStart := now.Add(-latency)
	earliestAnswer := p.issuedAt.Add(latency)
	if !latestStart.Before(suspected.issuedAt) || !earliestAnswer.After(suspected.failedAt) {
		return
	}
	s.suspectedRestart = nil
	s.ramp = suspected.rampBefore
	h.emitEvent(event.TargetWarm, s, "the target did not restart: only %s lost a connection", suspected.vm)
}

// dropOldPaths drops the paths without recent evidence.
func (s *state) dropOldPaths(now time.Time) {
	for id, p := range s.paths {
		recent := now.Sub(p.succeededAt) < pathEvidenceTime || now.Sub(p.failedAt) < p.avoidTime+pathEvidenceTime
		if !recent && !now.Before(p.avoidUntil) {
			delete(s.paths, id)
		}
	}
}
