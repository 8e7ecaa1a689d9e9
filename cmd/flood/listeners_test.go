package flood

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/galenasail/galenasail/node/peer"
	"github.com/galenasail/galenasail/node/peer/peerv1"
	"github.com/galenasail/galenasail/node/peer/peerv1/peerv1connect"
)

func toPeers(tb *testbed) string { return tb.peer }

// preface opens an HTTP/2 connection with default settings.
const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// openFrame starts a frame of an unknown type with 16,383 bytes.
const openFrame = "\x00\x3f\xff\xff\x00\x00\x00\x00\x00"

// fixed returns a text that does not depend on the testbed.
func fixed(text string) []func(*testbed) string {
	return one(func(*testbed) string { return text })
}

func peerCrowds() []slowCrowd {
	peers := one(toPeers)
	return []slowCrowd{
		{"peers: idle", 200, peers, fixed(""), false, (*testbed).checkPeers},
		{"peers: idle after the preface", 200, peers, fixed(preface), false, (*testbed).checkPeers},
		{"peers: senders of frames", 200, peers, fixed(preface + openFrame), true, (*testbed).checkPeers},
	}
}

// checkPeers checks the first VM and a signed call to it.
func (tb *testbed) checkPeers(t *testing.T) {
	t.Helper()
	tb.check(t)
	client := peer.NewClient(peer.ClientConfig{Key: []byte(sharedKey)})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), ordinaryTimeout)
	defer cancel()
	if _, err := client.FetchConfig(ctx, tb.peer, &peerv1.FetchConfigRequest{}); err != nil {
		t.Errorf("signed call: %v", err)
	}
}

// datagrams is the number of datagrams that floodDatagrams sends.
const datagrams = 20_000

// floodDatagrams sends datagrams without a valid signature to an address for heartbeats.
// The VM records an event for each, so that its responses to event queries become large.
func floodDatagrams(t *testing.T, address string) {
	conn, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	datagram := make([]byte, 1000)
	for range datagrams {
		// The socket may be full.
		_, _ = conn.Write(datagram)
	}
}

// floodCalls opens calls with signatures of the right form, whose bodies never end.
func floodCalls(t *testing.T, tb *testbed) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	for range streamConnections {
		transport := &http.Transport{Protocols: protocols}
		t.Cleanup(transport.CloseIdleConnections)
		for range streamsEach {
			req, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+tb.peer+peerv1connect.PeerServiceFetchConfigProcedure, trickle(t, 10_000))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Content-Type", "application/proto")
			req.Header.Set("Galenasail-Peer-Time", fmt.Sprint(time.Now().UnixMilli()))
			req.Header.Set("Galenasail-Peer-Nonce", strings.Repeat("0", 32))
			req.Header.Set("Galenasail-Peer-Signature", strings.Repeat("0", 64))
			go func() {
				if resp, err := transport.RoundTrip(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
	}
}

// Ports of a VM of the users' platform, at a loopback address of its own: the port of its
// metrics is fixed.
const (
	frontPort     = 9001
	readyPort     = 9002
	directoryPort = 9003
	internalPort  = 9004
	metricsPort   = 9464
	// frontDescriptors and frontMemoryMB are about the smallest of the deployments. A VM with
	// less allows too few connections to its other listeners to exceed its memory.
	frontDescriptors = 4096
	frontMemoryMB    = 184
)

// Paths of readiness checks and address queries.
const (
	readyPath   = "/-/ready"
	resolvePath = "/-/resolve?Zone=a"
)

func toReady(tb *testbed) string { return fmt.Sprintf("%s:%d", tb.front, readyPort) }

func toDirectory(tb *testbed) string { return fmt.Sprintf("%s:%d", tb.front, directoryPort) }

func toMetrics(tb *testbed) string { return fmt.Sprintf("%s:%d", tb.front, metricsPort) }

func frontCrowds() []slowCrowd {
	events := repeated(followed(request("GET", "/galenasail/v1/events"), ""), 100)
	addresses := []func(*testbed) string{toReady, toDirectory}
	open := append(openRequests(readyPath), openRequests(resolvePath)...)
	unread := []func(*testbed) string{
		repeated(followed(request("GET", readyPath), ""), 1000),
		repeated(followed(request("GET", resolvePath), ""), 1000),
	}
	return []slowCrowd{
		{"readiness and address queries: idle", 200, addresses, fixed(""), false, (*testbed).checkFront},
		{"readiness and address queries: senders", 200, addresses, open, true, (*testbed).checkFront},
		{"readiness and address queries: readers", 200, addresses, unread, false, (*testbed).checkFront},
		{"readers of events", 400, one(toMetrics), one(events), false, (*testbed).checkFront},
	}
}

// startFront replaces the process of the first VM by one that runs on the users' platform,
// whose store it does not reach. Its readiness checks and address queries are answered anyway.
func (tb *testbed) startFront(t *testing.T) {
	tb.kill(0)
	tb.front = fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&255, os.Getpid()&255)
	text := fmt.Sprintf(`Node = "front-1"
Ip = "%[1]s"
Zone = "a"
InternalPorts = [%[2]d, %[2]d]
[Zones]
a = "a"
[Listen]
Front = "%[1]s:%[3]d"
Ready = "%[1]s:%[4]d"
Directory = "%[1]s:%[5]d"
[Provider]
Address = "127.0.0.1:1"
[Limits]
MemoryMb = %[6]d
MaxFds = %[7]d
`, tb.front, internalPort, frontPort, readyPort, directoryPort, frontMemoryMB, frontDescriptors)
	tb.memoryMB, tb.descriptors = frontMemoryMB, frontDescriptors
	file := filepath.Join(t.TempDir(), "front.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(tb.program, "front")
	cmd.Env = append(os.Environ(), "GALENASAIL_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = tb.log, tb.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	tb.vms[0] = cmd
	deadline := time.Now().Add(15 * time.Second)
	for answered("http://"+toDirectory(tb)+resolvePath) != nil {
		if time.Now().After(deadline) {
			t.Fatal("the VM answers no address query 15 s after its start")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkFront checks the VM of the users' platform while a flood is connected.
func (tb *testbed) checkFront(t *testing.T) {
	t.Helper()
	time.Sleep(settleTime)
	ready := answered("http://" + toReady(tb) + readyPath)
	resolve := answered("http://" + toDirectory(tb) + resolvePath)
	tb.checkUsage(t)
	if ready != nil || resolve != nil {
		t.Errorf("readiness check: %v, address query: %v", ready, resolve)
	}
}
