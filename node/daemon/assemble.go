package daemon

import (
	"net/http"
	"time"

	"github.com/galenasail/galenasail/core/config"
	"github.com/galenasail/galenasail/core/contact"
	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/lease"
	"github.com/galenasail/galenasail/core/member"
	"github.com/galenasail/galenasail/core/steer"
	"github.com/galenasail/galenasail/node"
	"github.com/galenasail/galenasail/node/baseline"
	"github.com/galenasail/galenasail/node/cell"
	"github.com/galenasail/galenasail/node/command"
	"github.com/galenasail/galenasail/node/limit"
	"github.com/galenasail/galenasail/node/mirror"
	"github.com/galenasail/galenasail/node/peer"
	"github.com/galenasail/galenasail/node/platform"
	"github.com/galenasail/galenasail/node/pool"
	"github.com/galenasail/galenasail/node/query"
	"github.com/galenasail/galenasail/node/rate"
	"github.com/galenasail/galenasail/node/roster"
	"github.com/galenasail/galenasail/node/settings"
)

// adminHeaderTimeout closes connections of operators, and of the adapter's servers, that
// send the request header too slowly.
const adminHeaderTimeout = 5 * time.Second

const (
	// adminWriteTimeout bounds the time in which a client of the same servers reads its
	// response.
	adminWriteTimeout = 30 * time.Second
	// adminIdleTimeout is how long a connection to these servers may be idle.
	adminIdleTimeout = time.Minute
)

// assemble creates the parts and connects them through their interfaces. The reader and
// the cell depend on each other; closures resolve this by reading the fields of d when
// they are called.
func (d *Daemon) assemble() {
	d.peerClient = peer.NewClient(peer.ClientConfig{Key: []byte(d.settings.SharedKey), Traffic: d.traffic})
	vms := vmClient{client: d.peerClient, partition: d.partition}
	d.reader = platform.New(platform.Config{
		Identity:        d.identity,
		Source:          d.source(),
		Fetcher:         d.fetcher(),
		Seeds:           d.settings.Seeds,
		InContact:       func(id string) bool { return d.cell.InContact(id) },
		Events:          d.recorder,
		System:          d.system,
		OnTicket:        d.onTicket,
		OnList:          func(*member.List) { d.announceList() },
		OnResponse:      func(at time.Time) { d.cell.RecordPlatformResponse(at) },
		OnConfigAge:     func(age time.Duration) { d.requestMetrics.configAge.RecordDuration(age) },
		Logger:          d.logger,
		SelfManagedList: d.selfManagedMembership(),
	})
	d.cell = cell.New(cell.Config{
		Identity:           d.identity,
		Configs:            d.reader,
		Events:             d.recorder,
		System:             d.system,
		Transport:          d.transport(),
		Load:               func() int { return int(d.handler.Running()) },
		OnHeartbeat:        d.observePeer,
		OnUnknownSender:    d.reportUnlistedVM,
		Lease:              d.leaseConfig(),
		ServeIsolated:      d.selfManagedMembership(),
		RosterDigest:       d.rosterDigest(),
		UpToDateByOwnReads: d.reader.UpToDateByOwnReads,
		IsReader:           d.reader.IsReader,
	})
	d.assembleRoster()
	d.assembleShardHolders(vms)
	d.assembleServers()
}

// announceList announces a new VM list to the peers. Self-managed membership lists are not
// announced: they spread by the exchange of rosters.
func (d *Daemon) announceList() {
	if !d.selfManagedMembership() {
		d.cell.Announce()
	}
}

// selfManagedMembership reports whether the fleet manages its VM list itself, starting from seeds.
func (d *Daemon) selfManagedMembership() bool {
	return d.settings.Membership == settings.MembershipBySeeds
}

// Timing of a fleet whose shards are held by few VMs (see settings.Settings.Seats).
const (
	// seatedLeaseTerm is the term of leases.
	seatedLeaseTerm = 900 * time.Millisecond
	// fastInterval and fastTimeout are the heartbeat timing between pairs of VMs of which
	// one holds shards or is next to do so; all other pairs use the slow timing.
	fastInterval = 250 * time.Millisecond
	fastTimeout  = 800 * time.Millisecond
	slowInterval = 3 * time.Second
	slowTimeout  = 10 * time.Second
	// seatedCellSize is the intended number of VMs of a cell. It can be large,
	// because most pairs of VMs exchange heartbeats at the slow rate. With several
	// cells each gives out only its part of the rate of a workspace, which is below one
	// token for many of them.
	seatedCellSize = 384
	// maxSeats bounds the seats of a cell: each VM exchanges fast heartbeats with the
	// holder of each seat.
	maxSeats = 8
)

// leaseConfig returns the lease configuration. In a fleet with seats, VMs that neither
// hold shards nor are next to do so exchange heartbeats at the slow rate.
func (d *Daemon) leaseConfig() lease.Config {
	c := lease.Config{DynamicQuorum: d.selfManagedMembership(), Seats: d.settings.Seats}
	if c.Seats > 0 {
		c.Term = seatedLeaseTerm
		c.MaxSeats = max(maxSeats, c.Seats)
		c.SeatDomains = d.settings.LocalDomains
		c.FastHeartbeats = lease.Timing{Interval: fastInterval, Timeout: fastTimeout}
		c.SlowHeartbeats = lease.Timing{Interval: slowInterval, Timeout: slowTimeout}
	}
	return c
}

// rosterDigest returns the function for the roster digest that heartbeats carry; nil
// without a roster.
func (d *Daemon) rosterDigest() func() uint64 {
	if !d.selfManagedMembership() {
		return nil
	}
	return func() uint64 { return d.roster.Digest() }
}

// assembleRoster creates the roster in a fleet that manages its VM list itself.
func (d *Daemon) assembleRoster() {
	if !d.selfManagedMembership() {
		return
	}
	d.roster = roster.New(roster.Config{
		Identity: d.identity,
		Seeds:    d.settings.Seeds,
		CellSize: seatedCellSize,
		Peer:     d.peerClient,
		Events:   d.recorder,
		Contacts: d.peersInContact,
		OnList:   d.reader.AdoptList,
	})
}

// reportUnlistedVM informs the roster that a VM outside the list sends heartbeats.
func (d *Daemon) reportUnlistedVM() {
	if d.roster != nil {
		d.roster.ObserveUnknownSender()
	}
}

// peersInContact returns the peers that the cell is in contact with.
func (d *Daemon) peersInContact() []roster.PeerContact {
	var out []roster.PeerContact
	for _, p := range d.cell.Peers() {
		if p.InContact {
			out = append(out, roster.PeerContact{ID: p.VM.ID, Instance: p.Instance, Leaving: p.ReportedLeaving, LastSeen: p.LastSeen})
		}
	}
	return out
}

// assembleShardHolders creates the limiter and the pool, which decide for the shards that
// this VM holds.
func (d *Daemon) assembleShardHolders(vms vmClient) {
	d.limiter = rate.New(rate.Config{
		Identity:     d.identity,
		Configs:      d.reader,
		Ownership:    d.cell,
		Peer:         vms,
		System:       d.system,
		Events:       d.recorder,
		MaxWait:      d.tokenWait(),
		TakeoverWait: d.holderWait(),
	})
	d.pool = pool.New(pool.Config{
		Identity:         d.identity,
		Configs:          d.reader,
		Contact:          d.cell,
		Ownership:        d.cell,
		Peer:             vms,
		Events:           d.recorder,
		System:           d.system,
		FleetRetryBudget: d.fleetRetryBudget(),
		LocalDomains:     d.settings.LocalDomains,
		OnLocality:       func(local bool) { d.requestMetrics.countPermit(local) },
		AnticipateLoad:   d.settings.AnticipateLoad,
		OnLoadChoice:     func(r pool.LoadChoice) { d.requestMetrics.countLoadChoice(r) },
		OverloadControl:  d.settings.OverloadControl,
	})
}

// assembleServers creates the servers for callers and operators.
func (d *Daemon) assembleServers() {
	d.requestMetrics = newRequestMetrics(d.metrics.Scope)
	cfg := command.Config{
		Identity:        d.identity,
		Configs:         d.reader,
		Contact:         d.cell,
		Limiter:         d.requestMetrics.countAdmitted(d.limiterPolicy()),
		Picker:          d.pickerPolicy(),
		PoisonMarks:     d.cell,
		IdleTargetConns: d.limits.idleTargetConns,
		Events:          d.recorder,
		Metrics:         d.requestMetrics,
		OverloadControl: d.settings.OverloadControl,
		Addresses:       d.callerAddresses(),
	}
	if a := d.adapter; a != nil {
		cfg.Dialect, cfg.VMRetryBudget, cfg.ConnsPerTarget, cfg.StartupWait = a.Dialect, a.vmRetryBudget(len(d.settings.LocalDomains)), adapterConnsPerTarget, adapterStartWait
	}
	d.handler = command.New(cfg)
	d.holderAddresses = query.NewHolderAddresses(query.HolderAddressesConfig{Identity: d.identity, Configs: d.reader, Contact: d.cell, Ownership: d.cell})
	d.callerServer = command.NewServer(command.ServerConfig{Handler: d.handler, Guard: d.guards.callers})
	d.adminServer = d.newAdminServer(query.Admin{Events: d.recorder, State: d.state, Metrics: d.metrics.Handler, Explain: d.explainer()}.Handler())
}

// callerAddresses returns the handler of address queries on the caller address; nil with an
// adapter, which has a server of its own for them, so that all paths belong to the routes.
func (d *Daemon) callerAddresses() http.Handler {
	if d.adapter != nil {
		return nil
	}
	return query.NewAddresses(query.AddressesConfig{Identity: d.identity, Configs: d.reader, Contact: d.cell})
}

// explainer returns the handler of queries that explain requests; nil with the policies of
// package baseline, whose decisions the handler cannot explain.
func (d *Daemon) explainer() http.Handler {
	if d.baseline {
		return nil
	}
	return query.NewExplainer(query.ExplainerConfig{
		Identity:  d.identity,
		Configs:   d.reader,
		Admission: d.handler,
		Rate:      d.limiter,
		Placement: d.pool,
	})
}

// newAdminServer returns a server for operators, or for readiness checks and address queries
// of the adapter.
func (d *Daemon) newAdminServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           limit.Requests(h),
		ReadHeaderTimeout: adminHeaderTimeout,
		ReadTimeout:       adminHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
		IdleTimeout:       adminIdleTimeout,
		MaxHeaderBytes:    command.MaxHeaderBytes,
		ConnContext:       limit.WithConn,
	}
	d.guards.admin.Protect(s)
	return s
}

// storeOutage returns how long, to this VM's knowledge, the store has answered no VM of
// the fleet, and whether another VM that holds shards is known: its heartbeats would
// report a response of the store.
func (d *Daemon) storeOutage() (outage time.Duration, othersKnown bool) {
	others := steer.Holders(d.cell.Holder, func(vm member.VM) bool { return vm.ID != d.identity.VM.ID })
	return d.cell.PlatformAge(), len(others) > 0
}

// source returns the source of the configuration: the adapter's store, or the platform
// service.
func (d *Daemon) source() platform.Source {
	var source platform.Source = platform.NewHTTP(d.settings.PlatformURL, d.settings.ID, nil)
	if d.adapter != nil {
		source = mirror.New(d.adapter.StoreClient, d.adapter.Domains, d.fleetKnown(), d.logger)
	}
	if d.partition == nil {
		return source
	}
	return partitionedSource{source, d.partition}
}

func (d *Daemon) fetcher() platform.PeerFetcher {
	if d.partition == nil {
		return quarantineFetcher{d.peerClient, d}
	}
	return quarantineFetcher{partitionedFetcher{d.peerClient, d}, d}
}

func (d *Daemon) transport() cell.Transport {
	if d.partition == nil {
		return d.udp
	}
	return partitionedTransport{d.udp, d.partition}
}

func (d *Daemon) limiterPolicy() node.Limiter {
	if d.baseline {
		return baseline.NewLimiter(d.reader)
	}
	return d.limiter
}

func (d *Daemon) pickerPolicy() node.Picker {
	if d.baseline {
		return baseline.NewPicker(d.reader)
	}
	return d.pool
}

// onTicket announces a new ticket to the peers immediately: to all of them, or, when it
// came from a peer in a fleet with self-managed membership, to those in this failure
// domain.
func (d *Daemon) onTicket(s *document.Snapshot, fromPlatform bool) {
	d.recorder.SetTicket(s.Ticket())
	d.storeEpochs.observe(s.Ticket())
	if fromPlatform || !d.selfManagedMembership() {
		d.cell.Announce()
		return
	}
	d.cell.AnnounceInDomain()
}

// observePeer passes the configuration state that a peer reports to the reader, and to
// the roster where there is one.
func (d *Daemon) observePeer(r cell.PeerReport) {
	version := r.ListVersion
	if d.roster != nil {
		d.roster.ObserveDigest(r.VM, r.ListVersion)
		version = 0
	}
	d.reader.ReceiveReport(r.VM.ID, config.Report{
		Ticket:        r.Ticket,
		Digest:        r.Digest,
		ListVersion:   version,
		PlatformKnown: r.PlatformAge < contact.PlatformAgeMax,
		PlatformAge:   r.PlatformAge,
		ReadKnown:     r.ReadAge > 0,
		ReadAge:       r.ReadAge,
	})
}
