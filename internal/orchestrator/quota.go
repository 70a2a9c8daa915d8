package orchestrator

import (
	"time"

	"dotterelhitch/internal/structs"
)

// QuotaKey are the jobs of one team in one group. One member decides for all of them.
type QuotaKey struct{ Group, Team string }

func (j *job) series() QuotaKey {
	return QuotaKey{Group: structs.JobGroup(j.spec.ID), Team: j.spec.Team}
}

// QuotaLookup returns what the tasks of a series may hold together; ok is false for a team
// without a quota.
type QuotaLookup func(QuotaKey) (limit structs.Resources, ok bool)

// quotaRetry is the pause of a job that waits for its team's quota.
const quotaRetry = 50 * time.Millisecond

// SetQuotaLookup sets where the teams' quotas are looked up.
func (o *Orchestrator) SetQuotaLookup(q QuotaLookup) { o.quota = q }

// QuotaUsage returns what the tasks of a series that may run, those in doubt included, hold
// by their declared size.
func (o *Orchestrator) QuotaUsage(s QuotaKey) structs.Resources {
	o.attention.settleChanges()
	return o.attention.held[s]
}

// QuotaShortages returns what tasks waited for since the last call because a quota was used
// up, by series: the need of the job that lacks the most.
func (o *Orchestrator) QuotaShortages() map[QuotaKey]structs.Resources {
	out := o.short
	o.short = map[QuotaKey]structs.Resources{}
	return out
}

// allowed returns how many of limit tasks of the job its series may place. A gang
// counts whole, whatever the limit.
func (o *Orchestrator) allowed(j *job, limit int) int {
	if o.quota == nil {
		return limit
	}
	quota, ok := o.quota(j.series())
	if !ok {
		return limit
	}
	if j.spec.Kind == structs.KindGang {
		limit = j.count[pending]
	}
	limit = min(limit, j.count[pending])
	left := quota.Sub(o.attention.held[j.series()])
	n := fitting(left, j.spec.Size)
	if n >= limit {
		return limit
	}
	o.noteShort(j, left)
	if j.spec.Kind == structs.KindGang {
		return 0
	}
	return n
}

// noteShort notes what the pending tasks of a job lack.
func (o *Orchestrator) noteShort(j *job, left structs.Resources) {
	need := j.spec.Size.Times(int64(j.count[pending]))
	lack := need.Sub(left.ClampNegative()).ClampNegative()
	s := j.series()
	if o.short[s].CPUMilli < lack.CPUMilli || o.short[s].IsZero() {
		o.short[s] = lack
	}
}

// awaitQuota puts a job off until its team may hold more.
func (j *job) awaitQuota(now time.Time) {
	j.reason = "team " + j.spec.Team + " holds all of its quota"
	j.delay(quotaRetry, now)
	j.mark()
}

// fitting returns how many tasks of a size fit into an amount.
func fitting(left, size structs.Resources) int {
	return int(size.FitCount(left.ClampNegative(), structs.MaxTasksPerJob))
}
