package entry

import (
	"context"
	"testing"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// TestStartsWithoutAuthority checks that, of the starts that are sent while the entry
// has no authority, only those that were never sent before fail. The others are sent
// again.
func TestStartsWithoutAuthority(t *testing.T) {
	e := &Entry{controlQueue: make(chan func())}
	e.ctx, e.stop = context.WithCancel(t.Context())
	e.core = &core{e: e}
	t.Cleanup(e.stop)
	go func() {
		for {
			select {
			case f := <-e.controlQueue:
				f()
			case <-e.ctx.Done():
				return
			}
		}
	}()
	codes := map[structs.TaskID]structs.Code{}
	start := func(id structs.TaskID, sent bool) queuedStart {
		return queuedStart{
			task: worker.TaskStart{TaskRef: worker.TaskRef{Task: id, Attempt: 1}}, sent: sent,
			done: func(k fleet.RunKey, err error) { codes[k.Task] = structs.CodeOf(err) },
		}
	}
	a := &agent{e: e, wake: make(chan struct{}, 1)}
	a.sendStarts(t.Context(), []queuedStart{start("g:j#0", true), start("g:j#1", false)})
	if len(codes) != 1 || codes["g:j#1"] != structs.CodeNoAuthority {
		t.Fatalf("codes %v, want only the start that was never sent refused", codes)
	}
	<-a.wake
	if starts, _, _ := a.dequeueAll(); len(starts) != 1 || starts[0].task.Task != "g:j#0" {
		t.Errorf("queued again: %+v, want the start that was sent before", starts)
	}
}
