package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// roomyCollector lets the heap grow to five times the live data: with Go's default
	// of 100 the collector of a small heap runs often and delays requests.
	unboundedGCPercent = 400
	// tightCollector is the same where the memory of the process is bounded.
	boundedGCPercent = 200
	// memoryPart is the part of the memory from which the collector runs as often as
	// needed to stay below it. The rest is for what the runtime does not count.
	memoryLimitShare = 0.8
	megabyte         = 1 << 20
)

// SetCollector sets the garbage collector of this process for the memory that it may
// use, in megabytes; 0 is unknown. GOGC and GOMEMLIMIT go first where they are set.
func SetCollector(memoryMB int) {
	percent := unboundedGCPercent
	if memoryMB > 0 {
		percent = boundedGCPercent
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if memoryMB > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memoryMB) * megabyte * memoryLimitShare))
	}
}
