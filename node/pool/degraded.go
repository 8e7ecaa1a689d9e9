package pool

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenasail/galenasail/core/document"
	"github.com/galenasail/galenasail/core/target"
	"github.com/galenasail/galenasail/node"
)

// outcomeUnused is the outcome of a permit that was not used.
const outcomeUnused = node.OutcomeUnused

// acquireDegraded returns a permit without asking a holder, for a group without
// an exclusive one. It uses the power of two choices among the last known warm
// targets of the group, with at most one request of this VM per target. It
// returns nil when no target qualifies, and for a repeat that a holder would
// have to count: it waits until the group has one.
func (p *Pool) acquireDegraded(c *groupClient, q *acquireRequest) *permitUse {
	counted := p.config.FleetRetryBudget != (target.FleetRetryBudget{}) && q.Service.Placement == document.ByHealthEstimate
	if counted && (q.Retry || q.Hedge) {
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	t, ok := p.pickDegraded(c, q)
	if !ok {
		return nil
	}
	p.entry.lastDegradedID++
	p.entry.degradedInUse[degradedKey(c, t.ID)]++
	pt := &permit{
		client:   c,
		id:       p.entry.lastDegradedID,
		target:   t,
		degraded: true,
		deadline: now.Add(q.MaxDuration + target.HoldSlack),
	}
	c.held[pt.id] = pt
	return &permitUse{permit: pt}
}

// pickDegraded selects the target of a permit of degraded mode: the one that
// was used less recently of two random candidates. A permit that this VM still
// holds from the last holder counts as its one request to the target. The
// caller holds c.mu and p.entry.mu.
func (p *Pool) pickDegraded(c *groupClient, q *acquireRequest) (document.Target, bool) {
	var candidates []document.Target
	l := p.currentLayout()
	for _, id := range p.degradedCandidates(l, c) {
		t, ok := l.usableTarget(c.service, c.name, id)
		if ok && !q.avoids(id) && p.entry.degradedInUse[degradedKey(c, id)] == 0 && !c.inUse(id) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return document.Target{}, false
	}
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	if c.lastUse[b.ID].Before(c.lastUse[a.ID]) {
		a = b
	}
	if c.lastUse == nil {
		c.lastUse = map[string]time.Time{}
	}
	c.lastUse[a.ID] = time.Now()
	return a, true
}

// degradedCandidates returns the IDs of the targets that may be used without a
// holder: where targets are placed by health estimate, all targets without a
// configured cold start time; otherwise the last known warm targets.
func (p *Pool) degradedCandidates(l *layout, c *groupClient) []string {
	v := l.Groups[c.name]
	if v == nil || v.Service.Placement != document.ByHealthEstimate {
		return c.warm
	}
	var ids []string
	for _, t := range v.Group.Targets {
		if t.ColdMs == 0 {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// inUse reports whether this VM has a permit for the target in use; idle
// permits do not count. The caller holds c.mu.
func (c *groupClient) inUse(id string) bool {
	for _, pt := range c.held {
		if pt.target.ID == id && !slices.Contains(c.idle, pt) {
			return true
		}
	}
	return false
}

// degradedKey is the key of a target in entry.degradedInUse.
func degradedKey(c *groupClient, id string) string {
	return c.service + "/" + id
}

// endDegraded ends a permit of degraded mode.
func (p *Pool) endDegraded(pt *permit) {
	p.entry.mu.Lock()
	defer p.entry.mu.Unlock()
	key := degradedKey(pt.client, pt.target.ID)
	p.entry.degradedInUse[key]--
	if p.entry.degradedInUse[key] <= 0 {
		delete(p.entry.degradedInUse, key)
	}
}
