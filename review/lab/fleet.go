package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is the system under test: processes of the deploy file's front role, each with a
// loopback address of its own.
type fleet struct {
	program string
	dir     string
	base    string // first three bytes of the loopback addresses
	ports   [5]int // front, ready, control, directory, internal
	store   *store
	zones   []string
	seeds   []int
	cores   int // that the runtime of each process sees; 0 for all of this machine
	vms     []*vm
	log     *record

	mu     sync.Mutex
	closed bool // no process is started any more
}

// vm is one machine of the system.
type vm struct {
	fleet   *fleet
	index   int
	ip      string
	zone    string
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time
	touched []time.Time // starts and signals
}

// newFleet chooses addresses and free ports.
func newFleet(program, dir string, st *store, base string, size int, zones []string, log *record) (*fleet, error) {
	f := &fleet{program: program, dir: dir, base: base, store: st, zones: zones, log: log}
	first, err := freePorts(base)
	if err != nil {
		return nil, err
	}
	for i := range f.ports {
		f.ports[i] = first + i
	}
	for i := range size {
		f.vms = append(f.vms, &vm{fleet: f, index: i, ip: fmt.Sprintf("%s.%d", base, i+1), zone: zones[i%len(zones)]})
	}
	f.seeds = []int{0, 1, 2}
	return f, nil
}

// portBlock is the number of ports of a machine: four of its own and sixteen internal ones.
const portBlock = 20

// freePorts returns the first of portBlock ports that are free on the first machine.
func freePorts(base string) (int, error) {
	for range 50 {
		first := 20000 + portBlock*rand.Intn(500)
		if allFree(base, first) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func allFree(base string, first int) bool {
	for port := first; port < first+portBlock; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", base, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (v *vm) name() string { return fmt.Sprintf("front-%s-%d", v.zone, v.index+1) }

func (v *vm) addr(port int) string { return fmt.Sprintf("%s:%d", v.ip, v.fleet.ports[port]) }

// front, ready and directory are the addresses that callers and the platform use.
func (v *vm) front() string     { return v.addr(0) }
func (v *vm) ready() string     { return v.addr(1) }
func (v *vm) directory() string { return v.addr(3) }

// bounds are those of SYSTEM.md for the first deployment.
const bounds = `["SeedLagS=3","ReuseAfterS=2","StableWindowMs=3000","AckMs=4000","CatchUpS=4","DrainMs=2000","GraceS=6","LossSlackMs=200","ConfigApplyMs=2000","RollbackSlackMs=250","OuterMs=5000","RevokeStrict=false","RevokeMs=5000","RetryBudgetRatio=0.2","BudgetWindowS=10","RetryBudgetSlack=64","QuotaWindowS=5","QuotaOverage=0.25","QuotaSlack=20","ColdOverage=1.5","ColdSlack=5","EvacuationMs=5000","RecoverS=15","ttl_max_s=5","ProbesPerS=3","FloorShare=0.7"]`

// writeSettings writes the settings file of a machine.
func (v *vm) writeSettings() error {
	f := v.fleet
	var seeds []string
	for _, i := range f.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", f.vms[i].addr(2)))
	}
	var zones strings.Builder
	for _, z := range f.zones {
		fmt.Fprintf(&zones, "%s = \"region-a\"\n", z)
	}
	text := fmt.Sprintf(`Node = %q
Role = "front"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = %q
Zone = %q
Region = "region-a"
InternalPorts = [%d,%d]
Seeds = [%s]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","retry","recover","health","tenants","quota","places","platform"]
Bounds = %s
[Zones]
%s[Listen]
Front = %q
Ready = %q
Control = %q
Directory = %q
[Limits]
CpuShare = 0.32
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Provider]
Address = %q
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`, v.name(), v.ip, v.zone, f.ports[4], f.ports[4]+15, strings.Join(seeds, ","), bounds, zones.String(),
		v.front(), v.ready(), v.addr(2), v.directory(), f.store.address)
	path := v.settingsPath()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (v *vm) settingsPath() string { return filepath.Join(v.fleet.dir, v.name()+".toml") }

// start starts the process of the machine. A process that ends is not restarted.
func (v *vm) start() error {
	if err := v.writeSettings(); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(v.fleet.dir, v.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(v.fleet.program, "front")
	cmd.Env = []string{"GALENASAIL_SETTINGS=" + v.settingsPath(), "PATH=" + os.Getenv("PATH"), "HOME=" + v.fleet.dir}
	if v.fleet.cores > 0 {
		cmd.Env = append(cmd.Env, "GOMAXPROCS="+strconv.Itoa(v.fleet.cores))
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// stopAll waits for this lock, so it also ends a process that is being started.
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if v.fleet.closed {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	v.cmd, v.ended, v.started = cmd, make(chan struct{}), time.Now()
	v.touched = append(v.touched, v.started)
	ended := v.ended
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	v.fleet.log.event("start", v.name(), "")
	return nil
}

// signal sends a signal to the process that runs on the machine.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	cmd, ended := v.cmd, v.ended
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	v.mu.Lock()
	v.touched = append(v.touched, time.Now())
	v.mu.Unlock()
	v.fleet.log.event("signal", v.name(), sig.String())
	_ = cmd.Process.Signal(sig)
}

// wait waits until the process has ended, at most for d.
func (v *vm) wait(d time.Duration) bool {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// restart stops the process as the platform does (SIGTERM, SIGKILL after the grace
// time) and starts it again.
func (v *vm) restart() error {
	v.signal(syscall.SIGTERM)
	if !v.wait(6 * time.Second) {
		v.signal(syscall.SIGKILL)
		v.wait(2 * time.Second)
	}
	time.Sleep(200 * time.Millisecond)
	return v.start()
}

// calmAt reports whether the process had run without a start or a signal for
// stableWindow at the given time.
func (v *vm) calmAt(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range v.touched {
		if !t.After(at) && at.Sub(t) < stableWindow {
			return false
		}
	}
	return true
}

// startAll starts all machines and waits until all say that they are ready.
func (f *fleet) startAll() error {
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range f.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after 15 s", v.name())
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// stopAll ends all processes that this program started.
func (f *fleet) stopAll() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, v := range f.vms {
		v.signal(syscall.SIGKILL)
	}
	for _, v := range f.vms {
		v.wait(5 * time.Second)
	}
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (v *vm) isReady() bool {
	resp, err := probeClient.Get("http://" + v.ready() + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve asks the directory of a machine where to connect.
func (v *vm) resolve(host string) []string {
	resp, err := probeClient.Get(fmt.Sprintf("http://%s/-/resolve?Name=%s&Region=region-a&Zone=%s", v.directory(), host, v.zone))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct{ Addresses []string }
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}
