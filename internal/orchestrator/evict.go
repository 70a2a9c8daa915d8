package orchestrator

import (
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
)

// MayEvict reports whether running tasks may be stopped to make room for the order:
// its target is near. A gang waits for workers that are held for it instead.
func (o *Order) MayEvict() bool {
	return o.Job.Kind != structs.KindGang && scheduler.Urgent(o.Slack)
}

// noteSaved keeps what a run that was stopped left to the next one. A run that
// failed leaves nothing, since what it saved may be why.
func (t *task) noteSaved(r Ref, st structs.AllocState) {
	t.evictions += r.Evictions
	switch st {
	case structs.AllocStopped:
		t.checkpoint = r.Checkpoint
	case structs.AllocFailed:
		t.checkpoint = ""
	}
}
