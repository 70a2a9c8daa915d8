package controller

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// usedBy returns what a team has running on all workers, those that can't be reached included.
func (sim *simulation) usedBy(team string) structs.Resources {
	var sum structs.Resources
	for _, f := range sim.workers {
		for _, r := range f.runs {
			if sim.jobs[r.id.Task.Job].Team == team {
				sum = sum.Add(r.step.ReservedSize())
			}
		}
	}
	return sum
}

func placedKey(task string, number int64) string { return fmt.Sprintf("%s#%d", task, number) }

// placedQuota is the quota that the start of a placed run may use.
type placedQuota struct {
	team  string
	quota structs.Resources
}

// noteQuota remembers the quota under which a run is placed. The run may start after the quota was changed.
func (sim *simulation) noteQuota(e event.Event) {
	if sim.config.Teams == nil {
		return
	}
	name := sim.jobs[e.Job].Team
	if team := sim.config.Teams.ByName(name); team != nil {
		sim.quotaWhenPlaced[placedKey(string(e.Task), int64(e.Attempt))] = placedQuota{team: name, quota: team.Quota}
	}
}

// noteRaisedQuotas raises the quotas of placed runs to those that are in force now: until they start, runs that were
// placed later may have taken up what a higher quota allows.
func (sim *simulation) noteRaisedQuotas() {
	for key, placed := range sim.quotaWhenPlaced {
		team := sim.config.Teams.ByName(placed.team)
		if team == nil {
			continue
		}
		placed.quota = structs.Resources{
			CPUMilli:  higherQuota(placed.quota.CPUMilli, team.Quota.CPUMilli),
			MemoryMiB: higherQuota(placed.quota.MemoryMiB, team.Quota.MemoryMiB),
		}
		sim.quotaWhenPlaced[key] = placed
	}
}

// higherQuota returns the higher of two quotas of a resource. Zero is no quota.
func higherQuota(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// checkQuota checks that a start brings its team above its quota only where that is allowed.
func (sim *simulation) checkQuota(s *Start, step *workload.Step) {
	placed, ok := sim.quotaWhenPlaced[placedKey(s.Run.Task.String(), s.Run.Number)]
	if !ok {
		return
	}
	quota := placed.quota
	sim.quotaChecks++
	team := sim.jobs[s.Run.Task.Job].Team
	used, size := sim.usedBy(team), step.ReservedSize()
	var tolerated structs.Resources
	if sim.toleratesOverrun {
		tolerated = quota.DividedBy(10).Add(size)
	}
	over := func(quota, tolerated, used, size int64) bool {
		return quota > 0 && size > 0 && used+size > quota+tolerated
	}
	if !used.IsZero() && (over(quota.CPUMilli, tolerated.CPUMilli, used.CPUMilli, size.CPUMilli) ||
		over(quota.MemoryMiB, tolerated.MemoryMiB, used.MemoryMiB, size.MemoryMiB)) {
		sim.violation("%s starts while team %s has %v running, quota %v", s.Run, team, used, quota)
	}
}
