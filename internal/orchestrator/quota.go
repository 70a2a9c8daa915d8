package orchestrator

import (
	"time"

	"dotterelhitch/internal/structs"
)

// QuotaKey identifies the jobs of one team in one group, which share a quota. One
// member decides for all of them.
type QuotaKey struct{ Group, Team string }

func (j *job) quotaKey() QuotaKey {
	return QuotaKey{Group: structs.JobGroup(j.spec.ID), Team: j.spec.Team}
}

// QuotaLookup returns the quota that the tasks of a team and group share; ok is false
// for a team without a quota.
type QuotaLookup func(QuotaKey) (limit structs.Resources, ok bool)

// quotaRetryDelay is the delay before a job that is blocked by its team's quota is
// tried again.
const quotaRetryDelay = 50 * time.Millisecond

// SetQuotaLookup sets the function that returns the teams' quotas.
func (o *Orchestrator) SetQuotaLookup(q QuotaLookup) { o.quotaLookup = q }

// QuotaUsage returns the declared size of all tasks of a team and group that may be
// running, including tasks in doubt.
func (o *Orchestrator) QuotaUsage(key QuotaKey) structs.Resources {
	o.index.applyChanges()
	return o.index.quotaUsage[key]
}

// QuotaShortages returns the resources that tasks lacked because of a used-up quota
// since the last call: for each team and group, the shortage of the job that lacks the
// most.
func (o *Orchestrator) QuotaShortages() map[QuotaKey]structs.Resources {
	out := o.quotaShortages
	o.quotaShortages = map[QuotaKey]structs.Resources{}
	return out
}

// tasksWithinQuota returns how many of at most limit tasks of the job the quota allows.
// A gang is placed as a whole or not at all, whatever the limit.
func (o *Orchestrator) tasksWithinQuota(j *job, limit int) int {
	if o.quotaLookup == nil {
		return limit
	}
	quota, ok := o.quotaLookup(j.quotaKey())
	if !ok {
		return limit
	}
	if j.spec.Kind == structs.KindGang {
		limit = j.tasksIn[pending]
	}
	limit = min(limit, j.tasksIn[pending])
	remaining := quota.Sub(o.index.quotaUsage[j.quotaKey()])
	n := fitCount(remaining, j.spec.Size)
	if n >= limit {
		return limit
	}
	o.recordShortage(j, remaining)
	if j.spec.Kind == structs.KindGang {
		return 0
	}
	return n
}

// recordShortage records the resources that the pending tasks of a job lack.
func (o *Orchestrator) recordShortage(j *job, remaining structs.Resources) {
	need := j.spec.Size.Times(int64(j.tasksIn[pending]))
	shortage := need.Sub(remaining.ClampNegative()).ClampNegative()
	key := j.quotaKey()
	if o.quotaShortages[key].CPUMilli < shortage.CPUMilli || o.quotaShortages[key].IsZero() {
		o.quotaShortages[key] = shortage
	}
}

// delayForQuota delays the next placement of a job that is blocked by its team's quota.
func (j *job) delayForQuota(now time.Time) {
	j.pendingReason = "team " + j.spec.Team + " has used up its quota"
	j.delayPlacement(quotaRetryDelay, now)
	j.markChanged()
}

// fitCount returns how many tasks of a size fit into the remaining resources.
func fitCount(remaining, size structs.Resources) int {
	return int(size.FitCount(remaining.ClampNegative(), structs.MaxTasksPerJob))
}
