package member

import (
	"cmp"
	"fmt"
	"slices"
)

// DefaultCellSize is the default target size of a cell in VMs. At 48 VMs the full mesh of
// heartbeats uses 15.9 KB/s of a VM's budget of 19 KB/s.
const DefaultCellSize = 48

// CellCount returns the number of cells of DefaultCellSize for n VMs, at least 1.
func CellCount(n int) int {
	return cellCount(n, DefaultCellSize)
}

// cellCount returns the number of cells of the given target size for n VMs, at least 1.
func cellCount(n, size int) int {
	return max(1, (n+size/2)/size)
}

// Cells returns the number of cells into which the VMs of l are divided.
func (l *List) Cells() int {
	if l != nil && l.CellSize > 0 {
		return cellCount(l.Len(), l.CellSize)
	}
	return CellCount(l.Len())
}

// CellKey returns the rendezvous key of a cell.
func CellKey(cell int) string {
	return fmt.Sprintf("cell/%d", cell)
}

// CellOf returns the cell of a workspace, target group or VM name among count cells.
// Rendezvous hashing over the cells moves about 1/count of the names when a cell is added.
func CellOf(name string, count int) int {
	return bestCell(name, cellKeys(count))
}

// RankCells returns all cells in rendezvous order for a service. Its target groups are
// assigned to the cells round-robin in this order, so that each cell gets about the same
// number.
func RankCells(service string, count int) []int {
	weights := make([]uint64, count)
	cells := make([]int, count)
	for cell := range cells {
		cells[cell] = cell
		weights[cell] = Weight(CellKey(cell), service)
	}
	slices.SortFunc(cells, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return cells
}

// cellKeys returns the rendezvous keys of count cells.
func cellKeys(count int) []string {
	keys := make([]string, count)
	for cell := range keys {
		keys[cell] = CellKey(cell)
	}
	return keys
}

// bestCell returns the index of the key with the highest rendezvous weight for name.
func bestCell(name string, keys []string) int {
	best, bestWeight := 0, uint64(0)
	for cell, key := range keys {
		if w := Weight(key, name); cell == 0 || w > bestWeight {
			best, bestWeight = cell, w
		}
	}
	return best
}

// CellMembers returns the members of l in the same cell as the VM id, as a list with the same
// version. With one cell it returns l itself.
func CellMembers(l *List, id string) *List {
	count := l.Cells()
	if count == 1 {
		return l
	}
	keys := cellKeys(count)
	own := bestCell(id, keys)
	sub := &List{Version: l.Version, CellSize: l.CellSize}
	if l.CellSize > 0 {
		sub.fleetLen = l.FleetLen()
	}
	for _, vm := range l.VMs {
		if bestCell(vm.ID, keys) == own {
			sub.VMs = append(sub.VMs, vm)
		}
	}
	return sub
}
