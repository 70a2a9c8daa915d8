// Package fairshare divides the capacity of the workers among teams by weighted max-min fairness. It has no state:
// a division follows from what the teams have running and what they want at one time.
//
// A team's share is a part of the resource of which it wants the largest part (its dominant resource). All teams
// rise together in proportion to their weights; a team that wants less gets what it wants and leaves the rest to
// the others, until the first resource is used up.
package fairshare

import (
	"cmp"
	"math"
	"slices"

	"dotterelhitch/internal/structs"
)

// Team is the input of a division for one team.
type Team struct {
	Name string
	// Weight is the team's part relative to the weights of the others. Zero counts as 1, since a configuration
	// without weights means equal teams.
	Weight float64
	// Demand is what the team has running and what it could start besides.
	Demand structs.Resources
}

// Division is how teams share a capacity that does not suffice for all their demands.
type Division struct {
	capacity structs.Resources
	shares   map[string]float64
}

// usablePercent is the part of the capacity that is divided. Tasks do not utilization workers exactly: with tasks of a
// sixth to a third of a worker, about half of the smaller ones' size stays free on each, so that capacity is short
// before all of it is in use.
const usablePercent = 90

// Divide divides a capacity among teams. It returns nil if the capacity suffices for all demands.
func Divide(capacity structs.Resources, teams []Team) *Division {
	usable := capacity.Times(usablePercent).DividedBy(100)
	var total structs.Resources
	for i := range teams {
		total = total.Add(teams[i].Demand)
	}
	if total.Fits(usable) {
		return nil
	}
	d := &Division{capacity: capacity, shares: make(map[string]float64, len(teams))}
	wants := make([]want, 0, len(teams))
	for i := range teams {
		t := &teams[i]
		if part := dominantPart(t.Demand, capacity); part > 0 {
			wants = append(wants, want{team: t, weight: weightOf(t), part: part})
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(a.level(), b.level()), cmp.Compare(a.team.Name, b.team.Name))
	})
	level := min(
		levelAt(wants, float64(usable.CPUMilli), func(r structs.Resources) int64 { return r.CPUMilli }),
		levelAt(wants, float64(usable.MemoryMiB), func(r structs.Resources) int64 { return r.MemoryMiB }),
		levelAt(wants, float64(usable.Accelerators), func(r structs.Resources) int64 { return r.Accelerators }),
	)
	for _, w := range wants {
		d.shares[w.team.Name] = min(w.part, w.weight*level)
	}
	return d
}

// want is a team's demand. part is the part that it wants of its dominant resource.
type want struct {
	team         *Team
	weight, part float64
}

// level is the part per weight at which the team's demand is met.
func (w want) level() float64 { return w.part / w.weight }

// weightOf returns the team's weight, 1 if it is not set.
func weightOf(t *Team) float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// levelAt returns the part per weight at which teams, sorted by their levels, use up an amount of one resource. The
// result is at least the highest level of any team if the amount suffices for all. A resource of which there is none
// bounds no level: a demand for it can't be met whatever the shares are.
func levelAt(wants []want, amount float64, of func(structs.Resources) int64) float64 {
	if amount <= 0 {
		return math.Inf(1)
	}
	// rising[i] is what the teams from the i-th one on use of the resource per level. It is summed up from the end,
	// since the difference of two sums is lost to rounding where weights differ by many orders of magnitude.
	rising := make([]float64, len(wants)+1)
	for i := len(wants) - 1; i >= 0; i-- {
		rising[i] = rising[i+1] + float64(of(wants[i].team.Demand))/wants[i].level()
	}
	satisfied := 0.0
	highest := 0.0
	for i, w := range wants {
		highest = w.level()
		if rising[i] > 0 && satisfied+rising[i]*highest > amount {
			return max(amount-satisfied, 0) / rising[i]
		}
		satisfied += float64(of(w.team.Demand))
	}
	return highest
}

// dominantPart returns the largest part that an amount is of the capacity in any resource.
func dominantPart(amount, capacity structs.Resources) float64 {
	part := 0.0
	for _, c := range [...]struct{ amount, capacity int64 }{
		{amount.CPUMilli, capacity.CPUMilli},
		{amount.MemoryMiB, capacity.MemoryMiB},
		{amount.Accelerators, capacity.Accelerators},
	} {
		if c.capacity > 0 {
			part = max(part, float64(c.amount)/float64(c.capacity))
		}
	}
	return part
}

// Share returns the part of its dominant resource that a team may have, zero for a team without a demand.
func (d *Division) Share(team string) float64 { return d.shares[team] }

// RoundLimits are the utilizations of their shares up to which teams may start tasks in the rounds of a pass. The first
// round divides the part of the capacity that is certainly usable, the second the whole capacity, and the third has no
// limit.
var RoundLimits = [...]float64{1, 100.0 / usablePercent, math.Inf(1)}

// Room returns how many tasks of a size, at most limit, a team that has some amount running may start until it reaches
// a utilization of its share. The last of these tasks may exceed it.
func (d *Division) Room(team string, running, size structs.Resources, utilization float64, limit int) int {
	each := dominantPart(size, d.capacity)
	if math.IsInf(utilization, 1) || each == 0 {
		return limit
	}
	left := d.shares[team]*utilization - dominantPart(running, d.capacity)
	return int(min(max(math.Ceil(left/each), 0), float64(limit)))
}

// Utilization returns the part of its share that a team with some amount running uses: 1 or more if it has reached its
// share, infinite if it has no share.
func (d *Division) Utilization(team string, running structs.Resources) float64 {
	part := dominantPart(running, d.capacity)
	if part == 0 {
		return 0
	}
	return part / d.shares[team]
}
