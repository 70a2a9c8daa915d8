package entry

import (
	"context"
	"testing"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// TestStartsWithoutAuthority checks that of starts that come up while the entry has no
// authority only those that were never sent are answered as not made.
func TestStartsWithoutAuthority(t *testing.T) {
	e := &Entry{control: make(chan func())}
	e.ctx, e.stop = context.WithCancel(t.Context())
	e.core = &core{e: e}
	t.Cleanup(e.stop)
	go func() {
		for {
			select {
			case f := <-e.control:
				f()
			case <-e.ctx.Done():
				return
			}
		}
	}()
	answers := map[structs.TaskID]structs.Code{}
	job := func(id structs.TaskID, sent bool) startJob {
		return startJob{
			task: worker.TaskStart{TaskRef: worker.TaskRef{Task: id, Attempt: 1}}, sent: sent,
			done: func(k fleet.RunKey, err error) { answers[k.Task] = structs.CodeOf(err) },
		}
	}
	a := &agent{e: e, wake: make(chan struct{}, 1)}
	a.sendStarts(t.Context(), []startJob{job("g:j#0", true), job("g:j#1", false)})
	if len(answers) != 1 || answers["g:j#1"] != structs.CodeNoAuthority {
		t.Fatalf("answers %v, want the start that was never sent refused", answers)
	}
	<-a.wake
	if starts, _, _ := a.take(); len(starts) != 1 || starts[0].task.Task != "g:j#0" {
		t.Errorf("to be sent again: %+v", starts)
	}
}
