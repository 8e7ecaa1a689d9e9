package quota

import (
	"math"
	"slices"
	"time"
)

// DivisionRound is the period over which the demand of entry VMs is compared.
const DivisionRound = 250 * time.Millisecond

// staleRounds is the number of rounds without a call after which the demand
// estimates are discarded.
const staleRounds = 4

// demandWeight is the weight of one round in the mean demand, which averages over
// about 2 s. Demand counts arrivals instead of waiting requests, so that the
// backlog after a takeover is not mistaken for demand above the rate.
const demandWeight = 1.0 / 8

// overloadRatio is the ratio of demand to supply above which tokens are divided
// between VMs. Below it, arrivals may exceed the supply by chance, and the oldest
// request is served first.
const overloadRatio = 1.25

// Division divides the refill of one workspace between entry VMs while demand
// exceeds it. The division is max-min fair: each VM gets what it requests up to a
// limit that is the same for all VMs and is computed from their recent demand.
type Division struct {
	start  time.Time
	rounds int
	// limit is the number of tokens that one VM may get per round.
	limit  float64
	shares map[string]*vmShare
}

type vmShare struct {
	arrived int
	// demand is the mean number of arrivals per round.
	demand float64
	// credit is the number of tokens that the VM may still get. It carries
	// fractions over to the next round, so that a limit below one token per round
	// still serves every VM.
	credit float64
}

// NewDivision returns a division without a limit.
func NewDivision(now time.Time) *Division {
	return &Division{start: now, limit: math.Inf(1), shares: map[string]*vmShare{}}
}

// RecordArrivals records that n requests arrived at vm.
func (d *Division) RecordArrivals(vm string, n int) {
	d.shareOf(vm).arrived += n
}

// Allow returns how many of the requested tokens vm may get. Supply is the refill
// rate in tokens per second.
func (d *Division) Allow(vm string, want int, supply float64, now time.Time) int {
	d.advance(supply, now)
	if math.IsInf(d.limit, 1) {
		return want
	}
	return min(want, int(d.shareOf(vm).credit))
}

// RecordIssued records that n tokens were issued to vm.
func (d *Division) RecordIssued(vm string, n int) {
	s := d.shareOf(vm)
	s.credit = max(0, s.credit-float64(n))
}

// TimeUntilCredit returns the time until vm has credit for another token.
func (d *Division) TimeUntilCredit(vm string, now time.Time) time.Duration {
	if math.IsInf(d.limit, 1) || d.shareOf(vm).credit >= 1 {
		return 0
	}
	return max(0, d.start.Add(DivisionRound).Sub(now))
}

func (d *Division) shareOf(vm string) *vmShare {
	s, ok := d.shares[vm]
	if !ok {
		s = &vmShare{credit: d.maxCredit()}
		d.shares[vm] = s
	}
	return s
}

// maxCredit returns the upper bound on a VM's credit: the limit of two rounds, and
// at least one token.
func (d *Division) maxCredit() float64 {
	if math.IsInf(d.limit, 1) {
		return 1
	}
	return max(1, 2*d.limit)
}

func (d *Division) advance(supply float64, now time.Time) {
	elapsed := now.Sub(d.start)
	if elapsed < DivisionRound {
		return
	}
	if elapsed >= staleRounds*DivisionRound {
		*d = *NewDivision(now)
		return
	}
	d.start = now
	d.rounds++
	supply *= elapsed.Seconds()
	demands, total := d.endRound()
	d.limit = math.Inf(1)
	if total > overloadRatio*supply {
		d.limit = MaxMinLimit(demands, supply)
	}
	for _, s := range d.shares {
		s.credit = min(s.credit+d.limit, d.maxCredit())
	}
}

// negligibleDemand is the mean demand, in arrivals per round, below which a VM is
// removed.
const negligibleDemand = 0.01

// endRound adds the arrivals of the round to the mean demand of each VM. It returns
// the mean demands and their sum.
func (d *Division) endRound() (each []float64, total float64) {
	weight := max(demandWeight, 1/float64(d.rounds))
	for vm, s := range d.shares {
		s.demand += weight * (float64(s.arrived) - s.demand)
		s.arrived = 0
		if s.demand < negligibleDemand {
			delete(d.shares, vm)
			continue
		}
		each = append(each, s.demand)
		total += s.demand
	}
	return each, total
}

// MaxMinLimit returns the limit at which the demands, each capped at the limit,
// add up to supply. It returns infinity when supply covers all demands. It
// reorders demands.
func MaxMinLimit(demands []float64, supply float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		equalShare := supply / float64(len(demands)-i)
		if demand > equalShare {
			return equalShare
		}
		supply -= demand
	}
	return math.Inf(1)
}
