// Package document defines the configuration documents that the platform
// publishes, validates them, and builds an immutable Snapshot from them.
//
// A ticket is a numbered change that replaces or removes documents. The index
// lists, for each document, the ticket that last changed it and its digest. A
// Snapshot is built from the complete set of documents or not at all.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// IndexEntry describes one document of the index.
type IndexEntry struct {
	// Name is services/…, workspaces/…, routes/… or domains, where … is not empty.
	Name string `json:"name"`
	// Ticket is the ticket that last changed the document.
	Ticket uint64 `json:"ticket"`
	// Digest is the SHA-256 of the document's bytes in hexadecimal.
	Digest string `json:"digest"`
}

// Key returns the key under which the platform stores the content of the document.
func (e IndexEntry) Key() string {
	return fmt.Sprintf("documents/%s@%d", e.Name, e.Ticket)
}

// Index lists the documents in effect at a ticket.
type Index struct {
	// Ticket is the number of the newest ticket.
	Ticket uint64 `json:"ticket"`
	// ConfigVersion is the operator's version of the configuration, which only rises; 0
	// when there is none. It is independent of the ticket: a store that returns from an
	// older copy has an older version under a new ticket.
	ConfigVersion uint64 `json:"configVersion,omitempty"`
	// Unverified is true while the documents may hold entries of an older copy of the
	// store, because the VM that built them did not know what the fleet had in force
	// before the store returned from that copy.
	Unverified bool `json:"unverified,omitempty"`
	// Documents lists all documents in effect.
	Documents []IndexEntry `json:"documents"`
}

// TargetState is the configured state of a target.
type TargetState string

// The states of a target in a document.
const (
	// Active means that the target may receive requests.
	Active TargetState = "active"
	// Draining means that the target is being removed and receives no new requests.
	Draining TargetState = "draining"
)

// Target is one back end of a service.
type Target struct {
	// ID is unique in the service.
	ID string `json:"id"`
	// Address is host:port.
	Address string `json:"address"`
	// FailureDomain is the name of the target's failure domain.
	FailureDomain string `json:"failureDomain"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `json:"slots"`
	// State is active or draining.
	State TargetState `json:"state"`
	// Process distinguishes processes with the same ID; empty when the ID suffices.
	Process string `json:"process,omitempty"`
	// ColdMs is the announced duration of the target's cold start, in milliseconds
	// from the time at which the document is applied.
	ColdMs int `json:"coldMs,omitempty"`
}

// Placement selects the algorithm with which the holder of a target group chooses
// targets.
type Placement string

// The placement algorithms.
const (
	// ByOutlierDetection spreads the load evenly and ejects outliers temporarily. It
	// suits services whose targets are mostly healthy. It is the default.
	ByOutlierDetection Placement = ""
	// ByHealthEstimate chooses a target for each request by the estimated
	// probability that the target is gray. It suits services where episodes of gray
	// failure are the normal state.
	ByHealthEstimate Placement = "belief"
)

// Service is a set of interchangeable targets.
type Service struct {
	// Kind is "service".
	Kind string `json:"kind"`
	// Name is unique in the configuration.
	Name string `json:"service"`
	// FloorPercent is the share of the service's slots that ejection must leave,
	// 0 to 100.
	FloorPercent int `json:"floorPercent"`
	// ColdSlots is the number of concurrent requests that a cold target can handle.
	ColdSlots int `json:"coldSlots"`
	// ColdRampMs is the time in which a cold target ramps up to its full number of
	// slots, in milliseconds.
	ColdRampMs int `json:"coldRampMs"`
	// ConnectionsPerTarget is the maximum number of connections from all VMs to one
	// target.
	ConnectionsPerTarget int `json:"connectionsPerTarget"`
	// Placement is the algorithm that chooses targets.
	Placement Placement `json:"placement,omitempty"`
	// GroupSize is the usual number of targets in a group; 0 means the default.
	GroupSize int `json:"groupSize,omitempty"`
	// GroupByDomain makes groups of targets of the same failure domain, for fleets whose
	// requests stay in the failure domain of their VM.
	GroupByDomain bool `json:"groupByDomain,omitempty"`
	// ColdPerSecond is the maximum number of requests per second to a cold target; 0
	// means that only the slots limit it.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
	// Targets lists the back ends.
	Targets []Target `json:"targets"`
}

// Workspace is one customer.
type Workspace struct {
	// ID is unique in the configuration.
	ID string `json:"id"`
	// KeyDigests holds the SHA-256 of each valid key in hexadecimal.
	KeyDigests []string `json:"keyDigests"`
	// RatePerSecond is the fleet-wide rate in requests per second.
	RatePerSecond float64 `json:"ratePerSecond"`
	// Burst is the fleet-wide burst in requests.
	Burst float64 `json:"burst"`
	// Priority ranks the workspace; 0 is served first. It takes precedence over the
	// priority of a route.
	Priority int `json:"priority,omitempty"`
}

// Workspaces is a document that lists workspaces.
type Workspaces struct {
	// Kind is "workspaces".
	Kind string `json:"kind"`
	// Workspaces lists the customers.
	Workspaces []Workspace `json:"workspaces"`
}

// Route maps requests to a service.
type Route struct {
	// ID is unique in the configuration.
	ID string `json:"id"`
	// PathPrefix matches the start of the path, byte by byte, as callers send it: an escaped
	// character is not decoded. It begins with a slash.
	PathPrefix string `json:"pathPrefix"`
	// Methods lists the methods; empty means all.
	Methods []string `json:"methods"`
	// Host is the host name that a request must have; empty means all.
	Host string `json:"host,omitempty"`
	// Service names the service that handles the requests.
	Service string `json:"service"`
	// Split, if not empty, replaces Service: it distributes the requests among
	// services by weight. Service then names one of these services.
	Split []WeightedService `json:"split,omitempty"`
	// Open permits requests without a workspace key.
	Open bool `json:"open"`
	// Idempotent states whether requests are idempotent; absent means that the HTTP
	// method decides.
	Idempotent *bool `json:"idempotent,omitempty"`
	// TimeoutMs is the maximum time until the deadline of a request, in
	// milliseconds.
	TimeoutMs int `json:"timeoutMs"`
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxAttempts is the maximum number of targets that one request is sent to; 0
	// means the default.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Priority ranks the route; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// ObjectiveMs is the latency objective of an answer, in milliseconds; 0 means
	// none.
	ObjectiveMs int `json:"objectiveMs,omitempty"`
	// Workspaces lists the workspaces that may use the route; empty means all.
	Workspaces []string `json:"workspaces"`
	// Unavailable, if not empty, is the reason for which requests of the route are
	// refused as not run. Only ID, Host, PathPrefix, Methods, Open and Workspaces have a
	// meaning then.
	Unavailable string `json:"unavailable,omitempty"`
}

// WeightedService is one part of a split.
type WeightedService struct {
	// Service names the service.
	Service string `json:"service"`
	// Weight is the share of the requests, relative to the sum of all weights.
	Weight float64 `json:"weight"`
}

// Routes is a document that lists routes.
type Routes struct {
	// Kind is "routes".
	Kind string `json:"kind"`
	// Routes lists the routes.
	Routes []Route `json:"routes"`
	// Excluded lists the entries of the operator's configuration that are not served.
	Excluded []Exclusion `json:"excluded,omitempty"`
}

// DomainState is the configured state of a failure domain.
type DomainState string

// The states of a failure domain.
const (
	// DomainIn means that the failure domain is in service.
	DomainIn DomainState = "in"
	// DomainOut means that the failure domain receives no new work.
	DomainOut DomainState = "out"
)

// FailureDomain is one failure domain.
type FailureDomain struct {
	// Name is unique in the configuration.
	Name string `json:"name"`
	// State is in or out.
	State DomainState `json:"state"`
}

// Domains is the document that lists the failure domains.
type Domains struct {
	// Kind is "domains".
	Kind string `json:"kind"`
	// Domains lists the failure domains.
	Domains []FailureDomain `json:"domains"`
}

// Digest returns the SHA-256 of raw in hexadecimal.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// KeyDigest returns the digest of a workspace key as documents hold it.
func KeyDigest(key string) string {
	return Digest([]byte(key))
}

// decode reads one JSON value into v. It refuses unknown fields, so that a
// misspelt field is reported instead of ignored, and trailing data.
func decode(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return fmt.Errorf("trailing data after the JSON value")
	}
	return nil
}

// decodeProblem returns the field on which decode failed, if the error names one,
// and the reason.
func decodeProblem(err error) (field, reason string) {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Field, fmt.Sprintf("got a JSON %s, want %s", wrongType.Value, wrongType.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return strings.Trim(name, `"`), "unknown field"
	}
	return "", err.Error()
}

// ParseIndex decodes and validates an index. On failure it returns a
// *ValidationError.
func ParseIndex(raw []byte) (*Index, error) {
	var ix Index
	if err := decode(raw, &ix); err != nil {
		field, reason := decodeProblem(err)
		return nil, &ValidationError{Document: "index", Field: field, Reason: reason}
	}
	seen := make(map[string]bool, len(ix.Documents))
	for i, e := range ix.Documents {
		field := fmt.Sprintf("documents[%d]", i)
		if !isDocumentName(e.Name) {
			return nil, &ValidationError{Ticket: ix.Ticket, Document: "index", Field: field, Reason: fmt.Sprintf("unknown document name %q", e.Name)}
		}
		if seen[e.Name] {
			return nil, &ValidationError{Ticket: ix.Ticket, Document: "index", Field: field, Reason: fmt.Sprintf("duplicate document %q", e.Name)}
		}
		if e.Ticket == 0 || e.Ticket > ix.Ticket {
			return nil, &ValidationError{Ticket: ix.Ticket, Document: "index", Field: field, Reason: fmt.Sprintf("ticket %d is not in 1..%d", e.Ticket, ix.Ticket)}
		}
		seen[e.Name] = true
	}
	return &ix, nil
}

func isDocumentName(name string) bool {
	if name == "domains" {
		return true
	}
	for _, prefix := range []string{"services/", "workspaces/", "routes/"} {
		if strings.HasPrefix(name, prefix) && len(name) > len(prefix) {
			return true
		}
	}
	return false
}

// ValidationError describes an error in a document.
type ValidationError struct {
	// Ticket is the number of the ticket under validation; 0 when it is not known.
	Ticket uint64
	// Document is the name of the document.
	Document string
	// Field is the path of the invalid field; empty if the error concerns the whole
	// document.
	Field string
	// Reason describes the error.
	Reason string
}

// Error returns a message with ticket, document, field and reason.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("ticket %d, document %s, field %q: %s", e.Ticket, e.Document, e.Field, e.Reason)
}
