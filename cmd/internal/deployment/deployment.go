// Package deployment describes the deployments of the two users at their current sizes,
// on loopback addresses, for the demo, the benchmarks and the examples.
package deployment

import (
	"fmt"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/member"
)

// ServiceSpec describes one service.
type ServiceSpec struct {
	// Name is the name of the service.
	Name string
	// Targets is the number of targets.
	Targets int
	// Slots is the number of requests that each target runs at the same time.
	Slots int
	// Connections is the number of connections that one target accepts from all VMs
	// together.
	Connections int
}

// Deployment describes the fleet of one user.
type Deployment struct {
	// Name is the name of the deployment.
	Name string
	// Domains lists the names of the failure domains.
	Domains []string
	// Services lists the services.
	Services []ServiceSpec
	// Workspaces lists the workspaces.
	Workspaces []WorkspaceSpec
}

// WorkspaceSpec describes one workspace.
type WorkspaceSpec struct {
	// ID is the identifier of the workspace.
	ID string
	// Rate is the admitted rate over the whole fleet, in requests per second.
	Rate float64
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64
}

// Key returns the key of the workspace in plain text.
func (w WorkspaceSpec) Key() string {
	return "key-of-" + w.ID
}

// CabelloDigno returns the deployment of Cabello Digno Guatemala.
func CabelloDigno() Deployment {
	return Deployment{
		Name:    "cabello-digno",
		Domains: []string{"gt-central-a", "gt-central-b", "gt-central-c", "gt-central-d"},
		Services: []ServiceSpec{
			{Name: "citas", Targets: 20, Slots: 3, Connections: 400},
			{Name: "entregas", Targets: 16, Slots: 3, Connections: 400},
		},
		Workspaces: eightWorkspaces("clinic"),
	}
}

// PrairieBeacon returns the deployment of Prairie Beacon Hire Cooperative.
func PrairieBeacon() Deployment {
	return Deployment{
		Name:    "prairie-beacon",
		Domains: []string{"calgary-a", "regina-b", "saskatoon-c"},
		Services: []ServiceSpec{
			{Name: "rental-desk", Targets: 20, Slots: 2, Connections: 350},
			{Name: "ledger", Targets: 12, Slots: 2, Connections: 350},
		},
		Workspaces: eightWorkspaces("outfitter"),
	}
}

// eightWorkspaces returns eight workspaces, two of which have a high rate.
func eightWorkspaces(prefix string) []WorkspaceSpec {
	rates := []float64{200, 150, 40, 40, 20, 20, 10, 10}
	out := make([]WorkspaceSpec, 0, len(rates))
	for i, rate := range rates {
		out = append(out, WorkspaceSpec{ID: fmt.Sprintf("%s-%d", prefix, i+1), Rate: rate, Burst: 2 * rate})
	}
	return out
}

// Ports contains the first port of each kind of address. VM or target number i, counted
// from 0, uses the first port plus i.
type Ports struct {
	// Caller is the first port for callers.
	Caller int
	// Peer is the first port for peer VMs.
	Peer int
	// Admin is the first port for operators.
	Admin int
	// Target is the first port of targets.
	Target int
}

// DefaultPorts returns ports below the ephemeral port range of Linux, so that outgoing
// connections do not occupy them.
func DefaultPorts() Ports {
	return Ports{Caller: 9001, Peer: 9201, Admin: 9401, Target: 9601}
}

func loopbackAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// VMList returns a list of n VMs, assigned to the failure domains in turn.
func (d Deployment) VMList(n int, p Ports) *member.List {
	l := &member.List{Version: 1}
	for i := 0; i < n; i++ {
		l.VMs = append(l.VMs, member.VM{
			ID:            fmt.Sprintf("vm-%02d", i+1),
			Address:       loopbackAddress(p.Caller + i),
			PeerAddress:   loopbackAddress(p.Peer + i),
			FailureDomain: d.Domains[i%len(d.Domains)],
			State:         member.Live,
		})
	}
	return l
}

// Settings of the example services and routes.
const (
	floorPercent = 60
	coldSlots    = 1
	coldRampMs   = 5000
	timeoutMs    = 10000
	maxBodyBytes = 1 << 20
)

// ServiceDocument returns the document of service number i.
func (d Deployment) ServiceDocument(i int, p Ports) document.Service {
	size := d.Services[i]
	first := p.Target
	for _, earlier := range d.Services[:i] {
		first += earlier.Targets
	}
	s := document.Service{
		Kind: "service", Name: size.Name, FloorPercent: floorPercent,
		ColdSlots: coldSlots, ColdRampMs: coldRampMs, ConnectionsPerTarget: size.Connections,
	}
	for t := 0; t < size.Targets; t++ {
		s.Targets = append(s.Targets, document.Target{
			ID:            fmt.Sprintf("%s-%02d", size.Name, t+1),
			Address:       loopbackAddress(first + t),
			FailureDomain: d.Domains[t%len(d.Domains)],
			Slots:         size.Slots,
			State:         document.Active,
		})
	}
	return s
}

// WorkspacesDocument returns the document of all workspaces.
func (d Deployment) WorkspacesDocument() document.Workspaces {
	doc := document.Workspaces{Kind: "workspaces"}
	for _, w := range d.Workspaces {
		doc.Workspaces = append(doc.Workspaces, document.Workspace{
			ID: w.ID, KeyDigests: []string{document.KeyDigest(w.Key())}, RatePerSecond: w.Rate, Burst: w.Burst,
		})
	}
	return doc
}

// RoutesDocument returns a document with one route per service, whose path prefix is
// the name of the service.
func (d Deployment) RoutesDocument() document.Routes {
	doc := document.Routes{Kind: "routes"}
	for _, s := range d.Services {
		doc.Routes = append(doc.Routes, document.Route{
			ID: s.Name, PathPrefix: "/" + s.Name + "/", Service: s.Name,
			TimeoutMs: timeoutMs, MaxBodyBytes: maxBodyBytes,
			Methods: []string{}, Workspaces: []string{},
		})
	}
	return doc
}

// DomainsDocument returns the document of all failure domains. Those listed in out have
// the state out, so they get no new work.
func (d Deployment) DomainsDocument(out ...string) document.Domains {
	doc := document.Domains{Kind: "domains"}
	for _, name := range d.Domains {
		state := document.DomainIn
		for _, o := range out {
			if o == name {
				state = document.DomainOut
			}
		}
		doc.Domains = append(doc.Domains, document.FailureDomain{Name: name, State: state})
	}
	return doc
}

// NamedDocument is a configuration document and its name.
type NamedDocument struct {
	// Name is the name of the document in the index.
	Name string
	// Document is the value to publish; nil removes the document.
	Document any
}

// Documents returns the documents of the complete configuration.
func (d Deployment) Documents(p Ports) []NamedDocument {
	docs := []NamedDocument{
		{Name: "domains", Document: d.DomainsDocument()},
		{Name: "workspaces/all", Document: d.WorkspacesDocument()},
		{Name: "routes/all", Document: d.RoutesDocument()},
	}
	for i, s := range d.Services {
		docs = append(docs, NamedDocument{Name: "services/" + s.Name, Document: d.ServiceDocument(i, p)})
	}
	return docs
}

// AdminAddress returns the admin address of VM number i.
func (p Ports) AdminAddress(i int) string {
	return loopbackAddress(p.Admin + i)
}
