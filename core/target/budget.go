package target

import "github.com/galenasail/galenasail/core/document"

// EjectableSlots returns, for each group, the slots that may be ejected or cold
// without dropping the service below its floor. Open reports whether a target may get
// requests. The result depends only on the service document and the open targets, so
// all holders compute the same one without communicating.
func EjectableSlots(v *document.Service, groups []Group, open func(document.Target) bool) []int {
	total, available := 0, 0
	for _, t := range v.Targets {
		total += t.Slots
		if open(t) {
			available += t.Slots
		}
	}
	floor := (total*v.FloorPercent + 99) / 100
	return distribute(available-floor, groups, open)
}

// distribute gives the slots of whole targets to the groups in turn, at most budget
// slots in all. With a high floor a proportional division would give each group less
// than the slots of one target, and no group could eject any.
func distribute(budget int, groups []Group, open func(document.Target) bool) []int {
	shares := make([]int, len(groups))
	for round := 0; budget > 0; round++ {
		assigned := false
		for i, g := range groups {
			size, ok := openSlots(g, round, open)
			if !ok || size > budget {
				continue
			}
			shares[i] += size
			budget -= size
			assigned = true
		}
		if !assigned {
			return shares
		}
	}
	return shares
}

// openSlots returns the slots of the n-th largest open target of g, counted from 0.
func openSlots(g Group, n int, open func(document.Target) bool) (slots int, ok bool) {
	var sizes []int
	for _, t := range g.Targets {
		if open(t) {
			sizes = append(sizes, t.Slots)
		}
	}
	if n >= len(sizes) {
		return 0, false
	}
	sortDescending(sizes)
	return sizes[n], true
}
