package controller

import (
	"fmt"
	"time"

	"dotterelhitch/internal/quota"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// quotaRoom returns how many of n tasks of a step may start now under the quota of the step's team. For a gang it is
// all or none.
func (c *Controller) quotaRoom(s *step, n int) int {
	team := s.job().team
	if team == nil || team.Quota.IsZero() {
		return n
	}
	name := s.job().spec.Team
	running := c.usage.Team(name).Add(c.mayHold(name).Sub(c.toleratedOverrun(team)).ClampNegative())
	if held := c.quotaHolds[name]; held.precedes(s) {
		running = running.Add(held.size)
	}
	room := quota.Room(team.Quota, running, s.size, n)
	if s.gang != nil && room < len(s.tasks) {
		return 0
	}
	return room
}

// mayHold returns what unknown runs of earlier controllers may hold of a team's quota on the workers that are not
// accounted for.
func (c *Controller) mayHold(team string) structs.Resources {
	if c.takeoverComplete {
		return structs.Resources{}
	}
	if c.heldByTeam == nil {
		c.heldByTeam = map[string]structs.Resources{}
		for _, j := range c.inheritedJobs {
			c.heldByTeam[j.spec.Team] = c.heldByTeam[j.spec.Team].Add(j.mayHold()).Min(maxHeld)
		}
		if workers, known := c.unaccountedCapacity(); known {
			for name, tasks := range c.heldByTeam {
				c.heldByTeam[name] = quota.MayHold(tasks, workers)
			}
		}
	}
	return c.heldByTeam[team]
}

// toleratedOverrun returns by how much a team may exceed its quota. The operators allow that for what the system can't
// know, so only runs of earlier controllers that no worker shows count against it.
func (c *Controller) toleratedOverrun(team *workload.Team) structs.Resources {
	share := func(amount int64) int64 { return int64(float64(amount) * c.timing.QuotaOverrun) }
	return structs.Resources{
		CPUMilli:     share(team.Quota.CPUMilli),
		MemoryMiB:    share(team.Quota.MemoryMiB),
		Accelerators: share(team.Quota.Accelerators),
	}
}

// unaccountedCapacity returns the capacity of the workers that are not accounted for. It is not known if one of them
// is not listed and was registered by an earlier program.
func (c *Controller) unaccountedCapacity() (total structs.Resources, known bool) {
	for _, w := range c.workers {
		if w.accountedFor {
			continue
		}
		capacity := w.info.Capacity.Max(w.storedCapacity)
		if capacity.IsZero() {
			return structs.Resources{}, false
		}
		total = total.Add(capacity)
	}
	return total, true
}

// maxHeld bounds sums of what may be held, so that they do not overflow with the largest possible tasks.
var maxHeld = structs.Resources{CPUMilli: 1 << 61, MemoryMiB: 1 << 61, Accelerators: 1 << 61}

// mayHold returns what the tasks of a job that an earlier controller accepted may hold beside the runs that are
// known. Tasks larger than any worker can be hold nothing.
func (j *job) mayHold() structs.Resources {
	var total structs.Resources
	if j.endedEarlier {
		// Its runs are being stopped. Of a completed job only speculative copies are left.
		occurrences := int64(min(j.spec.OccurrenceCount(), maxOpenOccurrences))
		for i := range j.spec.Steps {
			def := &j.spec.Steps[i]
			if size := def.ReservedSize(); size.Possible() && (j.state != workload.JobCompleted || def.AllowCopies) {
				total = total.Add(size.Times(int64(def.Count) * occurrences)).Min(maxHeld)
			}
		}
		return total
	}
	for _, occ := range j.open {
		for _, s := range occ.steps {
			if s.size.Possible() {
				total = total.Add(s.size.Times(s.mayBeRunningCount())).Min(maxHeld)
			}
		}
	}
	return total
}

// mayBeRunningCount returns how many unknown runs the tasks of a step may have. A task may have a copy beside a run
// that is known or has ended.
func (s *step) mayBeRunningCount() int64 {
	var n int64
	for _, t := range s.tasks {
		if t.mayBeRunning && !t.done {
			n++
		}
		if s.def.AllowCopies {
			n++
		}
	}
	return n
}

// quotaHold is the part of a team's quota that a gang waits for.
type quotaHold struct {
	step *step
	size structs.Resources
}

// precedes reports whether a step has to leave the held part of the quota to the gang. It is false for a nil hold.
func (h *quotaHold) precedes(s *step) bool { return h != nil && compareSteps(h.step, s) < 0 }

// gangQuotaHoldDelay is how long a gang waits for its quota before steps of the same team that come after it leave it
// that part of the quota. Without such a hold, tasks that are started one by one would take whatever the ends of others
// free.
const gangQuotaHoldDelay = time.Second

// holdQuota keeps the part of the quota that a gang needs from the steps of its team that come after it in this
// pass, once the gang has waited for long enough. Nothing is kept for a gang that the workers do not hold even when
// empty, since its turn would never come. No capacity of workers is kept.
func (c *Controller) holdQuota(s *step, pool []*worker, now time.Time) {
	team := s.job().team
	if team == nil || team.Quota.IsZero() {
		return
	}
	name := s.job().spec.Team
	possible := quota.Room(team.Quota, structs.Resources{}, s.size, len(s.tasks)) == len(s.tasks)
	if c.quotaHolds[name] != nil || !possible || s.quotaWaitSince.IsZero() || now.Sub(s.quotaWaitSince) < gangQuotaHoldDelay {
		return
	}
	if !s.fitsOnEmptyWorkers(pool) {
		return
	}
	c.quotaHolds[name] = &quotaHold{step: s, size: s.size.Times(int64(len(s.tasks)))}
}

// fitsOnEmptyWorkers reports whether the workers of a pool hold all tasks of a step at the same time when they are
// empty, beside those that the advisor has forbidden.
func (s *step) fitsOnEmptyWorkers(pool []*worker) bool {
	need := len(s.tasks)
	for _, w := range pool {
		if !s.matchesWorker(w) {
			continue
		}
		if v, known := s.verdict(w); known && !v.allowed {
			continue
		}
		if need -= s.maxSlots(w); need <= 0 {
			return true
		}
	}
	return false
}

// waitForQuota notes that a gang waits for the quota of its team. It reserves no capacity.
func (c *Controller) waitForQuota(s *step, pool []*worker, now time.Time) {
	s.startAt = time.Time{}
	s.waitingSince = time.Time{}
	if s.quotaWaitSince.IsZero() {
		s.quotaWaitSince = now
		c.wakeups.add(now.Add(gangQuotaHoldDelay))
	}
	c.holdQuota(s, pool, now)
}

// quotaDetail describes the quota for which a step waits, and what counts towards it, for events.
func (c *Controller) quotaDetail(s *step) string {
	j := s.job()
	running := c.usage.Team(j.spec.Team)
	text := fmt.Sprintf("team %s may have running %s; its quota is %s", j.spec.Team, running, quotaText(j.team.Quota))
	if before := c.mayHold(j.spec.Team); !before.IsZero() {
		text += fmt.Sprintf("; a former controller may have started %s more", before)
	}
	if held := c.quotaHolds[j.spec.Team]; held.precedes(s) {
		text += "; a gang of the team waits for its quota before it"
	}
	if s.gang != nil && quota.Room(j.team.Quota, structs.Resources{}, s.size, len(s.tasks)) < len(s.tasks) {
		text += "; the gang is larger than the quota"
	}
	return text
}

// quotaText formats a quota, in which a component of zero means no limit.
func quotaText(q structs.Resources) string {
	text := ""
	add := func(amount int64, unit string) {
		if amount == 0 {
			return
		}
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d %s", amount, unit)
	}
	add(q.CPUMilli, "millicores")
	add(q.MemoryMiB, "MiB")
	add(q.Accelerators, "accelerators")
	return text
}
