package daemon

import (
	"math"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/galenasail/galenasail/core/event"
	"github.com/galenasail/galenasail/core/membudget"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/limit"
	"github.com/galenasail/galenasail/node/settings"
)

// Shares of the machine that are derived where the settings give no limits.
const (
	// ownMemory is the memory that the VM itself needs, in bytes.
	ownMemory = 64 * megabyte
	// heldDivisor leaves half of the memory above ownMemory to the garbage collector.
	heldDivisor = 2
	// minHeldDivisor gives callers an eighth of a memory that is not larger than ownMemory.
	minHeldDivisor = 8
	// callerConnShare of the descriptors is for callers. As many may be needed for connections
	// to the targets of their requests.
	callerConnShare = 3.0 / 8
	// peerConnDivisor, adminConnDivisor and targetConnDivisor divide the descriptors.
	peerConnDivisor   = 8
	adminConnDivisor  = 16
	targetConnDivisor = 4
	// otherDivisor gives peers and operators a quarter of the memory for callers each, in
	// addition to it.
	otherDivisor = 4
	// bodyDivisor allows 32 bodies of the largest buffered size.
	bodyDivisor = 32
	// minBodyBuffer and maxBodyBuffer bound the derived size of a buffered body, in bytes.
	minBodyBuffer = 64 << 10
	maxBodyBuffer = 8 << 20
	// defaultStall is longer than a link of a caller is usually interrupted.
	defaultStall = 10 * time.Second
)

// Resources are the memory and the descriptors that the process may use; 0 is unknown.
type Resources struct {
	// MemoryBytes is the memory in bytes.
	MemoryBytes int64
	// Descriptors is the number of file descriptors.
	Descriptors int
}

// ResourcesOf returns the resources that the settings state and, for those that they do not
// state, what the system reports.
func ResourcesOf(s *settings.Settings) Resources {
	r := Resources{MemoryBytes: int64(s.MemoryMB) * megabyte, Descriptors: s.MaxDescriptors}
	if r.MemoryBytes == 0 {
		r.MemoryBytes = systemMemory()
	}
	if r.Descriptors == 0 {
		r.Descriptors = systemDescriptors()
	}
	return r
}

// cgroupLimit is the memory limit of the control group of the process, if it has its own.
const cgroupLimit = "/sys/fs/cgroup/memory.max"

// systemMemory returns the memory of the machine or of the control group, whichever is
// smaller; 0 if the system reports neither.
func systemMemory() int64 {
	var memory int64
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) == nil {
		memory = int64(info.Totalram) * int64(info.Unit)
	}
	raw, err := os.ReadFile(cgroupLimit)
	if err != nil {
		return memory
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(raw)), 10, 64)
	if err == nil && limit > 0 && (memory == 0 || limit < memory) {
		return limit
	}
	return memory
}

// systemDescriptors returns the limit of the process; 0 if the system reports none.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// callerLimits holds the limits for the connections of callers, operators and peers.
type callerLimits struct {
	callers, admin, peers membudget.Limits
	bodyBuffer            int64
	stall                 time.Duration
	// idleTargetConns is the maximum number of idle connections to targets; 0 selects the
	// default.
	idleTargetConns int
}

// deriveLimits returns the limits of a machine with resources r, unless s states them.
func deriveLimits(s settings.CallerLimits, r Resources) callerLimits {
	l := callerLimits{stall: defaultStall, bodyBuffer: int64(s.BodyBufferKB) << 10}
	if s.StallMs > 0 {
		l.stall = time.Duration(s.StallMs) * time.Millisecond
	}
	held := int64(s.HeldMB) * megabyte
	switch {
	case held > 0:
	case r.MemoryBytes == 0:
		held = math.MaxInt64 / otherDivisor
	default:
		held = max((r.MemoryBytes-ownMemory)/heldDivisor, r.MemoryBytes/minHeldDivisor)
	}
	if l.bodyBuffer == 0 {
		l.bodyBuffer = min(max(held/bodyDivisor, minBodyBuffer), maxBodyBuffer)
	}
	descriptors := r.Descriptors
	if descriptors == 0 {
		descriptors = math.MaxInt32
	}
	l.callers = membudget.Limits{Bytes: held, Connections: int(float64(descriptors) * callerConnShare)}
	if s.Connections > 0 {
		l.callers.Connections = s.Connections
	}
	l.admin = membudget.Limits{Bytes: held / otherDivisor, Connections: descriptors / adminConnDivisor}
	l.peers = membudget.Limits{Bytes: held / otherDivisor, Connections: descriptors / peerConnDivisor}
	l.idleTargetConns = descriptors / targetConnDivisor
	return l
}

// guards holds the guards of the listeners. Those of operators and peers are separate, so
// that a flood of callers closes none of their connections.
type guards struct {
	callers, admin, peers *limit.Guard
}

// newGuards returns the guards with the given limits and response to refused headers.
func newGuards(l callerLimits, refusal []byte, scope tally.Scope, events node.Events) guards {
	guard := func(listener string, limits membudget.Limits) *limit.Guard {
		return limit.New(limit.Config{
			Limits: limits, Stall: l.stall, BodyBuffer: l.bodyBuffer, Refusal: refusal, Authenticated: listener == peerListener,
			OnRefused: newRefusalRecorder(listener, scope, events).record,
		})
	}
	return guards{callers: guard("callers", l.callers), admin: guard("admin", l.admin), peers: guard(peerListener, l.peers)}
}

// peerListener is the name of the listener for peers, which authenticates each call.
const peerListener = "peers"

// refusalEventInterval is the least time between two events of one reason.
const refusalEventInterval = time.Second

// refusalRecorder counts refusals by reason and records events about them, at most one per
// reason and refusalEventInterval.
type refusalRecorder struct {
	listener string
	events   node.Events
	counters map[limit.Reason]tally.Counter

	mu      sync.Mutex
	pending map[limit.Reason]*pendingRefusals
}

// pendingRefusals counts refusals since the last event of a reason.
type pendingRefusals struct {
	last  time.Time
	count int
}

func newRefusalRecorder(listener string, scope tally.Scope, events node.Events) *refusalRecorder {
	r := &refusalRecorder{listener: listener, events: events, counters: map[limit.Reason]tally.Counter{}, pending: map[limit.Reason]*pendingRefusals{}}
	for _, reason := range limit.Reasons() {
		tags := map[string]string{"listener": listener, "reason": string(reason)}
		r.counters[reason] = scope.Tagged(tags).Counter("caller_refusals")
		r.pending[reason] = &pendingRefusals{}
	}
	return r
}

// record records a refusal of the caller with the given address.
func (r *refusalRecorder) record(reason limit.Reason, address string) {
	r.counters[reason].Inc(1)
	now := time.Now()
	r.mu.Lock()
	p := r.pending[reason]
	p.count++
	count := p.count
	due := now.Sub(p.last) >= refusalEventInterval
	if due {
		p.last, p.count = now, 0
	}
	r.mu.Unlock()
	if due {
		r.events.Record(event.CallerRefused, address, string(reason)+" at the listener of "+r.listener+", "+strconv.Itoa(count)+" since the last such event")
	}
}
