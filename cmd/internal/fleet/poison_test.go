package fleet

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/galenasail/galenasail/cmd/internal/deployment"
	"github.com/galenasail/galenasail/cmd/internal/load"
	"github.com/galenasail/galenasail/core/fault"
)

// startCrashingTargets serves all targets of a deployment. They close the connection of each
// request, which they count.
func startCrashingTargets(t testing.TB, d deployment.Deployment, p deployment.Ports) *atomic.Int64 {
	reached := new(atomic.Int64)
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		reached.Add(1)
		panic(http.ErrAbortHandler)
	})
	for i := range d.Services {
		for _, target := range d.ServiceDocument(i, p).Targets {
			l, err := net.Listen("tcp", target.Address)
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{Handler: handler}
			t.Cleanup(func() { _ = server.Close() })
			go func() { _ = server.Serve(l) }()
		}
	}
	return reached
}

// sendPoisoned sends the same request to one VM and returns the status of the answer.
func sendPoisoned(t *testing.T, address string, key string) int {
	t.Helper()
	caller := load.NewCaller(key, []string{address})
	defer caller.Close()
	return caller.Send(context.Background(), load.Request{Method: "POST", Path: "/citas/crash", Body: "x", WithKey: true}).Status
}

// Guards against a VM that was restarted and sends a request to targets which all other VMs
// refuse because it has crashed several.
func TestRestartedVMRefusesAPoisonedRequest(t *testing.T) {
	d := deployment.CabelloDigno()
	ports, err := deployment.FreePorts()
	if err != nil {
		t.Fatal(err)
	}
	reached := startCrashingTargets(t, d, ports)
	f, err := Start(Config{Deployment: d, VMs: 5, Ports: ports, Logger: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	vms, key, poisoned := f.CallerAddresses(), d.Workspaces[0].Key(), fault.Poisoned.Answer().Status
	for i := 0; sendPoisoned(t, vms[0], key) != poisoned; i++ {
		if i == 10 {
			t.Fatal("the request is not quarantined")
		}
	}
	// Marks are sent for 3 s, so that only the quarantine itself is left.
	time.Sleep(4 * time.Second)
	for i := 1; i < 5; i++ {
		f.KillVM(i)
		if err := f.StartVM(i); err != nil {
			t.Fatal(err)
		}
		if err := f.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		before := reached.Load()
		if status := sendPoisoned(t, vms[i], key); status != poisoned || reached.Load() != before {
			t.Errorf("VM %d after its restart: status %d, %d arrivals at targets; want %d and none", i, status, reached.Load()-before, poisoned)
		}
	}
}
