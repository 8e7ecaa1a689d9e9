package deployment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Layout of randomly chosen ports, for fleets that run at the same time on one machine:
// one of portBlocks consecutive blocks, which start at firstBlockPort, is divided into
// portsPerKind ports for each of the four kinds of address.
const (
	portsPerKind   = 64
	firstBlockPort = 10000
	portBlocks     = 80
)

// lockTime is how long a chosen block is locked. It is longer than a fleet takes to listen at
// its first ports.
const lockTime = 10 * time.Second

// FreePorts returns four ranges of 64 ports below the ephemeral port range of Linux, all
// of which were free when checked. For 10 s no other call returns them, in any process. It
// returns an error if no random block was free in 80 attempts.
func FreePorts() (Ports, error) {
	for range portBlocks {
		block := rand.IntN(portBlocks)
		unlock, ok := lockBlock(block)
		if !ok {
			continue
		}
		base := firstBlockPort + block*4*portsPerKind
		if portsFree(base, 4*portsPerKind) {
			time.AfterFunc(lockTime, unlock)
			return Ports{Caller: base, Peer: base + portsPerKind, Admin: base + 2*portsPerKind, Target: base + 3*portsPerKind}, nil
		}
		unlock()
	}
	return Ports{}, errors.New("found no free block of 256 consecutive ports in 80 attempts")
}

// lockBlock locks a block of ports against other calls, in this and other processes, until
// unlock is called or the process ends. ok is false when it is locked already.
func lockBlock(block int) (unlock func(), ok bool) {
	name := fmt.Sprintf("galenasail-ports-%d.lock", block)
	f, err := os.OpenFile(filepath.Join(os.TempDir(), name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, false
	}
	unlock = func() { _ = f.Close() }
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		unlock()
		return nil, false
	}
	return unlock, true
}

// portsFree reports whether count loopback ports from first on can all be opened.
func portsFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		l, err := net.Listen("tcp", loopbackAddress(port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
