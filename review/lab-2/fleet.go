package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. They are the same on all machines, as the pages say.
const (
	portFront, portReady, portControl, portDirectory = 8405, 8406, 8407, 8404
	portInner                                        = 7660
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one VM: a process of galenasaild with its settings.
type machine struct {
	fleet *fleet
	name  string
	ip    string
	zone  string
	cmd   *exec.Cmd
	done  chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec      *record
	dir      string // temporary folder
	binary   string
	net      string // first three bytes of the loopback addresses
	zones    []string
	store    *store
	machines []*machine
	memoryMB int
	maxFDs   int
}

// newFleet returns a fleet of n machines, which are not started.
func newFleet(rec *record, n int, zones ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, zones: zones, memoryMB: 284, maxFDs: 4100}
	ready := false
	defer func() {
		if !ready {
			_ = os.RemoveAll(dir)
		}
	}()
	f.binary, err = filepath.Abs("target/galenasaild")
	if err != nil {
		return nil, err
	}
	if f.net, err = freeNet(n); err != nil {
		return nil, err
	}
	if f.store, err = newStore(f.net + ".200:8408"); err != nil {
		return nil, err
	}
	running.Lock()
	running.fleets = append(running.fleets, f)
	running.Unlock()
	for i := range n {
		f.machines = append(f.machines, &machine{fleet: f, name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", f.net, i+1), zone: zones[i%len(zones)]})
	}
	ready = true
	return f, nil
}

// freeNet returns a loopback network whose ports are not in use.
func freeNet(n int) (string, error) {
	for i := range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		free := true
		for m := range n {
			for _, port := range []int{portFront, portReady, portControl, portDirectory, portInner, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, m+1, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

// settings returns the settings file of m.
func (m *machine) settings() string {
	f := m.fleet
	var b strings.Builder
	fmt.Fprintf(&b, "Node = %q\nRole = \"front\"\nMachineClass = \"front\"\nServes = [\"front\",\"control\",\"directory\"]\nIp = %q\nZone = %q\nRegion = \"region\"\n", m.name, m.ip, m.zone)
	fmt.Fprintf(&b, "InternalPorts = [%d,%d]\n", portInner, portInner+15)
	seeds := []string{}
	for _, seed := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed.ip, portControl)))
	}
	fmt.Fprintf(&b, "Seeds = [%s]\n", strings.Join(seeds, ","))
	b.WriteString(`Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","retry","recover","health","tenants","quota","places","platform"]
Bounds = ["SeedLagS=3","ReuseAfterS=2","StableWindowMs=3000","AckMs=4000","CatchUpS=4","DrainMs=2000","GraceS=6","LossSlackMs=200","ConfigApplyMs=2000","RollbackSlackMs=250","OuterMs=5000","RevokeStrict=false","RevokeMs=5000","RetryBudgetRatio=0.2","BudgetWindowS=10","RetryBudgetSlack=60","QuotaWindowS=5","QuotaOverage=0.25","QuotaSlack=20","ColdOverage=1.5","ColdSlack=5","EvacuationMs=5000","RecoverS=15","ttl_max_s=5","ProbesPerS=3","FloorShare=0.7"]
`)
	b.WriteString("[Zones]\n")
	for _, z := range f.zones {
		fmt.Fprintf(&b, "%s = \"region\"\n", z)
	}
	fmt.Fprintf(&b, "[Listen]\nFront = \"%s:%d\"\nReady = \"%s:%d\"\nControl = \"%s:%d\"\nDirectory = \"%s:%d\"\n", m.ip, portFront, m.ip, portReady, m.ip, portControl, m.ip, portDirectory)
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.32\nCores = 1\nMemoryMb = %d\nMaxFds = %d\nLinkMbps = 1000.0\nDiskMb = 0\n", f.memoryMB, f.maxFDs)
	b.WriteString("[FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n")
	fmt.Fprintf(&b, "[Provider]\nAddress = %q\nform = \"read\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n", f.store.address)
	return b.String()
}

// start starts the process of m with the command of the deploy file.
func (m *machine) start() error {
	path := filepath.Join(m.fleet.dir, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(m.fleet.binary, "front")
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GALENASAIL_SETTINGS=" + path}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.done = make(chan struct{})
	cmd, done := m.cmd, m.done
	go func() { _ = cmd.Wait(); close(done) }()
	m.fleet.rec.logf("%s starts", m.name)
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.fleet.rec.logf("%s gets %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// running reports whether the process of m runs.
func (m *machine) running() bool {
	if m.done == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, portFront) }

// ready asks the platform's readiness question.
func (m *machine) ready() bool {
	status, _, err := get(fmt.Sprintf("%s:%d", m.ip, portReady), "/-/ready")
	return err == nil && status == 200
}

// startAll starts all machines and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(20 * time.Second)
}

func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, m := range f.machines {
			all = all && m.ready()
		}
		if all {
			f.rec.logf("all machines are ready")
			return nil
		}
	}
	return fmt.Errorf("not all machines became ready within %v", limit)
}

// running holds the fleets whose processes have to end with this one.
var running struct {
	sync.Mutex
	fleets []*fleet
}

// stopAll ends the processes of all fleets.
func stopAll() {
	running.Lock()
	defer running.Unlock()
	for _, f := range running.fleets {
		f.stop()
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.running() {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// peakMB returns the largest resident size of the process of m so far, in megabytes.
func (m *machine) peakMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}
