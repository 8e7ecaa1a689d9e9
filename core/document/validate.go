package document

import (
	"encoding/hex"
	"fmt"
	"net"
	"strings"
)

// Limits on document values.
const (
	// MaxSlots is the maximum number of slots of one target.
	MaxSlots = 4096
	// MaxTimeoutMs is the maximum timeout of a route, in milliseconds.
	MaxTimeoutMs = 10 * 60 * 1000
	// MaxColdRampMs is the maximum duration of a cold start ramp, in milliseconds.
	MaxColdRampMs = 60 * 60 * 1000
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes = 1 << 30
	// MaxRate is the maximum rate in requests per second, the maximum burst in
	// requests, and the maximum weight of a split.
	MaxRate = 1e9
)

func (v *Service) validate() (field, reason string) {
	switch {
	case v.Kind != "service":
		return "kind", "must be \"service\""
	case v.Name == "":
		return "service", "must not be empty"
	case v.FloorPercent < 0 || v.FloorPercent > 100:
		return "floorPercent", fmt.Sprintf("%d is not in 0..100", v.FloorPercent)
	case v.ColdSlots < 1 || v.ColdSlots > MaxSlots:
		return "coldSlots", fmt.Sprintf("%d is not in 1..%d", v.ColdSlots, MaxSlots)
	case v.ColdRampMs < 0 || v.ColdRampMs > MaxColdRampMs:
		return "coldRampMs", fmt.Sprintf("%d is not in 0..%d", v.ColdRampMs, MaxColdRampMs)
	case v.ConnectionsPerTarget < 1:
		return "connectionsPerTarget", fmt.Sprintf("%d is below 1", v.ConnectionsPerTarget)
	case v.Placement != ByOutlierDetection && v.Placement != ByHealthEstimate:
		return "placement", fmt.Sprintf("got %q, want belief or no value", v.Placement)
	case v.GroupSize < 0:
		return "groupSize", fmt.Sprintf("%d is below 0", v.GroupSize)
	case !(v.ColdPerSecond >= 0) || v.ColdPerSecond > MaxRate:
		return "coldPerSecond", fmt.Sprintf("%g is not in [0, %g]", v.ColdPerSecond, float64(MaxRate))
	}
	seen := make(map[string]bool, len(v.Targets))
	for i, t := range v.Targets {
		field := fmt.Sprintf("targets[%d]", i)
		if sub, reason := t.validate(); reason != "" {
			return field + sub, reason
		}
		if seen[t.ID] {
			return field + ".id", "duplicate " + t.ID
		}
		seen[t.ID] = true
	}
	return "", ""
}

func (t *Target) validate() (field, reason string) {
	if t.ID == "" {
		return ".id", "must not be empty"
	}
	if _, _, err := net.SplitHostPort(t.Address); err != nil {
		return ".address", err.Error()
	}
	if t.FailureDomain == "" {
		return ".failureDomain", "must not be empty"
	}
	if t.Slots < 1 || t.Slots > MaxSlots {
		return ".slots", fmt.Sprintf("%d is not in 1..%d", t.Slots, MaxSlots)
	}
	if t.State != Active && t.State != Draining {
		return ".state", fmt.Sprintf("got %q, want active or draining", t.State)
	}
	if t.ColdMs < 0 || t.ColdMs > MaxColdRampMs {
		return ".coldMs", fmt.Sprintf("%d is not in 0..%d", t.ColdMs, MaxColdRampMs)
	}
	return "", ""
}

func (w *Workspace) validate() (field, reason string) {
	if w.ID == "" {
		return ".id", "must not be empty"
	}
	if !(w.RatePerSecond > 0) || w.RatePerSecond > MaxRate {
		return ".ratePerSecond", fmt.Sprintf("%g is not in (0, %g]", w.RatePerSecond, float64(MaxRate))
	}
	if !(w.Burst >= 1) || w.Burst > MaxRate {
		return ".burst", fmt.Sprintf("%g is not in [1, %g]", w.Burst, float64(MaxRate))
	}
	if w.Priority < 0 {
		return ".priority", fmt.Sprintf("%d is below 0", w.Priority)
	}
	for i, d := range w.KeyDigests {
		raw, err := hex.DecodeString(d)
		if err != nil || len(raw) != 32 || d != strings.ToLower(d) {
			return fmt.Sprintf(".keyDigests[%d]", i), "is not a SHA-256 in lower-case hexadecimal"
		}
	}
	return "", ""
}

func (r *Route) validate() (field, reason string) {
	switch {
	case r.ID == "":
		return ".id", "must not be empty"
	case !strings.HasPrefix(r.PathPrefix, "/"):
		return ".pathPrefix", fmt.Sprintf("%q does not begin with a slash", r.PathPrefix)
	case r.Unavailable != "":
		return "", ""
	case r.Service == "":
		return ".service", "must not be empty"
	case r.TimeoutMs < 1 || r.TimeoutMs > MaxTimeoutMs:
		return ".timeoutMs", fmt.Sprintf("%d is not in 1..%d", r.TimeoutMs, MaxTimeoutMs)
	case r.MaxBodyBytes < 0 || r.MaxBodyBytes > MaxBodyBytes:
		return ".maxBodyBytes", fmt.Sprintf("%d is not in 0..%d", r.MaxBodyBytes, MaxBodyBytes)
	case r.MaxAttempts < 0:
		return ".maxAttempts", fmt.Sprintf("%d is below 0", r.MaxAttempts)
	case r.Priority < 0:
		return ".priority", fmt.Sprintf("%d is below 0", r.Priority)
	case r.ObjectiveMs < 0:
		return ".objectiveMs", fmt.Sprintf("%d is below 0", r.ObjectiveMs)
	}
	for i, part := range r.Split {
		if !(part.Weight >= 0) || part.Weight > MaxRate {
			return fmt.Sprintf(".split[%d].weight", i), fmt.Sprintf("%g is not in [0, %g]", part.Weight, float64(MaxRate))
		}
	}
	return "", ""
}

// validateReferences validates references between documents, and that route IDs
// are unique.
func (s *Snapshot) validateReferences() error {
	ids := make(map[string]bool, len(s.Routes))
	for _, r := range s.Routes {
		if ids[r.ID] {
			return s.routeError(r, "id", "duplicate "+r.ID)
		}
		ids[r.ID] = true
		if r.Unavailable != "" {
			continue
		}
		if _, ok := s.Services[r.Service]; !ok {
			return s.routeError(r, "service", "no service "+r.Service)
		}
		for i, part := range r.Split {
			if _, ok := s.Services[part.Service]; !ok {
				return s.routeError(r, fmt.Sprintf("split[%d].service", i), "no service "+part.Service)
			}
		}
		for i, w := range r.Workspaces {
			if _, ok := s.Workspaces[w]; !ok {
				return s.routeError(r, fmt.Sprintf("workspaces[%d]", i), "no workspace "+w)
			}
		}
	}
	for _, name := range union(s.Services, nil) {
		v := s.Services[name]
		for i, t := range v.Targets {
			if _, ok := s.Domains[t.FailureDomain]; !ok {
				document, _ := s.locate(v)
				return invalid(s.Index, document, fmt.Sprintf("targets[%d].failureDomain", i), "no failure domain "+t.FailureDomain)
			}
		}
	}
	return nil
}
