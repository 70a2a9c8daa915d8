// Package quota splits a team's limit in the cell into shares that the owners of
// workers may use without asking for each placement. The sum of shares never passes
// the limit. It does no I/O and starts no goroutine.
package quota

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/structs"
)

// Demand is what one owner holds for a team and what waits there.
type Demand struct {
	Owner string
	// Used is what the team's tasks on the owner's workers hold.
	Used structs.Resources
	// Waiting is what the team's queued tasks ask for.
	Waiting structs.Resources
}

// Share is the part of a team's limit that an owner may use.
type Share struct {
	Owner string
	Limit structs.Resources
}

// Split divides a limit over owners, each component by itself: first what is used,
// then what waits, in equal parts with none above its demand (max-min fairness,
// Bertsekas and Gallager, "Data Networks", 1992), then the rest evenly. If more is
// used than the limit, the parts of what is used shrink in the same way. The result
// is ordered by owner and does not depend on the order of demands.
func Split(limit structs.Resources, demands []Demand) []Share {
	demands = slices.Clone(demands)
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Owner, b.Owner) })
	shares := make([]Share, len(demands))
	for i, d := range demands {
		shares[i].Owner = d.Owner
	}
	for _, c := range components {
		amounts := splitComponent(*c(&limit), demands, c)
		for i := range shares {
			*c(&shares[i].Limit) = amounts[i]
		}
	}
	return shares
}

// component selects one component of an amount.
type component func(*structs.Resources) *int64

var components = []component{
	func(r *structs.Resources) *int64 { return &r.CPUMilli },
	func(r *structs.Resources) *int64 { return &r.MemoryMiB },
	func(r *structs.Resources) *int64 { return &r.Accelerators },
}

// splitComponent divides one component.
func splitComponent(limit int64, demands []Demand, c component) []int64 {
	used := make([]int64, len(demands))
	waiting := make([]int64, len(demands))
	for i := range demands {
		used[i] = max(*c(&demands[i].Used), 0)
		waiting[i] = max(*c(&demands[i].Waiting), 0)
	}
	rest := max(limit, 0)
	shares, rest := fairParts(rest, used)
	more, rest := fairParts(rest, waiting)
	for i := range shares {
		shares[i] += more[i]
	}
	spread(rest, shares)
	return shares
}

// fairParts divides an amount by max-min fairness and returns what is left over.
func fairParts(amount int64, wants []int64) (parts []int64, rest int64) {
	parts = make([]int64, len(wants))
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wants[a], wants[b]) })
	for n, i := range order {
		even := amount / int64(len(order)-n)
		parts[i] = min(wants[i], even)
		amount -= parts[i]
	}
	return parts, amount
}

// spread adds an amount evenly.
func spread(amount int64, shares []int64) {
	for i := range shares {
		part := amount / int64(len(shares)-i)
		shares[i] += part
		amount -= part
	}
}
