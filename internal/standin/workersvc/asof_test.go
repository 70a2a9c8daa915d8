package workersvc

import (
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// TestLateCommandDoesNothing pins the rule of as_of_ms: a start or renewal that was
// under way for longer than its lease is refused, and a lease ends one lease after
// the reading that its renewal names, not after its arrival.
func TestLateCommandDoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(Config{Worker: structs.Worker{ID: "w1"}})
		defer w.Close()
		time.Sleep(time.Second)
		inv, err := w.Fence(worker.CommandHeader{Epoch: 1, Owner: "a"})
		if err != nil {
			t.Fatal(err)
		}
		cmd := worker.CommandHeader{Epoch: 1, Owner: "a", WorkerUptimeMs: inv.UptimeMs}
		start := func(task structs.TaskID) *structs.Error {
			out, err := w.StartTasks(worker.StartRequest{CommandHeader: cmd, Tasks: []worker.TaskStart{{
				TaskRef: worker.TaskRef{Task: task, Attempt: 1}, LeaseMs: 2000, RunMs: 60000,
			}}})
			if err != nil {
				t.Fatal(err)
			}
			return out.Results[0].Error
		}
		time.Sleep(time.Second)
		if err := start("j#0"); err != nil {
			t.Fatalf("start within the lease: %v", err)
		}
		time.Sleep(1100 * time.Millisecond)
		if err := start("j#1"); err == nil || err.Code != structs.CodeDeadline {
			t.Errorf("start after the lease: %v, want deadline", err)
		}
		if _, err := w.RenewLeases(worker.RenewRequest{CommandHeader: cmd, LeaseMs: 2000}); structs.CodeOf(err) != structs.CodeDeadline {
			t.Errorf("renewal after the lease: %v, want deadline", err)
		}
		inv, _ = w.Fence(worker.CommandHeader{Epoch: 1, Owner: "a"})
		if len(inv.Tasks) != 1 || inv.Tasks[0].State != structs.AllocStopped {
			t.Errorf("tasks %+v: want one, stopped by its lease", inv.Tasks)
		}
	})
}
