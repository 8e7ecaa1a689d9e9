package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// mode is what a proxy does with the connections through it.
type mode int

const (
	passing mode = iota
	// delaying holds each piece back.
	delaying
	// silentToServer and silentToClient drop one direction.
	silentToServer
	silentToClient
	// resetting resets connections, new ones too.
	resetting
	modeCount
)

func (m mode) String() string {
	return [...]string{"passing", "delaying", "silent to the server", "silent to the client", "resetting"}[m]
}

// chunkDelay is the time by which a delaying proxy holds each piece back.
const chunkDelay = 150 * time.Millisecond

// modePollInterval is the time between two looks at the mode of a silent direction.
const modePollInterval = 20 * time.Millisecond

// proxy forwards TCP connections on loopback from one address to another.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func startProxy(t *testing.T, from, to string) *proxy {
	l, err := net.Listen("tcp", from)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.setMode(resetting)
	})
	go p.accept()
	return p
}

// setMode changes the mode. Resetting ends the open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != resetting {
		return
	}
	for c := range p.conns {
		reset(c)
		delete(p.conns, c)
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.to)
	if err != nil || p.currentMode() == resetting {
		reset(client)
		if err == nil {
			reset(server)
		}
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.copyChunks(server, client, silentToServer)
	p.copyChunks(client, server, silentToClient)
}

// copyChunks copies pieces from one connection to the other until one of them ends.
func (p *proxy) copyChunks(to, from net.Conn, dropped mode) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
		_ = to.Close()
		_ = from.Close()
	}()
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 && !p.forwardChunk(to, piece[:n], dropped) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forwardChunk writes a piece as the mode says; false when the connection is unusable. A
// dropped piece leaves a gap, so the connection stays silent from then on.
func (p *proxy) forwardChunk(to net.Conn, piece []byte, dropped mode) bool {
	switch p.currentMode() {
	case dropped:
		for p.currentMode() == dropped {
			time.Sleep(modePollInterval)
		}
		return false
	case delaying:
		time.Sleep(chunkDelay)
	}
	_, err := to.Write(piece)
	return err == nil
}
