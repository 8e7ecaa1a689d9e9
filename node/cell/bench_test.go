package cell

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/node/peer"
)

// usage returns the user and system CPU time of the process, and the bytes that the
// VMs have sent and received.
func usage(vms []*vm) (cpu time.Duration, bytes int64) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // fails only for a bad argument
	for _, v := range vms {
		bytes += v.traffic.Sent() + v.traffic.Received()
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), bytes
}

// Values of a fleet that has run for a long time: a process of one month and 17,000
// tickets a day for three years. Smaller values would be encoded in fewer bytes.
const (
	longRunSeq     = 5_000_000
	longRunTicket  = 18_000_000
	longRunVersion = 1_000_000
	longRunLoad    = 200
)

// longRunningUDP adds an offset to the sequence numbers, so that they are encoded in
// as many bytes as those of a process that has run for a month.
type longRunningUDP struct{ *peer.UDP }

func (a longRunningUDP) Send(to member.VM, h *contact.Heartbeat) error {
	c := *h
	c.Seq += longRunSeq
	c.Echo += longRunSeq
	return a.UDP.Send(to, &c)
}

func (a longRunningUDP) Serve(receive func(*contact.Heartbeat)) {
	a.UDP.Serve(func(h *contact.Heartbeat) {
		h.Seq -= longRunSeq
		h.Echo -= longRunSeq
		receive(h)
	})
}

// BenchmarkHeartbeats measures the cost of heartbeats per VM in a cell whose holders
// do not change: bytes in both directions with IP and UDP headers, and CPU time with
// system calls, timers and actors. Each iteration is one second.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{16, 32, 48, 64} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			vms := startCell(b, n, func(c *Config) {
				c.Transport = longRunningUDP{c.Transport.(*peer.UDP)}
				c.Load = func() int { return longRunLoad }
			})
			list := *vms[0].configs.list.Load()
			list.Version = longRunVersion
			for _, v := range vms {
				v.configs.list.Store(&list)
				v.configs.setTicket(longRunTicket)
				v.RecordPlatformResponse(time.Now())
			}
			time.Sleep(2 * statusRepeatPeriod)
			began := time.Now()
			cpu, bytes := usage(vms)
			b.ResetTimer()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			perVMSecond := 1 / (time.Since(began).Seconds() * float64(n))
			cpuAfter, bytesAfter := usage(vms)
			b.ReportMetric(float64(bytesAfter-bytes)*perVMSecond, "B/s/vm")
			b.ReportMetric(100*(cpuAfter-cpu).Seconds()*perVMSecond, "%core/vm")
		})
	}
}
