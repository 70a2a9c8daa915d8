package entry

import (
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// lateClasses tells what of a class is late, and what will be.
func lateClasses(w scheduler.LateTasks) []structs.MissedTarget {
	var out []structs.MissedTarget
	if w.Missed > 0 {
		out = append(out, structs.MissedTarget{Class: w.Class, AffectedCount: w.Missed, Reason: "tasks wait past their target"})
	}
	if w.ExpectedMisses > 0 {
		out = append(out, structs.MissedTarget{
			Class:         w.Class,
			AffectedCount: w.ExpectedMisses,
			Reason:        "tasks will start after their target at the present rate of starts",
		})
	}
	return out
}

// status is this entry's view of itself.
func (c *core) status(now time.Time) structs.EntryStatus {
	group, _ := c.table.GroupOfMember(c.self())
	s := structs.EntryStatus{
		Member:         c.e.member,
		Epoch:          c.table.Epoch(),
		Group:          group.Name,
		ConfigVersion:  c.control.ConfigVersion(),
		HasAuthority:   c.mayGrant(now),
		Draining:       c.draining,
		LogAgeMs:       now.Sub(c.controlRead).Milliseconds(),
		JobsOwned:      c.jobs.Len(),
		QueuedTasks:    c.jobs.PendingTasks(),
		QueuedRequests: c.e.traffic.queued(),
	}
	for _, w := range c.fleet.Workers() {
		s.Workers = append(s.Workers, c.workerStatus(w.Info.ID, now))
	}
	for _, late := range c.jobs.LateWork(now) {
		s.MissedTargets = append(s.MissedTargets, lateClasses(late)...)
	}
	for code, detail := range c.alarms {
		s.Alarms = append(s.Alarms, string(code)+": "+detail)
	}
	return s
}

// workerStatus is what this entry knows of an owned worker.
func (c *core) workerStatus(id string, now time.Time) structs.WorkerStatus {
	w := c.fleet.Worker(id)
	n := c.fleet.Nodes().Node(id)
	return structs.WorkerStatus{
		Worker:               w.Info,
		Owner:                c.self(),
		Used:                 n.Used(),
		SlotsUsed:            n.SlotsUsed(),
		Tasks:                n.TaskCount(),
		InventoryRead:        w.InventoryKnown,
		Reachable:            w.Reachable(now, 2*c.e.timing.Renew),
		Leaving:              c.isLeaving(id),
		Probation:            n.HasFlags(scheduler.FlagProbation),
		FormerOwnerMayAssign: n.HasFlags(scheduler.FlagFormerOwner),
	}
}
