package daemon

import (
	"os"
	"runtime/debug"

	"github.com/galenasail/galenasail/node/settings"
)

const (
	// unboundedGCPercent lets the heap grow to five times the live data: with Go's default
	// of 100 the garbage collector runs often on a small heap and delays requests.
	unboundedGCPercent = 400
	// boundedGCPercent is used instead when the settings bound the memory of the process.
	boundedGCPercent = 200
	// memoryLimitShare is the share of the memory that is set as the runtime's soft memory
	// limit. The rest is for memory that the runtime does not account for.
	memoryLimitShare = 0.8
	megabyte         = 1 << 20
)

// ConfigureGC configures the garbage collector of this process for the memory that the
// settings state, or else the system. The environment variables GOGC and GOMEMLIMIT take
// precedence.
func ConfigureGC(s *settings.Settings) {
	percent := unboundedGCPercent
	if s.MemoryMB > 0 {
		percent = boundedGCPercent
	}
	memory := ResourcesOf(s).MemoryBytes
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memory) * memoryLimitShare))
	}
}
