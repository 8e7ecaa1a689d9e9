// Package event defines the event kinds, the event record and a ring buffer of
// events. Merging the ring buffers of all VMs yields the timeline of the fleet.
package event

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind is the kind of an event. No other kinds than the listed ones exist.
type Kind uint8

// The event kinds.
const (
	// Started: the process started.
	Started Kind = iota + 1
	// Stopping: a graceful shutdown started.
	Stopping
	// Stopped: a graceful shutdown completed.
	Stopped
	// ConfigApplied: a ticket took effect on this VM.
	ConfigApplied
	// ConfigRefused: a ticket failed validation.
	ConfigRefused
	// ConfigExcluded: an entry of the configuration in effect is not served, because it is
	// not valid.
	ConfigExcluded
	// ConfigBehind: for some time, the configuration in effect was not known to be the
	// newest one.
	ConfigBehind
	// ConfigCurrent: the configuration in effect is known to be the newest one again.
	ConfigCurrent
	// StoreEpoch: a configuration of another store epoch took effect on this VM.
	StoreEpoch
	// ListApplied: a VM list took effect on this VM.
	ListApplied
	// PlatformLost: the platform stopped answering this VM.
	PlatformLost
	// PlatformBack: the platform answers this VM again.
	PlatformBack
	// PeerLost: there were no recent heartbeat round trips with a peer.
	PeerLost
	// PeerBack: heartbeat round trips with a peer succeed again.
	PeerBack
	// ContactLost: this VM is no longer in contact with enough other VMs.
	ContactLost
	// ContactBack: this VM is in contact with enough other VMs again.
	ContactBack
	// LeaseHeld: this VM acquired an exclusive lease on a shard.
	LeaseHeld
	// LeaseLost: this VM released or lost an exclusive lease.
	LeaseLost
	// GroupReady: the new holder of a target group completed its takeover.
	GroupReady
	// GroupBusy: requests are waiting for a slot of a target group.
	GroupBusy
	// GroupOverloaded: a target group refuses or reorders requests, or its targets begin or
	// stop shedding load.
	GroupOverloaded
	// TargetEjected: outlier detection ejected a target.
	TargetEjected
	// TargetReturned: an ejected target receives requests again.
	TargetReturned
	// EjectionRefused: a target was not ejected because of the service's floor.
	EjectionRefused
	// TargetCold: the limit of a target was lowered to its cold start limit.
	TargetCold
	// TargetWarm: a target reached its full number of slots.
	TargetWarm
	// TargetLimited: the learned limit of a target fell below its slots.
	TargetLimited
	// TargetDraining: a target receives no new requests.
	TargetDraining
	// TargetPaused: a target asked this VM for a pause.
	TargetPaused
	// PathAvoided: an entry VM cannot reach a target that other VMs can reach.
	PathAvoided
	// DomainOut: a failure domain was taken out of service.
	DomainOut
	// DomainIn: a failure domain was returned to service.
	DomainIn
	// RequestPoisoned: a request fingerprint was quarantined.
	RequestPoisoned
	// KeyRevoked: a ticket removed a workspace key.
	KeyRevoked
	// DutyFailed: an actor crashed.
	DutyFailed
	// MessageShed: a message was dropped because a mailbox was full.
	MessageShed
	// PeerRefused: a peer message had no valid signature.
	PeerRefused
	// CallerRefused: the limits for what is held for callers refused a request or closed a
	// connection.
	CallerRefused
	// InvariantViolated: an invariant of the fleet did not hold.
	InvariantViolated
	// RequestDone: a request finished. It is recorded when the request failed, was
	// refused or retried, or when the caller requested a trace.
	RequestDone
	// RequestPanicked: the handler of a request panicked.
	RequestPanicked

	kindCount
)

var names = [kindCount]string{
	Started: "started", Stopping: "stopping", Stopped: "stopped",
	ConfigApplied: "config_applied", ConfigRefused: "config_refused",
	ConfigExcluded: "config_excluded",
	ConfigBehind:   "config_behind", ConfigCurrent: "config_current", StoreEpoch: "store_epoch", ListApplied: "list_applied",
	PlatformLost: "platform_lost", PlatformBack: "platform_back",
	PeerLost: "peer_lost", PeerBack: "peer_back",
	ContactLost: "contact_lost", ContactBack: "contact_back",
	LeaseHeld: "lease_held", LeaseLost: "lease_lost", GroupReady: "group_ready", GroupBusy: "group_busy",
	GroupOverloaded: "group_overloaded",
	TargetEjected:   "target_ejected", TargetReturned: "target_returned", EjectionRefused: "ejection_refused",
	TargetCold: "target_cold", TargetWarm: "target_warm", TargetLimited: "target_limited", TargetDraining: "target_draining", TargetPaused: "target_paused",
	PathAvoided: "path_avoided", DomainOut: "domain_out", DomainIn: "domain_in",
	RequestPoisoned: "request_poisoned", KeyRevoked: "key_withdrawn",
	DutyFailed: "duty_failed", MessageShed: "message_shed", PeerRefused: "peer_refused",
	CallerRefused: "caller_refused", InvariantViolated: "invariant_violated",
	RequestDone: "request_done", RequestPanicked: "request_panicked",
}

// Kinds returns all event kinds in the order of their declaration.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount)
	for k := Started; k < kindCount; k++ {
		all = append(all, k)
	}
	return all
}

// String returns the stable name of k.
func (k Kind) String() string {
	if k == 0 || k >= kindCount {
		return fmt.Sprintf("unknown_%d", uint8(k))
	}
	return names[k]
}

// MarshalJSON encodes k as its stable name.
func (k Kind) MarshalJSON() ([]byte, error) {
	return json.Marshal(k.String())
}

// UnmarshalJSON decodes a stable name. It returns an error for an unknown name.
func (k *Kind) UnmarshalJSON(raw []byte) error {
	var name string
	if err := json.Unmarshal(raw, &name); err != nil {
		return err
	}
	for _, candidate := range Kinds() {
		if candidate.String() == name {
			*k = candidate
			return nil
		}
	}
	return fmt.Errorf("unknown event kind %q", name)
}

// Event is one entry of the timeline.
type Event struct {
	// Seq is the sequence number of the event in its VM instance, from 1.
	Seq uint64 `json:"seq"`
	// Wall is the wall-clock time of the VM. The clocks of VMs differ.
	Wall time.Time `json:"wall"`
	// Mono is the monotonic time since the process started, in nanoseconds.
	Mono time.Duration `json:"monoNs"`
	// VM is the identifier of the VM.
	VM string `json:"vm"`
	// Instance is the process instance of the VM.
	Instance string `json:"instance"`
	// Kind is the kind of event.
	Kind Kind `json:"kind"`
	// Subject identifies what the event concerns: a target, shard, peer, ticket,
	// workspace or request.
	Subject string `json:"subject,omitempty"`
	// Ticket is the number of the ticket in effect on the VM.
	Ticket uint64 `json:"ticket,omitempty"`
	// Detail is a one-sentence description with figures and units.
	Detail string `json:"detail,omitempty"`
}
