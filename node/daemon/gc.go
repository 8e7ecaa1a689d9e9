package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// unboundedGCPercent lets the heap grow to five times the live data: with Go's default
	// of 100 the garbage collector runs often on a small heap and delays requests.
	unboundedGCPercent = 400
	// boundedGCPercent is used instead when the memory of the process is bounded.
	boundedGCPercent = 200
	// memoryLimitShare is the share of the memory that is set as the runtime's soft memory
	// limit. The rest is for memory that the runtime does not account for.
	memoryLimitShare = 0.8
	megabyte         = 1 << 20
)

// ConfigureGC configures the garbage collector of this process for the memory that it may
// use, in megabytes; 0 means unknown. The environment variables GOGC and GOMEMLIMIT take
// precedence.
func ConfigureGC(memoryMB int) {
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
