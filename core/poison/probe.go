package poison

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probeSlot is the time in which the mark of a probe that lost its connection reaches the
// other VMs.
const probeSlot = 3 * time.Second

// ProbeDelay returns how long after the end of a quarantine the VM self may probe a
// fingerprint. One of the VMs may at once, and the number of VMs that may doubles with each
// probeSlot: with many requests few VMs probe, with few requests the probe does not wait
// long. Others lists the IDs of the other VMs that may probe.
func ProbeDelay(fingerprint uint64, self string, others []string) time.Duration {
	own := probeOrder(fingerprint, self)
	rank := uint(0)
	for _, id := range others {
		if probeOrder(fingerprint, id) < own {
			rank++
		}
	}
	return probeSlot * time.Duration(bits.Len(rank))
}

// probeOrder returns a number that orders the VMs differently for each fingerprint.
func probeOrder(fingerprint uint64, id string) uint64 {
	var prefix [8]byte
	binary.BigEndian.PutUint64(prefix[:], fingerprint)
	d := xxhash.New()
	_, _ = d.Write(prefix[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}
