package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Bounds that the fleet simulation asserts.
const (
	// settleTime is the time after the third crash from which on sends count.
	settleTime = 3 * time.Second
	// maxLateSends is how many sends may reach targets after that.
	maxLateSends = 3
)

// fleetDefects are mechanisms that the fleet simulation leaves out.
type fleetDefects struct {
	noAnnouncements bool // a VM that starts learns nothing
	noProbeDelay    bool // all VMs may probe at the end of a quarantine
}

// message is a mark or an announcement on its way to one VM.
type message struct {
	to        int
	at        time.Time
	mark      uint64 // target; 0 for an announcement
	announced Announcement
}

// fleet simulates VMs that share the quarantine of one request, which crashes each target
// that it reaches.
type fleet struct {
	rng       *rand.Rand
	defects   fleetDefects
	now       time.Time
	tables    []*Table
	startedAt []time.Time
	messages  []message
	crashes   []time.Time
	lateSends int
}

const (
	fleetFingerprint = 1
	fleetStep        = 100 * time.Millisecond
	// markTime is how long a mark is sent, heartbeatInterval how often by a VM that holds no
	// shards.
	markTime          = 3 * time.Second
	heartbeatInterval = 3 * time.Second
	// maxAnnouncementDelay is that of VMs that are short of processor time.
	maxAnnouncementDelay = 600 * time.Millisecond
)

func newFleet(seed uint64, vms int, d fleetDefects) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), defects: d, now: start}
	for range vms {
		f.tables = append(f.tables, New(0))
		f.startedAt = append(f.startedAt, start.Add(-time.Minute))
	}
	return f
}

// restart replaces the process of a VM.
func (f *fleet) restart(vm int) {
	f.tables[vm] = New(0)
	f.startedAt[vm] = f.now
}

// step advances the time, delivers messages and sends announcements.
func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	var left []message
	for _, m := range f.messages {
		switch {
		case f.now.Before(m.at):
			left = append(left, m)
		case m.mark != 0:
			f.tables[m.to].Mark(fleetFingerprint, m.mark, f.now)
		default:
			f.tables[m.to].Learn(m.announced, f.now)
		}
	}
	f.messages = left
	for vm := range f.tables {
		if f.rng.Float64() < float64(fleetStep)/float64(heartbeatInterval) {
			f.announce(vm)
		}
	}
}

// announce sends the quarantines of a VM to all others; a tenth of the heartbeats is lost.
func (f *fleet) announce(vm int) {
	if f.defects.noAnnouncements {
		return
	}
	for _, a := range f.tables[vm].Announcements(8, f.now) {
		for to := range f.tables {
			if to != vm && f.rng.IntN(10) > 0 {
				f.messages = append(f.messages, message{to: to, at: f.delay(maxAnnouncementDelay), announced: a})
			}
		}
	}
}

// delay returns a random time within d from now.
func (f *fleet) delay(d time.Duration) time.Time {
	return f.now.Add(time.Duration(f.rng.Int64N(int64(d))))
}

// request sends the request to a VM, which may send it to a target.
func (f *fleet) request(vm int) {
	ok, _, _ := f.tables[vm].Allow(fleetFingerprint, func() time.Duration { return f.probeDelay(vm) }, f.now)
	if !ok {
		return
	}
	f.crashes = append(f.crashes, f.now)
	late := len(f.crashes) > 3 && f.now.Sub(f.crashes[2]) > settleTime
	if late && f.now.Sub(f.startedAt[vm]) > settleTime {
		f.lateSends++
	}
	target := f.rng.Uint64N(12) + 1
	if f.tables[vm].Mark(fleetFingerprint, target, f.now) {
		f.announce(vm)
	}
	for to := range f.tables {
		// A VM that holds no shards hears of a mark once or not at all.
		if to != vm && f.rng.IntN(10) > 0 {
			f.messages = append(f.messages, message{to: to, at: f.delay(markTime), mark: target})
		}
	}
}

func (f *fleet) probeDelay(vm int) time.Duration {
	if f.defects.noProbeDelay {
		return 0
	}
	var others []string
	for i := range f.tables {
		if i != vm {
			others = append(others, fmt.Sprint("vm-", i))
		}
	}
	return ProbeDelay(fleetFingerprint, fmt.Sprint("vm-", vm), others)
}

// load is what happens in a run.
type load struct {
	// rolling restarts the VMs in turn.
	rolling bool
	// interval is the number of steps between two sends, burst how many requests come then.
	interval, burst int
}

// run returns the number of late sends in 90 s.
func (f *fleet) run(l load) int {
	next := 0
	for i := range 900 {
		f.step()
		for range l.burst {
			if i%l.interval == 0 {
				f.request(f.rng.IntN(len(f.tables)))
			}
		}
		if l.rolling && i > 80 && i%40 == 0 && next < len(f.tables) {
			f.restart(next)
			next++
		}
	}
	return f.lateSends
}

// lateRuns returns how many of the seeds exceed maxLateSends.
func lateRuns(seeds uint64, l load, d fleetDefects) (failed int, worst string) {
	for seed := range seeds {
		f := newFleet(seed, 16, d)
		if n := f.run(l); n > maxLateSends {
			failed++
			worst = fmt.Sprintf("seed %d: %d late sends of %d", seed, n, len(f.crashes))
		}
	}
	return failed, worst
}

// Guards against a request that crashes targets and reaches them through VMs that were
// restarted, or through all VMs at once when its quarantine ends.
func TestFleetRefusesAPoisonedRequest(t *testing.T) {
	loads := []load{{false, 5, 1}, {true, 5, 1}, {false, 1, 2}, {true, 1, 2}}
	for _, l := range loads {
		if failed, worst := lateRuns(200, l, fleetDefects{}); failed > 0 {
			t.Errorf("%+v: %d of 200 runs exceed %d late sends; %s", l, failed, maxLateSends, worst)
		}
	}
	for name, d := range map[string]fleetDefects{"no announcements": {noAnnouncements: true}, "no probe delay": {noProbeDelay: true}} {
		found := 0
		for _, l := range loads {
			failed, _ := lateRuns(50, l, d)
			found += failed
			t.Logf("planted defect %q, %+v: %d of 50 runs exceed the bound", name, l, failed)
		}
		if found == 0 {
			t.Errorf("the planted defect %q is not found", name)
		}
	}
}
