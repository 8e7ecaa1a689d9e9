package peer

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
)

// datagramOverhead is the size of the IPv4 and UDP headers in bytes, which count
// towards the control traffic budget.
const datagramOverhead = 28

// readErrorDelay is the delay after a failed read.
const readErrorDelay = 10 * time.Millisecond

// UDPConfig configures the heartbeat transport.
type UDPConfig struct {
	// ID is the ID of this VM in the VM list. Required.
	ID string
	// Address is the local address, IP:port. Required.
	Address string
	// Key is the fleet's shared key. Without one, datagrams carry a checksum only.
	Key []byte
	// Traffic counts the bytes sent and received. Default: a new counter.
	Traffic *Traffic
	// OnRefused is called for each refused datagram. It must not block. Default: none.
	OnRefused RefusalHandler
}

// UDP sends and receives heartbeats. It is safe for concurrent use.
type UDP struct {
	self      uint64 // hash of the ID of this VM
	key       []byte
	conn      *net.UDPConn
	traffic   *Traffic
	onRefused RefusalHandler
	done      sync.WaitGroup

	mu    sync.Mutex // guards the fields below
	codec *Codec
	buf   []byte
	addrs map[string]netip.AddrPort // parsed peer addresses
}

// NewUDP binds a socket to the local address and returns an error when that fails.
func NewUDP(cfg UDPConfig) (*UDP, error) {
	local, err := netip.ParseAddrPort(cfg.Address)
	if err != nil {
		return nil, trace.BadParameter("peer address %q: %v", cfg.Address, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	u := &UDP{
		self:      contact.HashVMID(cfg.ID),
		key:       cfg.Key,
		conn:      conn,
		traffic:   cfg.Traffic,
		onRefused: cfg.OnRefused,
		codec:     NewCodec(cfg.Key),
		addrs:     map[string]netip.AddrPort{},
	}
	if u.traffic == nil {
		u.traffic = &Traffic{}
	}
	if u.onRefused == nil {
		u.onRefused = func(string, error) {}
	}
	return u, nil
}

// Address returns the bound address.
func (u *UDP) Address() string {
	return u.conn.LocalAddr().String()
}

// Send sends a heartbeat to a member. When it returns an error, nothing was sent.
func (u *UDP) Send(to member.VM, h *contact.Heartbeat) error {
	if err := u.send(to, h); err != nil {
		u.traffic.unsent.Add(1)
		return err
	}
	return nil
}

func (u *UDP) send(to member.VM, h *contact.Heartbeat) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	addr, err := u.resolve(to.PeerAddress)
	if err != nil {
		return err
	}
	u.buf, err = u.codec.Encode(u.buf[:0], h, contact.HashVMID(to.ID))
	if err != nil {
		return err
	}
	if _, err := u.conn.WriteToUDPAddrPort(u.buf, addr); err != nil {
		return trace.ConvertSystemError(err)
	}
	u.traffic.sent.Add(int64(len(u.buf) + datagramOverhead))
	return nil
}

// resolve parses address, or returns the cached result.
func (u *UDP) resolve(address string) (netip.AddrPort, error) {
	if addr, ok := u.addrs[address]; ok {
		return addr, nil
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return addr, trace.BadParameter("peer address %q: %v", address, err)
	}
	// The addresses of replaced VMs accumulate over months, so the cache is bounded.
	if len(u.addrs) > 1024 {
		clear(u.addrs)
	}
	u.addrs[address] = addr
	return addr, nil
}

// Serve starts a goroutine that passes received heartbeats to the callback receive
// until Close. The callback must not block. Serve must be called only once.
func (u *UDP) Serve(receive func(*contact.Heartbeat)) {
	u.done.Add(1)
	go u.read(receive)
}

func (u *UDP) read(receive func(*contact.Heartbeat)) {
	defer u.done.Done()
	codec := NewCodec(u.key)
	// One byte more than the limit distinguishes an oversized datagram from one of
	// exactly MaxDatagram bytes.
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A persistent error, such as a lack of memory, must not make this loop
			// use a whole core.
			time.Sleep(readErrorDelay)
			continue
		}
		u.traffic.received.Add(int64(n + datagramOverhead))
		h, err := codec.Decode(buf[:n], u.self)
		if err != nil {
			u.traffic.refused.Add(1)
			u.onRefused(from.String(), err)
			continue
		}
		receive(h)
	}
}

// Close closes the socket and waits for the receiving goroutine to end.
func (u *UDP) Close() error {
	err := u.conn.Close()
	u.done.Wait()
	return trace.Wrap(err)
}
