package pool

import (
	"time"

	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node/peer/peerv1"
)

// millis returns d in whole milliseconds; 0 for a negative d.
func millis(d time.Duration) uint32 {
	return uint32(max(0, d.Milliseconds()))
}

func fromMillis(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// fromReleases converts releases from protobuf. node.Outcome, target.Outcome
// and peerv1.Outcome have the same values.
func fromReleases(in []*peerv1.PermitRelease) []target.Release {
	out := make([]target.Release, 0, len(in))
	for _, r := range in {
		out = append(out, target.Release{
			Permit:  r.Permit,
			Outcome: target.Outcome(r.Outcome),
			Latency: time.Duration(r.LatencyUs) * time.Microsecond,
		})
	}
	return out
}

// fromReport converts a report from protobuf.
func fromReport(r *peerv1.ReportPermitsRequest) target.PermitReport {
	report := target.PermitReport{
		Caller:     target.Caller{VM: r.Vm, Instance: r.Instance},
		Ticket:     r.Ticket,
		Warm:       r.Warm,
		Generation: r.Generation,
		WarmKnown:  r.Known,
	}
	for _, h := range r.Permits {
		held := target.HeldPermit{Permit: h.Permit, Target: h.Target, Remaining: fromMillis(h.RemainingMs)}
		report.Permits = append(report.Permits, held)
	}
	return report
}
