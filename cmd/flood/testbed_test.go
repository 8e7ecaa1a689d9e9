package flood

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/standin/platform"
	"github.com/galenasail/galenasail/core/document"
	// The test builds the daemon itself; the import makes cached results depend on its code.
	_ "github.com/galenasail/galenasail/node/daemon"
	"github.com/galenasail/galenasail/node/settings"
)

const (
	vms            = 3
	memoryMB       = 96
	stallMs        = 3000
	maxDescriptors = 512
	maxBodyBytes   = 64 << 20
	routeTimeoutMs = 10000
	sharedKey      = "a-shared-key-for-floods-on-loopback"
	largePath      = "/citas/large"
	largeBytes     = 16 << 20
	mediumPath     = "/citas/medium"
	mediumBytes    = 60_000
)

// testDeployment returns the deployment of the test: one service with 12 slots.
func testDeployment() deployment.Deployment {
	d := deployment.CabelloDigno()
	d.Services = []deployment.ServiceSpec{{Name: "citas", Targets: 4, Slots: 3, Connections: 200}}
	d.Workspaces = []deployment.WorkspaceSpec{{ID: "clinic-1", Rate: 1000, Burst: 2000}}
	return d
}

// testbed is a fleet of processes. Floods are sent to the first one.
type testbed struct {
	vms     []*exec.Cmd
	program string
	files   []string
	log     *os.File
	address string
	admin   string
	peer    string
	front   string // IP address of a VM that runs on the users' platform
	// memoryMB and descriptors are the limits of the first VM.
	memoryMB, descriptors int
	key                   string
	deployment            deployment.Deployment
}

// startTestbed starts targets, the platform and the VMs.
func startTestbed(t *testing.T) *testbed {
	dir := t.TempDir()
	ports, err := deployment.FreePorts()
	if err != nil {
		t.Fatal(err)
	}
	tb := &testbed{deployment: testDeployment(), program: filepath.Join(dir, "galenasaild"), vms: make([]*exec.Cmd, vms), memoryMB: memoryMB, descriptors: maxDescriptors}
	out, err := exec.Command("go", "build", "-o", tb.program, "github.com/galenasail/galenasail/cmd/galenasaild").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	if tb.log, err = os.Create(filepath.Join(dir, "vms.log")); err != nil {
		t.Fatal(err)
	}
	for _, one := range tb.deployment.ServiceDocument(0, ports).Targets {
		serveHTTP(t, one.Address, http.HandlerFunc(serveTarget))
	}
	tb.startVMs(t, dir, ports)
	return tb
}

// serveTarget reads the body and answers with a small or a large response.
func serveTarget(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	size := map[string]int64{largePath: largeBytes, mediumPath: mediumBytes}[r.URL.Path]
	if size == 0 {
		_, _ = io.WriteString(w, "ok")
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	_, _ = io.CopyN(w, zeros{}, size)
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// serveHTTP serves h on a loopback address until the test ends and returns the address.
func serveHTTP(t *testing.T, address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (tb *testbed) startVMs(t *testing.T, dir string, ports deployment.Ports) {
	p := platform.New(platform.Config{})
	platformAddress := serveHTTP(t, "127.0.0.1:0", p)
	list := tb.deployment.VMList(vms, ports)
	if err := p.SetList(list, 0); err != nil {
		t.Fatal(err)
	}
	if err := p.Publish(tb.ticket(t, ports)); err != nil {
		t.Fatal(err)
	}
	tb.address, tb.admin, tb.peer = list.VMs[0].Address, ports.AdminAddress(0), list.VMs[0].PeerAddress
	tb.key = tb.deployment.Workspaces[0].Key()
	for i, vm := range list.VMs {
		s := settings.Settings{
			ID: vm.ID, Address: vm.Address, PeerAddress: vm.PeerAddress, AdminAddress: ports.AdminAddress(i),
			FailureDomain: vm.FailureDomain, PlatformURL: "http://" + platformAddress, SharedKey: sharedKey,
			MemoryMB: memoryMB, MaxDescriptors: maxDescriptors, CallerLimits: settings.CallerLimits{StallMs: stallMs},
		}
		raw, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(dir, vm.ID+".json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		tb.files = append(tb.files, file)
		tb.start(t, i)
		t.Cleanup(func() { tb.kill(i) })
	}
}

// ticket returns the first ticket, whose routes allow bodies of the published size.
func (tb *testbed) ticket(t *testing.T, ports deployment.Ports) *document.TicketFile {
	file := &document.TicketFile{Ticket: 1, Documents: map[string]json.RawMessage{}}
	for _, d := range tb.deployment.Documents(ports) {
		if routes, ok := d.Document.(document.Routes); ok {
			routes.Routes[0].MaxBodyBytes = maxBodyBytes
			routes.Routes[0].TimeoutMs = routeTimeoutMs
		}
		raw, err := json.Marshal(d.Document)
		if err != nil {
			t.Fatal(err)
		}
		file.Documents[d.Name] = raw
	}
	return file
}

// start starts the process of VM number i.
func (tb *testbed) start(t *testing.T, i int) {
	cmd := exec.Command(tb.program, "--settings", tb.files[i])
	cmd.Stdout, cmd.Stderr = tb.log, tb.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	tb.vms[i] = cmd
}

// kill kills the process of VM number i and waits until it has exited.
func (tb *testbed) kill(i int) {
	_ = tb.vms[i].Process.Kill()
	_ = tb.vms[i].Wait()
}

// restart replaces the process of the first VM, so that its peak of memory is that of one flood.
func (tb *testbed) restart(t *testing.T) {
	tb.kill(0)
	tb.start(t, 0)
	deadline := time.Now().Add(15 * time.Second)
	for tb.get() != nil {
		if time.Now().After(deadline) {
			t.Fatal("the VM serves no request 15 s after its start")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// get sends an ordinary request and returns an error unless it is answered with 200 in time.
func (tb *testbed) get() error {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+tb.address+"/citas/hello", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+tb.key)
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, error %v: %s", resp.StatusCode, err, body)
	}
	return nil
}

// usage returns the peak of the resident memory of the first VM, in megabytes, and its open
// descriptors. ok is false when its process has exited.
func (tb *testbed) usage() (peakMB, descriptors int, ok bool) {
	return usageOf(tb.vms[0].Process.Pid)
}

func usageOf(pid int) (peakMB, descriptors int, ok bool) {
	dir := fmt.Sprintf("/proc/%d", pid)
	status, err := os.ReadFile(dir + "/status")
	open, dirErr := os.ReadDir(dir + "/fd")
	_, text, found := strings.Cut(string(status), "VmHWM:")
	if err != nil || dirErr != nil || !found {
		return 0, 0, false
	}
	kb, err := strconv.Atoi(strings.Fields(text)[0])
	return kb >> 10, len(open), err == nil
}
