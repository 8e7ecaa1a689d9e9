package restarts

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	// The test builds the daemon itself; the import makes cached results depend on its code.
	_ "github.com/galenasail/galenasail/node/daemon"
	"github.com/galenasail/galenasail/platform/platformtest"
)

const (
	service    = "citas"
	key        = "key-of-the-only-workspace"
	targets    = 20
	slots      = 3
	minWork    = 60 * time.Millisecond
	maxWork    = 260 * time.Millisecond
	startLimit = 20 * time.Second
)

// testbed is a fleet of processes with a store and targets in this process.
type testbed struct {
	program string
	vms     []platformtest.VM
	files   []string
	log     *os.File
	// shedShare is the share of requests that targets refuse, in percent.
	shedShare atomic.Int64

	mu       sync.Mutex
	commands []*exec.Cmd
	arrivals map[string][]time.Time // by request ID
}

// startTestbed starts a fleet of n VMs and waits until all are ready.
func startTestbed(t *testing.T, n int) *testbed {
	dir := t.TempDir()
	tb := &testbed{program: filepath.Join(dir, "galenasaild"), arrivals: map[string][]time.Time{}}
	out, err := exec.Command("go", "build", "-o", tb.program, "github.com/galenasail/galenasail/cmd/galenasaild").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	if tb.log, err = os.Create(filepath.Join(dir, "vms.log")); err != nil {
		t.Fatal(err)
	}
	store := platformtest.NewStore()
	platformtest.PutConfiguration(store, service, key)
	for i := range targets {
		tb.startTarget(t, store, i)
	}
	tb.addVMs(t, dir, n, serve(t, store))
	t.Cleanup(tb.killAll)
	tb.startAll(t)
	tb.awaitReady(t)
	return tb
}

// serve serves h on loopback until the test ends and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (tb *testbed) startTarget(t *testing.T, store *platformtest.Store, i int) {
	target := platformtest.Target{
		ID: fmt.Sprintf("t-%02d", i), Service: service, Slots: slots, OnArrival: tb.recordArrival,
		Sheds: func() bool { return rand.Int64N(100) < tb.shedShare.Load() },
		Work:  func() time.Duration { return minWork + rand.N(maxWork-minWork) },
	}
	target.Address = serve(t, target)
	target.Register(store)
}

func (tb *testbed) recordArrival(id string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.arrivals[id] = append(tb.arrivals[id], time.Now())
}

// addVMs writes the settings of n VMs, each with an address of its own, because all VMs use the
// same ports.
func (tb *testbed) addVMs(t *testing.T, dir string, n int, store string) {
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	port := 20000 + 10*rand.IntN(1000)
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("%s.%d", network, i+1))
	}
	for i, ip := range ips {
		vm := platformtest.VM{
			Name: fmt.Sprintf("front-%d", i+1), IP: ip, Store: store, Seeds: ips[:min(3, n)],
			InternalPort: port, FrontPort: port + 1, ReadyPort: port + 2, DirectoryPort: port + 3, MemoryMB: 284, Descriptors: 4100,
		}
		file := filepath.Join(dir, vm.Name+".toml")
		if err := os.WriteFile(file, []byte(vm.Settings()), 0o600); err != nil {
			t.Fatal(err)
		}
		tb.vms, tb.files = append(tb.vms, vm), append(tb.files, file)
	}
}

// startAll starts a process for each VM.
func (tb *testbed) startAll(t *testing.T) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.commands = nil
	for _, file := range tb.files {
		cmd := exec.Command(tb.program, "front")
		cmd.Env = append(os.Environ(), platformtest.SettingsVariable+"="+file)
		cmd.Stdout, cmd.Stderr = tb.log, tb.log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			t.Error(err)
			return
		}
		tb.commands = append(tb.commands, cmd)
	}
}

// killAll kills all processes and waits until they have exited.
func (tb *testbed) killAll() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, cmd := range tb.commands {
		_ = cmd.Process.Kill()
	}
	for _, cmd := range tb.commands {
		_ = cmd.Wait()
	}
	tb.commands = nil
}

// awaitReady waits until each VM says that it is ready.
func (tb *testbed) awaitReady(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(startLimit)
	for _, vm := range tb.vms {
		url := fmt.Sprintf("http://%s:%d%s", vm.IP, vm.ReadyPort, platformtest.ReadyPath)
		for !isOK(client, url) {
			if time.Now().After(deadline) {
				t.Fatalf("%s is not ready after %v", vm.Name, startLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func isOK(client *http.Client, url string) bool {
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// address returns the address of a VM that a random VM names to callers.
func (tb *testbed) address(client *http.Client) (string, error) {
	vm := tb.vms[rand.IntN(len(tb.vms))]
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", vm.IP, vm.DirectoryPort, platformtest.AddressPath))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var known struct{ Addresses []string }
	if err := json.NewDecoder(resp.Body).Decode(&known); err != nil || len(known.Addresses) == 0 {
		return "", fmt.Errorf("no address: status %d, error %v", resp.StatusCode, err)
	}
	return known.Addresses[rand.IntN(len(known.Addresses))], nil
}

// send sends one request and returns the status of its answer.
func (tb *testbed) send(client *http.Client, method, path, id string, deadline time.Duration) (int, error) {
	address, err := tb.address(client)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	platformtest.SetRequest(r, id, key, deadline)
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
