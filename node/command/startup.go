package command

import (
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

// startPoll is the time between two looks whether a starting VM has its configuration.
const startupPollInterval = 20 * time.Millisecond

// awaitStart holds a request that came while the VM starts, until it can be admitted,
// its caller leaves, or the VM counts as started. After a loss of all VMs callers come
// at once, and a VM has its configuration a fraction of a second later.
func (ex *exchange) awaitStartup() {
	for ex.h.startingUp() {
		select {
		case <-ex.r.Context().Done():
			return
		case <-time.After(startupPollInterval):
		}
	}
}

// starting tells whether the VM is young and has no configuration or VM list yet.
func (h *Handler) startingUp() bool {
	if time.Since(h.created) >= h.cfg.StartWait || h.draining.Load() {
		return false
	}
	if h.cfg.Configs.Snapshot() == nil {
		return true
	}
	err := h.cfg.Contact.Check()
	return err != nil && fault.KindOf(err) == fault.NotReady
}
