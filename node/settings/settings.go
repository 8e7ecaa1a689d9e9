// Package settings parses and validates the JSON settings of a VM.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/url"
	"os"

	"github.com/gravitational/trace"

	"github.com/galenasail/galenasail/core/member"
)

// MinSharedKeyBytes is the minimum length of a shared key. HMAC-SHA256 loses strength with
// keys that are shorter than its output of 32 bytes.
const MinSharedKeyBytes = 32

// Settings holds the settings of one VM.
type Settings struct {
	// ID is the ID of the VM in the VM list. Required.
	ID string `json:"id"`
	// Address is the listen address for callers, host:port. Required.
	Address string `json:"address"`
	// PeerAddress is the listen address for other VMs, host:port, UDP and TCP. Required.
	PeerAddress string `json:"peerAddress"`
	// AdminAddress is the listen address for state, events, metrics and health,
	// host:port. Required.
	AdminAddress string `json:"adminAddress"`
	// FailureDomain is the failure domain of the VM. Required.
	FailureDomain string `json:"failureDomain"`
	// PlatformURL is the base URL of the platform service. Required.
	PlatformURL string `json:"platformURL"`
	// SharedKey authenticates the VMs of a fleet to each other, at least 32
	// bytes. Required unless TrustNetwork is true.
	SharedKey string `json:"sharedKey"`
	// Seeds lists peer addresses from which the VM fetches the configuration when the
	// platform does not answer, and learns of other VMs with membership by seeds.
	// Default: none.
	Seeds []string `json:"seeds,omitempty"`
	// LogLevel is 0 for normal logs and 1 for verbose logs. Default: 0.
	LogLevel int `json:"logLevel,omitempty"`
	// TestMode makes the process exit at the first violated invariant. Default: false.
	TestMode bool `json:"testMode,omitempty"`
	// Membership is how VMs learn of each other. Default: MembershipByList.
	Membership Membership `json:"membership,omitempty"`
	// TrustNetwork is for networks in which no shared key can be distributed. Messages
	// between VMs then carry a checksum, which detects corruption but not forgery.
	// Default: false.
	TrustNetwork bool `json:"trustNetwork,omitempty"`
	// Seats is the minimum number of VMs of a cell that hold the cell's shards; large
	// cells have more. 0 spreads the shards over all VMs. Default: 0.
	Seats int `json:"seats,omitempty"`
	// Capacity is the CPU capacity of the VM, in thousandths of a core; 0 is unknown. When
	// Seats is above 0, VMs with more capacity are preferred as holders. Default: 0.
	Capacity int `json:"capacity,omitempty"`
	// LocalDomains lists the failure domains of a fleet whose requests stay in the failure
	// domain of their caller while it has room. It must be the same on all VMs. Use it where
	// the loss of a whole failure domain need not be borne. Default: none.
	LocalDomains []string `json:"localDomains,omitempty"`
	// MemoryMB is the memory that the process may use, in megabytes; 0 is unknown.
	// Default: 0.
	MemoryMB int `json:"memoryMB,omitempty"`
	// AnticipateLoad makes this VM choose target groups by their expected load, and learn
	// what each target of the groups that it holds serves at once. Default: false.
	AnticipateLoad bool `json:"anticipateLoad,omitempty"`
	// OverloadControl decides by priority, time left and usual demand which requests are
	// served, repeated or refused while a service cannot serve all, and when refused
	// callers return. It applies to services that are placed by health estimates. Default:
	// false.
	OverloadControl bool `json:"overloadControl,omitempty"`
	// MaxDescriptors is the number of file descriptors that the process may open; 0 is
	// what the system reports at start. Default: 0.
	MaxDescriptors int `json:"maxDescriptors,omitempty"`
	// CallerLimits bounds what is held for callers. Default: derived from MemoryMB and
	// MaxDescriptors.
	CallerLimits CallerLimits `json:"callerLimits,omitzero"`
}

// CallerLimits bounds what a VM holds for callers. A field with value 0 has its derived
// default.
type CallerLimits struct {
	// HeldMB is the memory for connections, headers, bodies and responses of callers, in
	// megabytes. Default: half of the memory above 64 MB, at least an eighth of it.
	HeldMB int `json:"heldMB,omitempty"`
	// Connections is the maximum number of connections of callers. Default: three
	// eighths of the descriptors.
	Connections int `json:"connections,omitempty"`
	// BodyBufferKB is the largest part of a body that is read before a target is chosen,
	// in kilobytes. Default: a thirty-second part of HeldMB, 64 to 8192.
	BodyBufferKB int `json:"bodyBufferKB,omitempty"`
	// StallMs is how long a body or a response may make no progress, in milliseconds.
	// Default: 10000.
	StallMs int `json:"stallMs,omitempty"`
}

// SmallFleetSeats is the value of Seats for fleets with a small load. With two holders, one
// still knows the state of the targets when the other is lost.
const SmallFleetSeats = 2

// Membership is the way in which VMs learn of each other.
type Membership string

// Ways of membership.
const (
	// MembershipByList reads the VM list that the platform publishes.
	MembershipByList Membership = ""
	// MembershipBySeeds asks the seeds; VMs exchange the members that they know.
	MembershipBySeeds Membership = "seeds"
)

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(raw)
}

// Parse decodes and validates settings. Unknown fields are an error.
func Parse(raw []byte) (*Settings, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var s Settings
	if err := dec.Decode(&s); err != nil {
		return nil, trace.BadParameter("settings: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, trace.BadParameter("settings: trailing data after the JSON value")
	}
	return &s, trace.Wrap(s.Check())
}

// Check returns an error that names the first invalid field.
func (s *Settings) Check() error {
	if s.ID == "" {
		return trace.BadParameter("settings: id is empty")
	}
	if s.FailureDomain == "" {
		return trace.BadParameter("settings: failureDomain is empty")
	}
	addresses := []struct{ field, value string }{
		{"address", s.Address},
		{"peerAddress", s.PeerAddress},
		{"adminAddress", s.AdminAddress},
	}
	for _, a := range addresses {
		if err := checkAddress(a.value); err != nil {
			return trace.BadParameter("settings: %s %q: %v", a.field, a.value, err)
		}
	}
	for _, seed := range s.Seeds {
		if err := checkAddress(seed); err != nil {
			return trace.BadParameter("settings: seeds %q: %v", seed, err)
		}
	}
	if u, err := url.Parse(s.PlatformURL); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return trace.BadParameter("settings: platformURL %q is not an http or https URL", s.PlatformURL)
	}
	if s.Membership != MembershipByList && s.Membership != MembershipBySeeds {
		return trace.BadParameter("settings: membership %q is neither empty nor %q", s.Membership, MembershipBySeeds)
	}
	if s.Seats < 0 {
		return trace.BadParameter("settings: seats %d is below 0", s.Seats)
	}
	if s.Capacity < 0 {
		return trace.BadParameter("settings: capacity %d is below 0", s.Capacity)
	}
	if err := s.checkLocalDomains(); err != nil {
		return err
	}
	if s.MemoryMB < 0 {
		return trace.BadParameter("settings: memoryMB %d is below 0", s.MemoryMB)
	}
	if s.MaxDescriptors < 0 {
		return trace.BadParameter("settings: maxDescriptors %d is below 0", s.MaxDescriptors)
	}
	if err := s.CallerLimits.check(); err != nil {
		return err
	}
	if s.TrustNetwork && s.SharedKey != "" {
		return trace.BadParameter("settings: sharedKey and trustNetwork are mutually exclusive")
	}
	if len(s.SharedKey) < MinSharedKeyBytes && !s.TrustNetwork {
		return trace.BadParameter("settings: sharedKey has %d bytes, want at least %d", len(s.SharedKey), MinSharedKeyBytes)
	}
	return nil
}

// checkLocalDomains returns an error unless LocalDomains is empty or lists different domains,
// among them that of the VM.
func (s *Settings) checkLocalDomains() error {
	if len(s.LocalDomains) == 0 {
		return nil
	}
	if len(s.LocalDomains) > member.ShardCount {
		return trace.BadParameter("settings: localDomains has %d entries, at most %d are allowed", len(s.LocalDomains), member.ShardCount)
	}
	seen := map[string]bool{}
	for _, d := range s.LocalDomains {
		if d == "" || seen[d] {
			return trace.BadParameter("settings: localDomains has an empty or repeated entry %q", d)
		}
		seen[d] = true
	}
	if !seen[s.FailureDomain] {
		return trace.BadParameter("settings: localDomains lacks the failure domain %q of this VM", s.FailureDomain)
	}
	return nil
}

// check returns an error that names the first field below 0.
func (c CallerLimits) check() error {
	for _, f := range []struct {
		name  string
		value int
	}{{"heldMB", c.HeldMB}, {"connections", c.Connections}, {"bodyBufferKB", c.BodyBufferKB}, {"stallMs", c.StallMs}} {
		if f.value < 0 {
			return trace.BadParameter("settings: callerLimits.%s %d is below 0", f.name, f.value)
		}
	}
	return nil
}

// checkAddress returns an error unless value is an IP address with a port; processes are
// addressed by IP address and never by host name.
func checkAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return trace.BadParameter("%q is not an IP address", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return err
	}
	return nil
}

// VM returns the entry of this VM for the VM list.
func (s *Settings) VM() member.VM {
	return member.VM{
		ID:            s.ID,
		Address:       s.Address,
		PeerAddress:   s.PeerAddress,
		FailureDomain: s.FailureDomain,
		State:         member.Live,
		Capacity:      s.Capacity,
	}
}
