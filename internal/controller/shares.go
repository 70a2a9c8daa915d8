package controller

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"dotterelhitch/internal/fairshare"
	"dotterelhitch/internal/quota"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// The functions below tell internal/fairshare what the teams have running and what waits, and order steps by its
// answers.

// divideCapacity returns how the teams share the capacity of the usable workers in this pass. It returns nil if the
// configuration has no teams, or while the capacity suffices for what runs and for some steps that wait.
func (c *Controller) divideCapacity(steps []*step, now time.Time) *fairshare.Division {
	if c.config.Teams == nil || len(steps) == 0 {
		return nil
	}
	// Jobs without a team share the capacity as one more team.
	teams := map[string]*teamDemand{}
	demandOf := func(name string) *teamDemand {
		if teams[name] == nil {
			teams[name] = &teamDemand{running: c.usage.Team(name), terms: c.config.Teams.ByName(name)}
		}
		return teams[name]
	}
	c.usage.EachTeam(func(name string, _ structs.Resources) { demandOf(name) })
	for _, s := range steps {
		if now.Before(s.notBefore) {
			continue
		}
		d := demandOf(s.job().spec.Team)
		// No more counts than the workers hold when they are empty, the most urgent steps first: a backlog for a
		// scarce resource would bound the shares of all resources, and sums with absurd sizes would overflow.
		tasks := s.size.FitCount(c.poolCapacity.Sub(d.waiting), int64(s.pending+s.copiesWanted))
		d.waiting = d.waiting.Add(s.size.Times(tasks))
		if d.terms == nil {
			d.terms = s.job().team
		}
	}
	out := make([]fairshare.Team, 0, len(teams))
	for name, d := range teams {
		out = append(out, d.forDivision(name))
	}
	return fairshare.Divide(c.poolCapacity, out)
}

// teamDemand is what a team has running, and what its steps that wait need. The terms are nil for jobs without a
// team.
type teamDemand struct {
	terms            *workload.Team
	running, waiting structs.Resources
}

func (d *teamDemand) forDivision(name string) fairshare.Team {
	if d.terms == nil {
		return fairshare.Team{Name: name, Demand: d.running.Add(d.waiting)}
	}
	wanted := quota.Wanted(d.terms.Quota, d.running, d.waiting)
	return fairshare.Team{Name: name, Weight: d.terms.Weight, Demand: d.running.Add(wanted)}
}

// shareFill returns how much the team of a step has in proportion to its share, zero while the capacity suffices.
func (c *Controller) shareFill(s *step) float64 {
	if c.shares == nil {
		return 0
	}
	team := s.job().spec.Team
	return c.shares.Fill(team, c.usage.Team(team))
}

// startRoom returns how many of n tasks of a step may start now under the quota of its team, beside what is left free for
// urgent classes, and within the share of the team at the turn that the pass is at. Gangs are not divided.
func (c *Controller) startRoom(s *step, n int) int {
	n = c.headroom(s, c.quotaRoom(s, n))
	if c.shares == nil || s.gang != nil {
		return n
	}
	team := s.job().spec.Team
	return c.shares.Room(team, c.usage.Team(team), s.size, c.shareTurn, n)
}

// inShareOrder calls a function with each of the steps and returns them in the order of the calls. While the
// capacity is short, the teams take turns: a step whose team has reached the fill of a turn, or reaches it with some
// of the tasks, goes on in the next one. The last turn begins with the team that has the least of its share. Inside
// a team the order is always the same.
func (c *Controller) inShareOrder(steps []*step, place func(*step)) []*step {
	if c.shares == nil {
		for _, s := range steps {
			place(s)
		}
		return steps
	}
	out := make([]*step, 0, len(steps))
	for _, turn := range fairshare.Levels {
		c.shareTurn = turn
		last := math.IsInf(turn, 1)
		if last {
			c.sortByFill(steps)
		}
		var later []*step
		for _, s := range steps {
			if !last && c.shareFill(s) >= turn {
				later = append(later, s)
				continue
			}
			place(s)
			if !last && s.gang == nil && s.pending+s.copiesWanted > 0 && c.shareFill(s) >= turn {
				later = append(later, s)
				continue
			}
			out = append(out, s)
		}
		steps = later
	}
	return out
}

// sortByFill sorts steps by how much their teams have of their shares. Steps of one team stay in order.
func (c *Controller) sortByFill(steps []*step) {
	for _, s := range steps {
		s.fill = c.shareFill(s)
	}
	slices.SortStableFunc(steps, func(a, b *step) int { return cmp.Compare(a.fill, b.fill) })
}

// shareDetail names the share that the team of a step has reached, for events.
func (c *Controller) shareDetail(s *step) string {
	team := s.job().spec.Team
	return fmt.Sprintf("team %s has its share, %.1f%% of the capacity", team, 100*c.shares.Share(team))
}
