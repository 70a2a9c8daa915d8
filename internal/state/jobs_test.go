package state

import (
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"dotterelhitch/internal/structs"
)

// runJob appends a job of some tasks, and the ends of all but the last ones.
func runJob(t testing.TB, jobs *JobTable, id string, tasks, open int) {
	t.Helper()
	job := &structs.Job{
		ID: id, Class: "c", Team: "t", Kind: structs.KindBatch, Count: tasks,
		Size: structs.Resources{CPUMilli: 1}, Payload: strings.Repeat("p", 256),
	}
	changes := []Change{{ID: id, Type: JobAccept, Base: jobs.NextOffset() - 1, Job: job}}
	ends := Change{ID: "end/" + id, Type: TasksEnd, JobID: id}
	for i := range tasks - open {
		end := TaskEnd{Index: i, State: structs.AllocComplete}
		if i%10 == 9 {
			end.State = structs.AllocFailed
		}
		ends.Ends = append(ends.Ends, end)
	}
	data, err := Encode(append(changes, ends))
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range jobs.Apply(jobs.NextOffset(), data) {
		if !r.Accepted {
			t.Fatalf("change %s: %v", r.Change.ID, r.Err)
		}
	}
}

// TestEndedJobKeepsItsSum settles all tasks of a job, repeats an end with another
// state, and goes through a snapshot: the counts stay.
func TestEndedJobKeepsItsSum(t *testing.T) {
	jobs := NewJobTable()
	runJob(t, jobs, "g:1", 20, 0)
	want := TaskCounts{Settled: 20, Complete: 18, Failed: 2}
	late := Change{ID: "late", Type: TasksEnd, JobID: "g:1", Ends: []TaskEnd{{Index: 0, State: structs.AllocFailed}}}
	jobs.Apply(jobs.NextOffset(), record(t, late))
	for name, table := range map[string]*JobTable{"folded": jobs, "restored": RestoreJobTable(jobs.Snapshot())} {
		j := table.Get("g:1")
		if got := j.TaskCounts(); got != want || !j.Ended() {
			t.Errorf("%s: %+v, ended %t, want %+v", name, got, j.Ended(), want)
		}
		if j.Ends != nil || j.Job.Payload != "" {
			t.Errorf("%s: ends %v and a payload of %d bytes are kept", name, j.Ends, len(j.Job.Payload))
		}
	}
}

// TestCancelledJobTakesLaterEnds cancels a job of which a task has not ended yet.
func TestCancelledJobTakesLaterEnds(t *testing.T) {
	jobs := NewJobTable()
	runJob(t, jobs, "g:1", 3, 1)
	cancel := Change{ID: "cancel", Type: JobCancel, Base: jobs.NextOffset(), Filter: &structs.JobFilter{ID: "g:1"}}
	jobs.Apply(jobs.NextOffset(), record(t, cancel))
	if got := jobs.Get("g:1").TaskCounts(); got != (TaskCounts{Settled: 2, Complete: 2}) {
		t.Errorf("cancelled with a task open: %+v", got)
	}
	end := Change{ID: "end", Type: TasksEnd, JobID: "g:1", Ends: []TaskEnd{{Index: 2, State: structs.AllocStopped}}}
	jobs.Apply(jobs.NextOffset(), record(t, end))
	if got := jobs.Get("g:1").TaskCounts(); got != (TaskCounts{Settled: 3, Complete: 2}) {
		t.Errorf("cancelled, all settled: %+v", got)
	}
}

// TestOlderSnapshotIsRead restores a snapshot that holds the state of each task of an
// ended job.
func TestOlderSnapshotIsRead(t *testing.T) {
	jobs := NewJobTable()
	runJob(t, jobs, "g:1", 2, 0)
	s := jobs.Snapshot()
	s.Jobs[0].FinalCounts = nil
	s.Jobs[0].Ends = map[int]structs.AllocState{0: structs.AllocComplete, 1: structs.AllocComplete}
	if got := RestoreJobTable(s); !reflect.DeepEqual(got.Get("g:1"), jobs.Get("g:1")) {
		t.Errorf("restored %+v, want %+v", got.Get("g:1"), jobs.Get("g:1"))
	}
}

// BenchmarkEndedJobs reports the heap that an ended job of 30 tasks takes.
func BenchmarkEndedJobs(b *testing.B) {
	for range b.N {
		before := heap()
		jobs := NewJobTable()
		for i := range endedKept {
			runJob(b, jobs, fmt.Sprintf("g:%d", i), 30, 0)
		}
		b.ReportMetric(float64(heap()-before)/endedKept, "B/job")
		runtime.KeepAlive(jobs)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
