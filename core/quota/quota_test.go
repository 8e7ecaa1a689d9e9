package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// defects are deliberate faults in the model that the check must detect.
type defects struct {
	startFull, lifetimeFromReceipt, fullDepth, grantTwice bool
}

// The lease of the model is short, so that holders change often. The margin is
// the minimum time by which a grantor keeps a grant longer than the holder relies
// on it.
const (
	modelLease  = 150 * time.Millisecond
	modelMargin = 20 * time.Millisecond
)

// model simulates holders and entry VMs that use tokens as unfavourably as the
// protocol allows. Any holder may claim shares at any time; grantors follow the
// protocol.
type model struct {
	rng     *rand.Rand
	defects defects
	tickets bool
	// delayUse postpones all uses until just before the deadline of a batch with
	// more than minBatch tokens. maxWant bounds the tokens requested at once.
	delayUse          bool
	minBatch, maxWant int
	claimants         [2]int
	now               time.Time
	reserved          float64
	limits            []limitChange
	shares            []memberShare
	holders           []*modelHolder
	caches            []*Cache
	uses              []time.Time
	inTransit         []delivery
}

type limitChange struct {
	at    time.Time
	limit Limit
}

// memberShare is the share of one member: until when each holder relies on it,
// and until when the grantor keeps the last grant.
type memberShare struct {
	holder          int
	rememberedUntil time.Time
	usableUntil     [3]time.Time
}

type modelHolder struct {
	history   FractionHistory
	bucket    *Bucket
	lastIssue time.Time
	epoch     uint64
	// pending is a lease state that was read before a pause.
	pending *leaseRead
}

// delivery is a response in transit.
type delivery struct {
	at time.Time
	to int
	in Response
}

type leaseRead struct {
	before time.Time
	grants Grants
}

func (m *model) grant(p, to int) {
	s := &m.shares[p]
	if s.holder != to && m.now.Before(s.rememberedUntil) && !m.defects.grantTwice {
		return
	}
	s.holder, s.rememberedUntil = to, m.now.Add(modelLease+modelMargin)
	s.usableUntil[to] = m.now.Add(modelLease)
}

func (m *model) read(h int) {
	o := m.holders[h]
	g := Grants{Members: len(m.shares)}
	for _, s := range m.shares {
		if m.now.Before(s.usableUntil[h]) {
			g.Count++
		}
	}
	if g.Count == 0 {
		o.epoch++
	}
	g.Exclusive, g.Epoch = g.Count >= (5*g.Members+7)/8, o.epoch
	o.pending = &leaseRead{m.now, g}
}

// issue ends the pause of a holder: the holder observes the lease state that it
// read before and issues tokens that an entry VM requested at the time of that
// read.
func (m *model) issue(h, to, want int) {
	o := m.holders[h]
	r := o.pending
	if o.pending = nil; r.grants.Count == 0 {
		o.history.MarkLost()
		return
	}
	f := r.grants.Fraction(m.reserved)
	if m.defects.startFull && (!o.history.Held() || o.history.epoch != r.grants.Epoch) {
		o.history = FractionHistory{}
		for ago := 3 * time.Second; ago > 0; ago -= MaxGap / 2 {
			o.history.Observe(r.before.Add(-ago), r.before.Add(-ago), r.grants.Epoch, f)
		}
	}
	o.history.Observe(r.before, m.now, r.grants.Epoch, f)
	limit := m.limits[len(m.limits)-1].limit
	if m.defects.fullDepth {
		limit.Burst += limit.Rate * limit.BucketParams().Lifetime.Seconds()
	}
	if o.bucket == nil {
		o.bucket = NewBucket(&o.history, limit)
	}
	o.bucket.Advance(&o.history, limit)
	in := Response{Want: want, Issued: o.bucket.Take(want), Sent: r.before, Lifetime: o.bucket.Lifetime()}
	delay := time.Duration(m.rng.IntN(200)*m.rng.IntN(2)) * time.Millisecond
	m.inTransit = append(m.inTransit, delivery{m.now.Add(delay), to, in})
	if in.Issued > 0 {
		o.lastIssue = m.now
	}
	if m.now.Sub(o.lastIssue) > MaxLifetime && o.bucket.CanDrop(&o.history) {
		o.bucket = nil
	}
}

// deliver passes the responses that are due to the entry VMs.
func (m *model) deliver() {
	m.inTransit = slices.DeleteFunc(m.inTransit, func(d delivery) bool {
		if m.now.Before(d.at) {
			return false
		}
		if m.defects.lifetimeFromReceipt {
			d.in.Sent = m.now
		}
		m.caches[d.to].Receive(d.in, m.now)
		return true
	})
}

func (m *model) useAll() {
	for _, c := range m.caches {
		for c.HasToken(m.now) {
			c.Take(m.now)
			m.uses = append(m.uses, m.now)
		}
	}
}

// step advances time by up to 10 ms, the period of a holder's tick.
func (m *model) step() {
	m.now = m.now.Add(time.Duration(1+m.rng.IntN(10)) * time.Millisecond)
	if m.rng.IntN(250) == 0 {
		m.claimants = [2]int{m.rng.IntN(len(m.holders)), m.rng.IntN(len(m.holders))}
	}
	for p := range m.shares {
		if m.rng.IntN(5) == 0 {
			m.grant(p, m.claimants[m.rng.IntN(2)])
		}
	}
	if m.rng.IntN(150) == 0 {
		m.delayUse = m.rng.IntN(2) == 0
		m.maxWant = m.rng.IntN(2) * 200
		m.minBatch = m.rng.IntN(2) * 10
	}
	for h, o := range m.holders {
		paused := o.pending != nil
		if !paused {
			m.read(h)
		}
		if m.rng.IntN(200) > 0 && (!paused || m.rng.IntN(20) == 0) {
			m.issue(h, m.rng.IntN(len(m.caches)), m.rng.IntN(m.maxWant+1))
		}
	}
	m.deliver()
	due := func(b batch) bool { return b.count > m.minBatch && b.Deadline.Sub(m.now) < 10*time.Millisecond }
	if !m.delayUse || slices.ContainsFunc(m.caches, func(c *Cache) bool { return slices.ContainsFunc(c.batches, due) }) {
		m.useAll()
	}
	if m.tickets && m.rng.IntN(100) == 0 {
		factor := 0.2 + 2*m.rng.Float64()
		m.limits = append(m.limits, limitChange{m.now, Limit{m.limits[0].limit.Rate * factor, max(1, m.limits[0].limit.Burst*factor)}})
		for h := range m.holders { // all holders apply the ticket on their ticks
			m.read(h)
			m.issue(h, 0, 0)
		}
	}
}

// excess returns the largest number of uses above burst + rate × window over all
// windows. For a token's lifetime after a ticket, the larger of the old and new
// bursts applies.
func (m *model) excess() float64 {
	worst := 0.0
	for i, from := range m.uses {
		for j := i; j < len(m.uses); j++ {
			to, burst, sum := m.uses[j], 0.0, 0.0
			for k, c := range m.limits {
				end := to.Add(time.Hour)
				if k+1 < len(m.limits) {
					end = m.limits[k+1].at
				}
				if !c.at.After(to) && from.Before(end.Add(MaxLifetime)) {
					burst = max(burst, c.limit.Burst)
					sum += max(0, min(end.Sub(from), to.Sub(from))-max(0, c.at.Sub(from))).Seconds() * c.limit.Rate
				}
			}
			worst = max(worst, float64(j-i+1)-burst-sum)
		}
	}
	return worst
}

func runModel(seed uint64, reserved float64, members int, l Limit, d defects, tickets bool) float64 {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), defects: d, tickets: tickets, now: time.Unix(1000, 0), reserved: reserved}
	m.limits = []limitChange{{m.now, l}}
	m.shares = make([]memberShare, members)
	for range len(memberShare{}.usableUntil) {
		m.holders = append(m.holders, &modelHolder{})
		m.caches = append(m.caches, &Cache{})
	}
	for range 2000 {
		m.step()
	}
	return m.excess()
}

// Guards against a window with more than burst + rate × window uses while shares
// move between holders, holders act on outdated lease reads, tokens arrive late
// and are used late, and tickets change the limits.
// To replay: go test ./quota -run Uses -rapid.seed=N
func TestUsesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		reserved := rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "reserved")
		members := rapid.SampledFrom([]int{1, 4, 16}).Draw(t, "members")
		rate := rapid.SampledFrom([]float64{3, 40, 120}).Draw(t, "rate")
		burst := rapid.SampledFrom([]float64{1, 1.5, 2, 9, 60, 150}).Draw(t, "burst")
		if e := runModel(seed, reserved, members, Limit{rate, burst}, defects{}, rapid.Bool().Draw(t, "tickets")); e > 1e-6 {
			t.Fatalf("uses exceed burst + rate × window by %.6f, want at most 1e-6", e)
		}
	})
}

// Guards against a bucket that is dropped too early, so that a later ticket gives
// its replacement a depth to which the dropped one had not refilled. These seeds
// reproduce the failure.
func TestTicketAfterDrop(t *testing.T) {
	for seed, burst := range map[uint64]float64{439: 1, 743: 1, 887: 2} {
		if e := runModel(seed, 0.25, 1, Limit{3, burst}, defects{}, true); e > 1e-6 {
			t.Errorf("seed %d: uses exceed burst + rate × window by %.6f, want at most 1e-6", seed, e)
		}
	}
}

// Guards against a check that cannot fail: with each defect, some run must exceed
// the limit.
func TestDefectsExceedLimit(t *testing.T) {
	for name, d := range map[string]defects{
		"new holder starts full":               {startFull: true},
		"lifetime counted from receipt":        {lifetimeFromReceipt: true},
		"depth not reduced by rate × lifetime": {fullDepth: true},
		"share granted twice":                  {grantTwice: true},
	} {
		seed, worst := uint64(0), 0.0
		for ; seed < 1000 && worst <= 1e-6; seed++ {
			worst = runModel(seed, 1, 4, Limit{40, 60}, d, false)
		}
		t.Logf("%s: exceeds the limit by %.2f after %d runs", name, worst, seed)
		if worst <= 1e-6 {
			t.Errorf("%s: defect not detected in 1000 runs", name)
		}
	}
}

// Guards against a VM with high demand that takes tokens from VMs with low
// demand, and against a division that leaves tokens unused.
func TestDivisionIsMaxMinFair(t *testing.T) {
	now := time.Unix(1000, 0)
	d, got := NewDivision(now), map[string]int{}
	demand := map[string]int{"small": 1, "medium": 4, "large": 40, "larger": 80}
	for round := range 200 {
		now = now.Add(DivisionRound)
		for vm, n := range demand {
			d.RecordArrivals(vm, n)
			given := d.Allow(vm, n, 20*float64(time.Second/DivisionRound), now)
			d.RecordIssued(vm, given)
			if round >= 100 {
				got[vm] += given
			}
		}
	}
	// With 20 tokens per round, the demands of 1 and 4 are met, and 7.5 tokens
	// remain for each of the other two VMs.
	if got["small"] != 100 || got["medium"] != 400 || got["large"] < 740 || got["larger"] > 760 {
		t.Fatalf("tokens in 100 rounds: got %v, want small 100, medium 400, large and larger about 750", got)
	}
}

// Guards against refusals of a small workspace within its limit: without the slack its
// bucket held one token, and the second of two requests sent at once got none.
func TestWindowAdmitsSmallBurst(t *testing.T) {
	w := Window{Length: 5 * time.Second, Overage: 0.25, Slack: 20}
	for _, l := range []Limit{{Rate: 1, Burst: 1}, {Rate: 4, Burst: 4}} {
		if depth := w.Limit(l).BucketParams().Depth; depth < 4 {
			t.Errorf("limit %+v: a full bucket holds %.1f tokens, want at least 4", l, depth)
		}
	}
}

// Guards against a bucket for a windowed limit that allows more than half of the
// tolerance, and against one that refuses what the window allows.
func TestWindowedLimitStaysWithinItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: rapid.Float64Range(1, 500).Draw(t, "rate"), Burst: rapid.Float64Range(1, 1000).Draw(t, "burst")}
		w := Window{Length: 5 * time.Second, Overage: 0.25, Slack: rapid.Float64Range(0, 40).Draw(t, "slack")}
		allowed := l.Rate*w.Length.Seconds() + l.Burst
		got := w.Limit(l)
		most := got.Rate*w.Length.Seconds() + got.Burst
		if most > allowed+(allowed*w.Overage+w.Slack)/2+1 {
			t.Fatalf("%+v allows %.0f requests per window, limit of the window is %.0f", got, most, allowed)
		}
		if sustained := got.Rate * w.Length.Seconds(); sustained < allowed*0.999 {
			t.Fatalf("%+v sustains %.0f requests per window, want %.0f", got, sustained, allowed)
		}
	})
}

// Guards against figures for operators that count expired tokens, differ from the tokens
// that can be taken, or change what they describe.
func TestReportedTokensCanBeTaken(t *testing.T) {
	now := time.Unix(1000, 0)
	var c Cache
	c.Receive(Response{Batch: 1, Want: 2, Issued: 2, Sent: now, Lifetime: 50 * time.Millisecond}, now)
	c.Receive(Response{Batch: 2, Want: 3, Issued: 3, Sent: now, Lifetime: time.Second}, now)
	before := c.Totals()
	if early, late := c.Usable(now), c.Usable(now.Add(60*time.Millisecond)); early != 5 || late != 3 || c.Totals() != before || c.Available() != 5 {
		t.Errorf("%d tokens, then %d, want 5 and 3; cache %+v", early, late, c)
	}
	var h FractionHistory
	l := Limit{Rate: 100, Burst: 40}
	b := NewBucket(&h, l)
	for i := range 10 {
		at := now.Add(time.Duration(i) * MaxGap)
		h.Observe(at, at, 1, 1)
		announced, unchanged := b.LevelAt(&h, l), *b
		if announced != b.LevelAt(&h, l) || *b != unchanged {
			t.Fatal("reading the level changed the bucket")
		}
		if b.Advance(&h, l); b.Level() != announced {
			t.Fatalf("level %v, announced %v", b.Level(), announced)
		}
	}
}
