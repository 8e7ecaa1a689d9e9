package target

import (
	"testing"
	"time"
)

func bookings(perSecond float64) overloadKind {
	return overloadKind{name: "bookings", perSecond: perSecond, work: 160 * time.Millisecond, objective: 600 * time.Millisecond, deadline: 4 * time.Second, priority: 1}
}

func declarations(perSecond float64) overloadKind {
	return overloadKind{name: "declarations", perSecond: perSecond, work: 110 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 3 * time.Second}
}

const (
	eventFrom = 13 * time.Second
	eventFor  = 8500 * time.Millisecond
)

// duringEvent returns a factor of the rate that applies during the event of a load.
func duringEvent(factor float64) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= eventFrom && at < eventFrom+eventFor {
			return factor
		}
		return 1
	}
}

func shedding(maxSends int) overloadLoad {
	return overloadLoad{
		kinds:    []overloadKind{bookings(440), declarations(50)},
		shedFrom: eventFrom, shedFor: eventFor, maxSends: maxSends, length: eventFrom + eventFor + time.Second,
	}
}

// Guards against callers that miss their objective while all targets shed half of the
// requests: the share that misses it has to be at most half of the present one, the
// urgent ones must be served best, and no fewer may be served within the deadline.
func TestSheddingTargetsCostFewObjectives(t *testing.T) {
	gray := shedding(3)
	gray.gray = 0.3
	for name, l := range map[string]overloadLoad{"three sends": shedding(3), "six sends": shedding(6), "gray targets": gray} {
		t.Run(name, func(t *testing.T) {
			present, controlled := playOverload(t, 4, l, eventFrom, eventFrom+eventFor)
			for _, k := range l.kinds {
				if missed := 1 - controlled[k.name].inTimeShare(); missed > (1-present[k.name].inTimeShare())/2 {
					t.Errorf("%s: %.3f miss the objective, want at most half of %.3f", k.name, missed, 1-present[k.name].inTimeShare())
				}
				if served := controlled[k.name].servedShare(); served < present[k.name].servedShare()-0.01 {
					t.Errorf("%s: %.3f served, want at least %.3f", k.name, served, present[k.name].servedShare())
				}
			}
			if urgent, other := controlled["declarations"].inTimeShare(), controlled["bookings"].inTimeShare(); urgent < other {
				t.Errorf("%.3f of the urgent requests in time, want at least the %.3f of the others", urgent, other)
			}
		})
	}
}

// Guards against decisions that need callers to state the time that they have left: with
// the full time in each send, or with a single return, fewer must not be in time.
func TestSheddingWithoutKnowledgeOfReturns(t *testing.T) {
	restarting := shedding(3)
	restarting.restartsDeadline = true
	for name, l := range map[string]overloadLoad{"full time in each send": restarting, "two sends": shedding(2)} {
		t.Run(name, func(t *testing.T) {
			present, controlled := playOverload(t, 4, l, eventFrom, eventFrom+eventFor)
			for _, k := range l.kinds {
				if controlled[k.name].inTimeShare() < present[k.name].inTimeShare() {
					t.Errorf("%s: %.3f in time, want at least %.3f", k.name, controlled[k.name].inTimeShare(), present[k.name].inTimeShare())
				}
			}
		})
	}
}

// Guards against a new holder, without the counts of the former one, that exceeds the
// retry budget or loses callers during the shedding.
func TestHolderChangeDuringShedding(t *testing.T) {
	l := shedding(4)
	l.holderChange = eventFrom + eventFor/2
	present, controlled := playOverload(t, 4, l, eventFrom, eventFrom+eventFor)
	for _, k := range l.kinds {
		c := controlled[k.name]
		if c.inTime+c.late+c.failed != c.callers {
			t.Errorf("%s: %d of %d callers have an end", k.name, c.inTime+c.late+c.failed, c.callers)
		}
		if c.inTimeShare() < present[k.name].inTimeShare() {
			t.Errorf("%s: %.3f in time, want at least %.3f", k.name, c.inTimeShare(), present[k.name].inTimeShare())
		}
	}
}

// objectiveTolerance is the share of requests that may miss their objective by chance
// where a load must not cost them anything.
const objectiveTolerance = 0.01

// Guards against a burst of the least urgent kind that costs urgent requests their
// objective, by taking their slots or by filling the queue, and against least urgent
// requests that are no longer served at all.
func TestBurstOfLeastUrgentRequests(t *testing.T) {
	archive := overloadKind{
		name: "archive", perSecond: 80, work: 640 * time.Millisecond, objective: 4 * time.Second, deadline: 12 * time.Second,
		priority: 2, idempotent: true, extra: duringEvent(3),
	}
	l := overloadLoad{kinds: []overloadKind{bookings(520), declarations(162), archive}, maxSends: 3, length: eventFrom + eventFor}
	_, controlled := playOverload(t, 2, l, eventFrom, l.length)
	for _, name := range []string{"bookings", "declarations"} {
		if share := controlled[name].inTimeShare(); share < 1-objectiveTolerance {
			t.Errorf("%s: %.3f in time during the burst, want at least %.3f", name, share, 1-objectiveTolerance)
		}
	}
	if c := controlled["archive"]; c.servedShare() < 0.5 {
		t.Errorf("archive: %.3f served, want at least half", c.servedShare())
	}
}

// Guards against a workspace at 7.5 times its usual demand that costs the others their
// objective, also when its priority is higher, and against one that gets less than its
// usual demand because of its excess.
func TestWorkspaceAboveItsUsualDemand(t *testing.T) {
	checkWorkspaceAboveItsUsualDemand(t, 1050)
}

// Guards against the same with the other workspaces at 0.83 of what the service completes.
func TestWorkspaceAboveItsUsualDemandBesideMoreLoad(t *testing.T) {
	checkWorkspaceAboveItsUsualDemand(t, 1150)
}

func checkWorkspaceAboveItsUsualDemand(t *testing.T, othersPerSecond float64) {
	t.Helper()
	const factor = 7.5
	for _, priority := range []int{0, 1} {
		others, big := bookings(othersPerSecond), bookings(80)
		others.workspacePriority = priority
		big.name, big.workspace, big.extra = "big", "big", duringEvent(factor)
		l := overloadLoad{kinds: []overloadKind{others, big}, maxSends: 3, length: eventFrom + eventFor}
		_, controlled := playOverload(t, 2, l, eventFrom, l.length)
		if share := controlled["bookings"].inTimeShare(); share < 1-objectiveTolerance {
			t.Errorf("other workspaces of priority %d: %.3f in time, want at least %.3f", priority, share, 1-objectiveTolerance)
		}
		if share := controlled["big"].servedShare(); share < 1/factor {
			t.Errorf("the workspace: %.3f served, want at least its usual demand, %.3f", share, 1/factor)
		}
	}
}

// Guards against new holders of all groups, as after the loss of all VMs, that make first
// requests wait for the retry budget: those of the first second must be served as without
// the change.
func TestNewHoldersServeFirstRequestsAtOnce(t *testing.T) {
	l := overloadLoad{kinds: []overloadKind{bookings(440), declarations(50)}, maxSends: 3, length: eventFrom + time.Second}
	unchanged, unchangedControlled := playOverload(t, 4, l, eventFrom, l.length)
	l.holderChange = eventFrom
	present, controlled := playOverload(t, 4, l, eventFrom, l.length)
	for _, k := range l.kinds {
		if with, without := present[k.name].servedShare(), unchanged[k.name].servedShare(); with < without-objectiveTolerance {
			t.Errorf("%s: %.3f served, want at least %.3f", k.name, with, without)
		}
		if with, without := controlled[k.name].servedShare(), unchangedControlled[k.name].servedShare(); with < without-objectiveTolerance {
			t.Errorf("%s with overload control: %.3f served, want at least %.3f", k.name, with, without)
		}
	}
}
