package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// mode is how a proxy treats the connections through it.
type mode int

const (
	passing mode = iota
	// delaying delays each chunk by chunkDelay.
	delaying
	// silentToServer and silentToClient drop the data of one direction.
	silentToServer
	silentToClient
	// resetting resets open and new connections.
	resetting
	modeCount
)

func (m mode) String() string {
	return [...]string{"passing", "delaying", "silent to the server", "silent to the client", "resetting"}[m]
}

// chunkDelay is the time by which a delaying proxy delays each chunk.
const chunkDelay = 150 * time.Millisecond

// modePollInterval is the interval at which a silent direction checks the mode.
const modePollInterval = 20 * time.Millisecond

// proxy forwards TCP connections on loopback from one address to another and injects
// network faults.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// startProxy starts a proxy from address from to address to; it ends with the test.
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

// setMode changes the mode. The mode resetting resets all open connections.
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

// reset closes a connection with a TCP reset instead of a FIN: linger time 0.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// accept forwards the connections of clients until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// forward connects a client to the server and copies both directions.
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

// copyChunks copies data from one connection to the other until one of them ends. The
// mode dropped makes this direction silent.
func (p *proxy) copyChunks(to, from net.Conn, dropped mode) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
		_ = to.Close()
		_ = from.Close()
	}()
	chunk := make([]byte, 16<<10)
	for {
		n, err := from.Read(chunk)
		if n > 0 && !p.forwardChunk(to, chunk[:n], dropped) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forwardChunk writes a chunk as the mode requires and reports whether the connection
// is still usable. A dropped chunk leaves a gap in the stream, so the direction stays
// silent until the mode changes, and then the connection is closed.
func (p *proxy) forwardChunk(to net.Conn, chunk []byte, dropped mode) bool {
	switch p.currentMode() {
	case dropped:
		for p.currentMode() == dropped {
			time.Sleep(modePollInterval)
		}
		return false
	case delaying:
		time.Sleep(chunkDelay)
	}
	_, err := to.Write(chunk)
	return err == nil
}
