package orchestrator

import (
	"time"

	"dotterelhitch/internal/structs"
)

// QuotaOf returns what the tasks of a team may hold together at this owner; ok is
// false for a team without a quota.
type QuotaOf func(team string) (limit structs.Resources, ok bool)

// quotaRetry is the pause of a job that waits for its team's quota.
const quotaRetry = 50 * time.Millisecond

// SetQuota sets where the teams' quotas are looked up.
func (o *Orchestrator) SetQuota(q QuotaOf) { o.quota = q }

// allowed returns how many of limit tasks of the job its team's quota leaves. Tasks
// that may run, those in doubt included, count as held by their declared size.
func (o *Orchestrator) allowed(j *job, limit int) int {
	if o.quota == nil {
		return limit
	}
	quota, ok := o.quota(j.spec.Team)
	if !ok {
		return limit
	}
	left := quota.Sub(o.attention.held[j.spec.Team])
	n := min(limit, fitting(left, j.spec.Size))
	if j.spec.Kind == structs.KindGang && n < j.count[pending] {
		return 0
	}
	return n
}

// awaitQuota puts a job off until its team may hold more.
func (j *job) awaitQuota(now time.Time) {
	j.reason = "team " + j.spec.Team + " holds all of its quota"
	j.delay(quotaRetry, now)
	j.mark()
}

// fitting returns how many tasks of a size fit into an amount.
func fitting(left, size structs.Resources) int {
	n := int64(structs.MaxTasksPerJob)
	for _, c := range [...][2]int64{
		{left.CPUMilli, size.CPUMilli},
		{left.MemoryMiB, size.MemoryMiB},
		{left.Accelerators, size.Accelerators},
	} {
		if c[1] > 0 {
			n = min(n, max(c[0], 0)/c[1])
		}
	}
	return int(n)
}
