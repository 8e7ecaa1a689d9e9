package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the daemon as the deploy file builds it; the working directory is the repository.
var program = "target/galenasaild"

const (
	host = "ficu95.example"
	zone = "gt-central-a"
	// seeds is the number of machines, the first ones, that the settings name as seeds.
	seeds = 3
)

// Fleet is a set of machines, each with a loopback address of its own and one process.
type Fleet struct {
	dir      string
	machines []*Machine
	port     int // of Directory; Front, Ready, Control and the internal port follow
	log      *os.File
	network  string
	next     int // the next free host number of network
}

// Machine is one machine of the fleet.
type Machine struct {
	fleet    *Fleet
	name, ip string
	settings string
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended
}

// Options are the settings of a fleet that differ between cases.
type Options struct {
	machines, memoryMB, fds int
	store                   string
	quotaSlack              int
}

// newFleet writes the settings files of a fleet and starts no process.
func newFleet(o Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-lab3-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir, network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)), next: 1 + o.machines}
	f.port = 20000 + 10*rand.IntN(1000)
	if f.log, err = os.Create(filepath.Join(dir, "vms.log")); err != nil {
		return nil, err
	}
	var addresses []string
	for i := range min(seeds, o.machines) {
		addresses = append(addresses, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:%d", f.network, i+1, f.port+3)))
	}
	for i := range o.machines {
		m := &Machine{fleet: f, name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("%s.%d", f.network, i+1)}
		m.settings = filepath.Join(dir, m.name+".toml")
		if err := os.WriteFile(m.settings, []byte(settingsText(f, m, o, strings.Join(addresses, ","))), 0o600); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

func settingsText(f *Fleet, m *Machine, o Options, seedList string) string {
	return fmt.Sprintf(`Node = %q
Role = "front"
MachineClass = "front"
Serves = ["front","control","directory"]
Ip = %q
Zone = %q
Region = "gt-central"
InternalPorts = [%d,%d]
Seeds = [%s]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","retry","recover","health","tenants","quota","places","platform"]
Bounds = ["SeedLagS=3","ReuseAfterS=2","StableWindowMs=3000","AckMs=4000","CatchUpS=4","DrainMs=2000","GraceS=6","LossSlackMs=200","ConfigApplyMs=2000","RollbackSlackMs=250","OuterMs=5000","RevokeStrict=false","RevokeMs=5000","RetryBudgetRatio=0.2","BudgetWindowS=10","RetryBudgetSlack=64","QuotaWindowS=5","QuotaOverage=0.25","QuotaSlack=%d","ColdOverage=1.5","ColdSlack=5","EvacuationMs=5000","RecoverS=15","ttl_max_s=5","ProbesPerS=3","FloorShare=0.7"]
[Zones]
%s = "gt-central"
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
Directory = "%s:%d"
[Limits]
CpuShare = 0.32
Cores = 1
MemoryMb = %d
MaxFds = %d
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
`, m.name, m.ip, zone, f.port+4, f.port+9, seedList, o.quotaSlack, zone,
		m.ip, f.port+1, m.ip, f.port+2, m.ip, f.port+3, m.ip, f.port, o.memoryMB, o.fds, o.store)
}

// front is the address for clients.
func (m *Machine) front() string    { return fmt.Sprintf("%s:%d", m.ip, m.fleet.port+1) }
func (m *Machine) readyURL() string { return fmt.Sprintf("http://%s:%d/-/ready", m.ip, m.fleet.port+2) }

// address returns an address of the fleet's network that no machine has.
func (f *Fleet) address() string {
	f.next++
	return fmt.Sprintf("%s.%d", f.network, f.next)
}

// start starts the process of the machine.
func (m *Machine) start() error {
	cmd := exec.Command(program, "front")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GALENASAIL_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.fleet.log, m.fleet.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (m *Machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	<-m.ended
}

// ready asks the machine whether it is ready.
func (m *Machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(m.readyURL())
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts the processes of the given machines.
func startAll(machines []*Machine) error {
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all given machines are ready.
func awaitReady(machines []*Machine, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and removes the folder.
func (f *Fleet) close() {
	for _, m := range f.machines {
		m.kill()
	}
	_ = f.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// serve serves h at a new address of ip until the process ends.
func serve(ip string, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}
