package registry

import (
	"math"

	"github.com/galenasail/galenasail/core/document"
)

const (
	// registeredGroupSize is the intended number of targets in a group of
	// self-registered targets. Evidence about an episode of gray failures is most
	// useful where one holder observes many targets.
	registeredGroupSize = 24
	// registeredColdSlots is the number of concurrent requests on a target during its
	// cold start.
	registeredColdSlots = 1
)

// NewService returns a service of self-registered targets with the product's default
// settings for it. FloorShare is the share of its slots that ejection must leave
// available, from 0 to 1; values outside that range are clamped.
func NewService(name string, floorShare float64) document.Service {
	return document.Service{
		Kind:         "service",
		Name:         name,
		FloorPercent: int(math.Round(min(max(floorShare, 0), 1) * 100)),
		ColdSlots:    registeredColdSlots,
		GroupSize:    registeredGroupSize,
		Placement:    document.ByHealthEstimate,
	}
}
