package fleet

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/sizing"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

var sizingStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func batchClass(string) (structs.Class, bool) {
	return structs.Class{Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Hour)}}, true
}

// learningFleet owns a worker of 4 cores and 8,000 MiB whose inventory was read.
func learningFleet(inv worker.Inventory) *Fleet {
	f := New(Timing{Lease: 6 * time.Second, UnreachableAfter: time.Hour})
	f.SetLearning(true)
	f.AddWorker(structs.Worker{ID: "w-1", Size: structs.Resources{CPUMilli: 4000, MemoryMiB: 8000}}, 1, sizingStart)
	inv.Full = true
	f.ApplyInventory("w-1", inv, true, sizingStart, sizingStart)
	return f
}

// place asks for tasks of 2 cores and 4,000 MiB.
func (f *Fleet) placeBig(from, n int, least int64) []*Alloc {
	r := TaskRequest{
		Placement:    scheduler.PlacementRequest{Job: "g:j", Class: "c", Kind: structs.KindBatch},
		DeclaredSize: structs.Resources{CPUMilli: 2000, MemoryMiB: 4000},
		MinMemoryMiB: least,
	}
	for i := range n {
		r.Placement.Tasks = append(r.Placement.Tasks, scheduler.TaskRef{Task: structs.NewTaskID("g:j", from+i), Attempt: 1})
	}
	chosen, _ := f.Place(r, sizingStart)
	return chosen
}

// show shows a run with what it uses.
func (f *Fleet) show(a *Alloc, st structs.AllocState, used structs.Resources, reason string) {
	f.ApplyInventory(a.Worker, worker.Inventory{Tasks: []worker.TaskInfo{{
		TaskRef: worker.TaskRef{Task: a.Task, Attempt: a.Attempt},
		Class:   a.Class, Size: a.Size, State: st, Usage: used, Reason: reason,
	}}}, false, sizingStart, sizingStart)
}

func TestLearntGrantsNeverPassTheWorker(t *testing.T) {
	f := learningFleet(worker.Inventory{})
	for i := range 30 {
		for _, a := range f.placeBig(i, 1, 0) {
			f.show(a, structs.AllocComplete, structs.Resources{CPUMilli: 400, MemoryMiB: 900}, "")
		}
	}
	chosen := f.placeBig(100, 20, 0)
	if len(chosen) != 8 {
		t.Errorf("%d tasks placed, want 8 of 900 MiB; by what they declare 2 fit", len(chosen))
	}
	if n := f.Nodes().Node("w-1"); !n.Used().Fits(n.Worker().Size) {
		t.Errorf("%+v granted of %+v", n.Used(), n.Worker().Size)
	}
}

func TestGangsAreGrantedNoMoreThanTheyDeclare(t *testing.T) {
	f := learningFleet(worker.Inventory{})
	declared := structs.Resources{CPUMilli: 2000, MemoryMiB: 4000}
	m := sizing.Moments{Count: 100, Mean: 3000, Max: 3000}
	f.sizer.SetMemberUsage("m1", []sizing.ObservedUsage{{Population: sizing.Population{Class: "c", DeclaredSize: declared}, Processor: m, Memory: m}})
	want := structs.Resources{CPUMilli: 2000, MemoryMiB: 3000}
	if got := f.GrantedSize("c", structs.KindGang, declared, 0); got != want {
		t.Errorf("granted %+v, want %+v", got, want)
	}
}

func TestANewOwnerCountsWhatWasGranted(t *testing.T) {
	granted := structs.Resources{CPUMilli: 400, MemoryMiB: 900}
	f := learningFleet(worker.Inventory{Tasks: []worker.TaskInfo{{
		TaskRef: worker.TaskRef{Task: "g:j#0", Attempt: 1}, Class: "c", Size: granted, State: structs.AllocRunning,
		Usage: structs.Resources{CPUMilli: 4000, MemoryMiB: 1},
	}}})
	if got := f.Nodes().Node("w-1").Used(); got != granted {
		t.Errorf("counted %+v, granted were %+v", got, granted)
	}
	if got := f.placeBig(1, 2, 0); len(got) != 1 {
		t.Errorf("%d tasks of half a worker placed beside it, want 1", len(got))
	}
}

func TestKilledForMemoryIsGrantedMore(t *testing.T) {
	f := learningFleet(worker.Inventory{})
	a := f.placeBig(0, 1, 0)[0]
	f.show(a, structs.AllocFailed, structs.Resources{CPUMilli: 1, MemoryMiB: 5000}, worker.ReasonOutOfMemory)
	if a.MinMemoryMiB != 7500 {
		t.Errorf("least memory %d MiB next, want 7500", a.MinMemoryMiB)
	}
	again := f.placeBig(1, 1, 9000)[0]
	if again.Size.MemoryMiB != 8000 {
		t.Errorf("granted %d MiB, want the whole worker", again.Size.MemoryMiB)
	}
	f.show(again, structs.AllocFailed, structs.Resources{MemoryMiB: 8000}, worker.ReasonOutOfMemory)
	if again.MinMemoryMiB != 0 {
		t.Error("a task that had the whole worker was not killed for its grant")
	}
	own := f.placeBig(2, 1, 0)[0]
	f.show(own, structs.AllocFailed, structs.Resources{MemoryMiB: 5000}, "the task failed")
	if own.MinMemoryMiB != 0 {
		t.Error("a task that failed by itself counts as killed for memory")
	}
}

func TestGuardActsOnReports(t *testing.T) {
	f := learningFleet(worker.Inventory{})
	pair := f.placeBig(0, 2, 0)
	f.show(pair[0], structs.AllocRunning, structs.Resources{CPUMilli: 3000, MemoryMiB: 4800}, "")
	f.show(pair[1], structs.AllocRunning, structs.Resources{CPUMilli: 900, MemoryMiB: 3100}, "")
	actions := f.CheckUsage(sizingStart, batchClass)
	if len(actions) != 2 || actions[0].Kind != sizing.Throttle || actions[1].Kind != sizing.CheckpointAndStop {
		t.Fatalf("actions %+v, want a throttle and a checkpoint", actions)
	}
	greedy := actions[1].Alloc
	if greedy != pair[0] || !greedy.Evicting || greedy.MinMemoryMiB != 4800 {
		t.Errorf("checkpointed %+v, want the one above its grant", greedy)
	}
	if again := f.CheckUsage(sizingStart, batchClass); len(again) != 0 {
		t.Errorf("without a new report the guard does %+v", again)
	}
	f.EvictDone("w-1", greedy.Key(), structs.NewError(structs.CodeUnknown, "no answer"))
	if greedy.Evicting || greedy.MinMemoryMiB != 0 {
		t.Error("a stop without an answer counts as made")
	}
}

// BenchmarkGuard looks at 150 workers of 18 tasks each, all of which were shown.
func BenchmarkGuard(b *testing.B) {
	f := New(Timing{Lease: 6 * time.Second, UnreachableAfter: time.Hour})
	f.SetLearning(true)
	used := structs.Resources{CPUMilli: 700, MemoryMiB: 2000}
	for w := range 150 {
		info := structs.Worker{ID: fmt.Sprintf("w-%d", w), Size: structs.Resources{CPUMilli: 16000, MemoryMiB: 64000}}
		f.AddWorker(info, 1, sizingStart)
		inv := worker.Inventory{Full: true}
		for i := range 18 {
			inv.Tasks = append(inv.Tasks, worker.TaskInfo{
				TaskRef: worker.TaskRef{Task: structs.NewTaskID("g:j", w*18+i), Attempt: 1},
				Class:   "c", Size: used, Usage: used, State: structs.AllocRunning,
			})
		}
		f.ApplyInventory(info.ID, inv, true, sizingStart, sizingStart)
	}
	for b.Loop() {
		for id := range f.workers {
			f.seen[id] = true
		}
		if actions := f.CheckUsage(sizingStart, batchClass); len(actions) != 0 {
			b.Fatal("the workers are short")
		}
	}
}

// BenchmarkGrant is the choice of a grant with eight other members' word.
func BenchmarkGrant(b *testing.B) {
	f := learningFleet(worker.Inventory{})
	declared := structs.Resources{CPUMilli: 2000, MemoryMiB: 4000}
	m := sizing.Moments{Count: 100, Mean: 500, StdDev: 100, Max: 800}
	for i := range 8 {
		f.sizer.SetMemberUsage(fmt.Sprintf("m%d", i), []sizing.ObservedUsage{{Population: sizing.Population{Class: "c", DeclaredSize: declared}, Processor: m, Memory: m}})
	}
	for b.Loop() {
		f.GrantedSize("c", structs.KindBatch, declared, 0)
	}
}
