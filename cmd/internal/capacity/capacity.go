// Package capacity computes the load of one VM in a fleet of the design size from the
// output of the project's benchmarks.
package capacity

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Design size of the fleet, and limits of what one VM may spend on coordination.
const (
	fleetVMs        = 2800.0
	cellVMs         = 48.0
	requestsPerS    = 480000.0
	workspaces      = 140000.0
	routes          = 32000.0
	targets         = 44000.0
	services        = 1600.0
	ticketsPerDay   = 17000.0
	secondsPerDay   = 86400.0
	limitCPUPercent = 2.2
	limitMemoryMB   = 64.0
	limitBytesPerS  = 19000.0
	limitAddedMs    = 1.4
)

// Sizes that follow from the formats of messages and documents.
const (
	// workspacesPerDocument keeps a workspaces document below 1 MB.
	workspacesPerDocument = 1000.0
	// routesPerDocument keeps a routes document below 1 MB.
	routesPerDocument = 1000.0
	// indexEntryBytes is the size of an index entry as JSON: a document name, a ticket
	// number and a SHA-256 digest in hexadecimal.
	indexEntryBytes = 115.0
	// tcpOverheadBytes is the size of the TCP and IP headers of one call and its answer.
	tcpOverheadBytes = 104.0
)

// Metrics maps the name of a benchmark and the unit of its metric, separated by a space,
// to the value.
type Metrics map[string]float64

// Parse reads the output of go test -bench. Benchmark names lose their prefix Benchmark
// and the suffix with the number of CPUs. It returns an error for a value that is not a
// number.
func Parse(r io.Reader) (Metrics, error) {
	f := Metrics{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := strings.TrimPrefix(fields[0], "Benchmark")
		if cut := strings.LastIndex(name, "-"); cut > 0 {
			name = name[:cut]
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("benchmark %s: value %q: %w", name, fields[i], err)
			}
			f[name+" "+fields[i+1]] = value
		}
	}
	return f, lines.Err()
}

// Row is one line of the capacity table.
type Row struct {
	// Role is the work of the VM that causes the load.
	Role string
	// Quantity is the unit of Value and Limit.
	Quantity string
	// Value at the design size and its limit.
	Value, Limit float64
	// Source names the benchmarks from which Value is computed.
	Source string
}

// Table returns the rows of the capacity table and the metrics that f lacks. A missing
// metric counts as 0.
func Table(f Metrics) (rows []Row, missing []string) {
	get := func(key string) float64 {
		v, ok := f[key]
		if !ok {
			missing = append(missing, key)
		}
		return v
	}
	requestsPerVM := requestsPerS / fleetVMs
	tickets := ticketsPerDay / secondsPerDay
	documents := services + workspaces/workspacesPerDocument + routes/routesPerDocument + 1
	memory := func(ws float64) float64 {
		total := ws*get("SnapshotMemory/workspaces=140000 B/entry") + routes*get("SnapshotMemory/routes=32000 B/entry")
		return (total + targets*get("SnapshotMemory/targets=44000 B/entry")) / 1e6
	}
	calls := func(name string) (bytes, cpu float64) {
		return requestsPerVM * (get("Calls/"+name+" B/call") + tcpOverheadBytes), 100 * requestsPerVM * get("Calls/"+name+" cpu-us/call") / 1e6
	}
	tokenBytes, tokenCPU := calls("tokens")
	permitBytes, permitCPU := calls("permits")
	rows = []Row{
		{"contact and leases", "bytes/s", get("Heartbeats/vms=48 B/s/vm"), limitBytesPerS, "Heartbeats, 16 to 64 VMs"},
		{"contact and leases", "% of a core", get("Heartbeats/vms=48 %core/vm"), limitCPUPercent, "Heartbeats, 16 to 64 VMs"},
		{"all duties of an idle VM", "% of a core", get("IdleFleet %core/vm"), limitCPUPercent, "IdleFleet, 48 VMs in one process"},
		{"configuration: index of each ticket", "bytes/s", tickets * documents * indexEntryBytes, limitBytesPerS, "arithmetic: 115 B an entry"},
		{"configuration: failure domain ticket", "% of a core", 100 * tickets * get("Build/domains ns/op") / 1e9, limitCPUPercent, "Build, target size"},
		{"configuration: workspace ticket", "% of a core", 100 * tickets * get("Build/workspaces/new ns/op") / 1e9, limitCPUPercent, "Build, target size"},
		{"configuration, all workspaces", "MB", memory(workspaces), limitMemoryMB, "SnapshotMemory, a tenth to target size"},
		{"configuration, workspaces of the cell", "MB", memory(workspaces * cellVMs / fleetVMs), limitMemoryMB, "SnapshotMemory"},
		{"tokens, one call a request", "bytes/s", tokenBytes, limitBytesPerS, "Calls, two VMs"},
		{"tokens, one call a request", "% of a core", tokenCPU, limitCPUPercent, "Calls, two VMs"},
		{"permits, one call a request", "bytes/s", permitBytes, limitBytesPerS, "Calls, two VMs"},
		{"permits, one call a request", "% of a core", permitCPU, limitCPUPercent, "Calls, two VMs"},
		{"targets owned", "MB", targets / fleetVMs * get("MemoryPerTarget B/target") / 1e6, limitMemoryMB, "MemoryPerTarget, 44 paths"},
		{"workspaces owned and in use", "MB", workspaces / fleetVMs * get("ActiveWorkspace holder-B/workspace") / 1e6, limitMemoryMB, "ActiveWorkspace"},
		{"workspaces used as entry VM", "MB", 3 * workspaces / fleetVMs * get("ActiveWorkspace entry-B/workspace") / 1e6, limitMemoryMB, "ActiveWorkspace, 3 VMs a workspace"},
		{"latency added on loopback", "ms at p99", (get("AddedLatency/fleet p99-us") - get("AddedLatency/direct p99-us")) / 1000, limitAddedMs, "AddedLatency, 5 VMs"},
	}
	return rows, missing
}

// Write prints the table with the ratio of each value to its limit.
func Write(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "ROLE\tQUANTITY\tVALUE\tLIMIT\tRATIO\tSOURCE")
	for _, r := range rows {
		fmt.Fprintf(tw, "%s\t%s\t%.4g\t%.4g\t%.2f\t%s\n", r.Role, r.Quantity, r.Value, r.Limit, r.Value/r.Limit, r.Source)
	}
	return tw.Flush()
}
