package orchestrator

import (
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// MayEvict reports whether running tasks may be evicted for the request: its target is
// near. A gang never evicts; workers are reserved for it instead.
func (req *PlacementRequest) MayEvict() bool {
	return req.Job.Kind != structs.KindGang && scheduler.IsUrgent(req.Slack)
}

// killedForMemory reports whether the run was killed because its memory grant was too
// small. This is a failure neither of the job nor of the worker.
func (r TaskRun) killedForMemory(st structs.AllocState) bool {
	return st == structs.AllocFailed && r.MinMemoryMiB > 0
}

// maxMemoryKills is the number of memory kills of a task that do not count as failures.
// The grant grows with each kill, so a task that is killed more often fits on no
// worker.
const maxMemoryKills = 8

// countMemoryKill counts the end of a run if the run was killed for memory.
func (t *task) countMemoryKill(r TaskRun, st structs.AllocState) {
	if r.killedForMemory(st) {
		t.memoryKills++
	}
}

// uncountedFailure reports whether a failed run counts against neither the job nor the
// worker.
func (t *task) uncountedFailure(r TaskRun, st structs.AllocState) bool {
	return r.killedForMemory(st) && t.memoryKills <= maxMemoryKills
}

// tryInclude reports whether a task may be added to the request. All tasks of a request
// are granted the same memory, so a task is added only if its minimum equals that of
// the first one. A gang includes every task and requests the highest minimum.
func (req *PlacementRequest) tryInclude(t *task) bool {
	if len(req.Tasks) == 0 || req.Job.Kind == structs.KindGang {
		req.MinMemoryMiB = max(req.MinMemoryMiB, t.minMemoryMiB)
	}
	return req.Job.Kind == structs.KindGang || req.MinMemoryMiB == t.minMemoryMiB
}

// carryOver records what the next run inherits from this one. The checkpoint of a
// failed run is discarded, because it may be the cause of the failure, unless the run
// was killed for memory.
func (t *task) carryOver(r TaskRun, st structs.AllocState) {
	t.evictions += r.Evictions
	t.minMemoryMiB = max(t.minMemoryMiB, r.MinMemoryMiB)
	switch {
	case st == structs.AllocStopped:
		t.checkpoint = r.Checkpoint
	case st == structs.AllocFailed && !r.killedForMemory(st):
		t.checkpoint = ""
	}
}
