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

// divideCapacity returns how the teams share the capacity of the usable workers in this pass. It returns nil if the
// configuration has no teams, or while the capacity suffices for what runs and what waits.
func (c *Controller) divideCapacity(steps []*step, now time.Time) *fairshare.Division {
	if c.config.Teams == nil || len(steps) == 0 {
		return nil
	}
	// Jobs without a team share the capacity as one more team.
	teams := map[string]*teamDemand{}
	demandOf := func(name string) *teamDemand {
		if teams[name] == nil {
			teams[name] = &teamDemand{running: c.usage.Team(name), team: c.config.Teams.ByName(name)}
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
		if d.team == nil {
			d.team = s.job().team
		}
	}
	out := make([]fairshare.Team, 0, len(teams))
	for name, d := range teams {
		out = append(out, d.forDivision(name))
	}
	return fairshare.Divide(c.poolCapacity, out)
}

// teamDemand is what a team has running, and what its waiting steps need. The team is nil for jobs without one.
type teamDemand struct {
	team             *workload.Team
	running, waiting structs.Resources
}

// forDivision returns the team as input of a division. What its quota forbids is not part of the demand.
func (d *teamDemand) forDivision(name string) fairshare.Team {
	if d.team == nil {
		return fairshare.Team{Name: name, Demand: d.running.Add(d.waiting)}
	}
	wanted := quota.Wanted(d.team.Quota, d.running, d.waiting)
	return fairshare.Team{Name: name, Weight: d.team.Weight, Demand: d.running.Add(wanted)}
}

// shareUtilization returns the part of its share that the team of a step uses, zero while the capacity suffices.
func (c *Controller) shareUtilization(s *step) float64 {
	if c.shares == nil {
		return 0
	}
	team := s.job().spec.Team
	return c.shares.Utilization(team, c.usage.Team(team))
}

// startRoom returns how many of n tasks of a step may start now under the quota of its team, beside the capacity that
// is left free for urgent classes, and within the limit on its team's share in the current round. The limit does not
// split gangs.
func (c *Controller) startRoom(s *step, n int) int {
	n = c.headroom(s, c.quotaRoom(s, n))
	if c.shares == nil || s.gang != nil {
		return n
	}
	team := s.job().spec.Team
	return c.shares.Room(team, c.usage.Team(team), s.size, c.shareLimit, n)
}

// inShareOrder calls a function with each of the steps and returns them in the order of the calls. While the
// capacity is short, it makes one round for each of fairshare.RoundLimits: a step whose team has reached the limit, or
// reaches it with some of the tasks, is left to the next round. The last round begins with the team that uses the
// smallest part of its share. The order of the steps of one team never changes.
func (c *Controller) inShareOrder(steps []*step, place func(*step)) []*step {
	if c.shares == nil {
		for _, s := range steps {
			place(s)
		}
		return steps
	}
	out := make([]*step, 0, len(steps))
	for _, limit := range fairshare.RoundLimits {
		c.shareLimit = limit
		last := math.IsInf(limit, 1)
		if last {
			c.sortByUtilization(steps)
		}
		var later []*step
		for _, s := range steps {
			if !last && c.shareUtilization(s) >= limit {
				later = append(later, s)
				continue
			}
			place(s)
			if !last && s.gang == nil && s.pending+s.copiesWanted > 0 && c.shareUtilization(s) >= limit {
				later = append(later, s)
				continue
			}
			out = append(out, s)
		}
		steps = later
	}
	return out
}

// sortByUtilization sorts steps by the parts of their shares that their teams use. Steps of one team stay in order.
func (c *Controller) sortByUtilization(steps []*step) {
	for _, s := range steps {
		s.shareUtilization = c.shareUtilization(s)
	}
	slices.SortStableFunc(steps, func(a, b *step) int { return cmp.Compare(a.shareUtilization, b.shareUtilization) })
}

// shareDetail describes the share that the team of a step has reached, for events.
func (c *Controller) shareDetail(s *step) string {
	team := s.job().spec.Team
	return fmt.Sprintf("team %s has its share, %.1f%% of the capacity", team, 100*c.shares.Share(team))
}
