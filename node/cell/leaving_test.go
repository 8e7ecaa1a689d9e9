package cell

import (
	"testing"
	"time"

	"github.com/galenasail/galenasail/core/member"
)

// Guards against a VM that restarts after it left and is treated as leaving for ever.
// A self-managed VM list is built from the ReportedLeaving of the heartbeats, so the
// leaving state in the list must not set ReportedLeaving in turn.
func TestListedLeaveIsNotReportedByPeer(t *testing.T) {
	t.Parallel()
	vms := startCell(t, 3)
	list := &member.List{Version: 99}
	for _, vm := range vms[0].Peers() {
		v := vm.VM
		if v.ID == vms[2].vm.ID {
			v.State = member.Leaving
		}
		list.VMs = append(list.VMs, v)
	}
	list.VMs = append(list.VMs, vms[0].vm)
	if err := list.Normalise(); err != nil {
		t.Fatal(err)
	}
	vms[0].configs.list.Store(list)
	eventually(t, 3*time.Second, "the list is applied", func() bool {
		for _, p := range vms[0].Peers() {
			if p.VM.ID == vms[2].vm.ID {
				return p.Leaving && !p.ReportedLeaving
			}
		}
		return false
	})
}
