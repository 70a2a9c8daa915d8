package orchestrator

import (
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// MayEvict reports whether running tasks may be stopped to make room for the order:
// its target is near. A gang waits for workers that are held for it instead.
func (o *PlacementRequest) MayEvict() bool {
	return o.Job.Kind != structs.KindGang && scheduler.IsUrgent(o.Slack)
}

// killedForMemory reports whether the run was killed since its grant of memory did not
// do. That is no failure of the work or of the worker.
func (r TaskRun) killedForMemory(st structs.AllocState) bool {
	return st == structs.AllocFailed && r.MinMemoryMiB > 0
}

// maxMemoryKills is the number of kills for memory of a task that do not count as
// failures. The grant grows with each, so that more say that it fits nowhere.
const maxMemoryKills = 8

func (t *task) noteKill(r TaskRun, st structs.AllocState) {
	if r.killedForMemory(st) {
		t.kills++
	}
}

// excused reports whether a failed run counts neither against the job nor the worker.
func (t *task) excused(r TaskRun, st structs.AllocState) bool {
	return r.killedForMemory(st) && t.kills <= maxMemoryKills
}

// join reports whether a task may go out with the order: it takes the bound of the
// first one, so that all of them are granted alike. A gang takes the highest.
func (o *PlacementRequest) join(t *task) bool {
	if len(o.Tasks) == 0 || o.Job.Kind == structs.KindGang {
		o.MinMemoryMiB = max(o.MinMemoryMiB, t.leastMemory)
	}
	return o.Job.Kind == structs.KindGang || o.MinMemoryMiB == t.leastMemory
}

// noteSaved keeps what a run that was stopped left to the next one. A run that
// failed leaves nothing, since what it saved may be why, unless it was killed for
// memory.
func (t *task) noteSaved(r TaskRun, st structs.AllocState) {
	t.evictions += r.Evictions
	t.leastMemory = max(t.leastMemory, r.MinMemoryMiB)
	switch {
	case st == structs.AllocStopped:
		t.checkpoint = r.Checkpoint
	case st == structs.AllocFailed && !r.killedForMemory(st):
		t.checkpoint = ""
	}
}
