package overload

import (
	"math"
	"time"
)

const (
	// recentTime and usualTime are the time constants of the recent and the usual demand
	// of a workspace.
	recentTime = 2 * time.Second
	usualTime  = time.Minute
	// minKnownTime is how long a workspace must be known before its demand can exceed the
	// usual one.
	minKnownTime = 10 * time.Second
	// excessRatio is the ratio of the recent to the usual demand above which requests are
	// in excess; excessSlack is the number of requests allowed in addition, since few
	// requests arrive irregularly.
	excessRatio = 2
	excessSlack = 3
	// minOthersDemand is the usual demand of the other workspaces, in requests within
	// recentTime, from which their rise is known.
	minOthersDemand = 1
	// excessWeight is the weight of a request in excess in the usual demand, so that a
	// lasting rise becomes usual within some minutes.
	excessWeight = 0.2
	// maxWorkspaces bounds the workspaces of a Demand. Others are never in excess.
	maxWorkspaces = 4096
	// forgottenBelow is the usual demand, in requests, below which a workspace may be
	// dropped.
	forgottenBelow = 0.05
)

// Demand compares the recent demand of each workspace with its usual one. A rise that the
// other workspaces share is not an excess. The zero value knows no workspace.
type Demand struct {
	workspaces map[string]*workspaceDemand
	all        workspaceDemand
}

// workspaceDemand holds exponentially decaying counts of requests.
type workspaceDemand struct {
	recent, usual float64
	first, last   time.Time
}

// Record counts a request and reports whether it exceeds the usual demand of its
// workspace.
func (d *Demand) Record(workspace string, now time.Time) (excess bool) {
	w := d.workspace(workspace, now)
	if w == nil {
		return false
	}
	if d.all.first.IsZero() {
		d.all = workspaceDemand{first: now, last: now}
	}
	d.all.record(now)
	w.record(now)
	excess = now.Sub(w.first) >= minKnownTime && w.recent > excessRatio*d.riseBeside(w, now)*w.usualRecent(now)+excessSlack
	weight := 1.0
	if excess {
		weight = excessWeight
	}
	w.usual += weight
	d.all.usual += weight
	return excess
}

// riseBeside returns the ratio of the recent to the usual demand of the other workspaces,
// at least 1. The rise of w itself does not count: a large workspace would otherwise raise
// the bound that its own demand is compared with. Where the others have no usual demand it
// is the ratio of all workspaces, so that a workspace on its own is never in excess.
func (d *Demand) riseBeside(w *workspaceDemand, now time.Time) float64 {
	others := workspaceDemand{recent: d.all.recent - w.recent, usual: d.all.usual - w.usual, first: d.all.first}
	if usual := others.usualRecent(now); usual >= minOthersDemand {
		return max(1, others.recent/usual)
	}
	return max(1, d.all.recent/max(1, d.all.usualRecent(now)))
}

// workspace returns the counts of a workspace, nil when there are too many workspaces.
func (d *Demand) workspace(name string, now time.Time) *workspaceDemand {
	if w := d.workspaces[name]; w != nil {
		return w
	}
	if d.workspaces == nil {
		d.workspaces = map[string]*workspaceDemand{}
	}
	if len(d.workspaces) >= maxWorkspaces {
		d.forget(now)
	}
	if len(d.workspaces) >= maxWorkspaces {
		return nil
	}
	w := &workspaceDemand{first: now, last: now}
	d.workspaces[name] = w
	return w
}

// forget drops the workspaces without demand.
func (d *Demand) forget(now time.Time) {
	for name, w := range d.workspaces {
		w.decay(now)
		if w.usual < forgottenBelow {
			delete(d.workspaces, name)
		}
	}
}

// record counts a recent request.
func (w *workspaceDemand) record(now time.Time) {
	w.decay(now)
	w.recent++
}

// usualRecent returns the recent count that the usual demand leads to.
func (w *workspaceDemand) usualRecent(now time.Time) float64 {
	known := now.Sub(w.first).Seconds() / usualTime.Seconds()
	if known <= 0 {
		return 0
	}
	rate := w.usual / usualTime.Seconds() / (1 - math.Exp(-known))
	return rate * recentTime.Seconds()
}

func (w *workspaceDemand) decay(now time.Time) {
	elapsed := now.Sub(w.last).Seconds()
	w.recent *= math.Exp(-elapsed / recentTime.Seconds())
	w.usual *= math.Exp(-elapsed / usualTime.Seconds())
	w.last = now
}
