package command

import (
	"time"

	"github.com/galenasail/galenasail/core/fault"
)

// startupPollInterval is how often a held request checks whether this VM has its
// configuration.
const startupPollInterval = 20 * time.Millisecond

// awaitStartup holds a request that arrives during the startup of this VM until the VM has
// its configuration and VM list, begins to shut down or has existed for StartupWait, or
// until the caller disconnects. When all VMs restart, callers reconnect immediately, a
// fraction of a second before a VM has its configuration.
func (ex *exchange) awaitStartup() {
	for ex.h.startingUp() {
		select {
		case <-ex.r.Context().Done():
			return
		case <-time.After(startupPollInterval):
		}
	}
}

// startingUp reports whether this VM started less than StartupWait ago and has no
// configuration or VM list yet.
func (h *Handler) startingUp() bool {
	if time.Since(h.created) >= h.cfg.StartupWait || h.draining.Load() {
		return false
	}
	if h.cfg.Configs.Snapshot() == nil {
		return true
	}
	err := h.cfg.Contact.Check()
	return err != nil && fault.KindOf(err) == fault.NotReady
}
