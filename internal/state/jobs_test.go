package state

import (
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"dotterelhitch/internal/structs"
)

// runJob applies the acceptance of a job and the ends of all but its last unfinished
// tasks.
func runJob(t testing.TB, jobs *JobTable, id string, tasks, unfinished int) {
	t.Helper()
	job := &structs.Job{
		ID: id, Class: "c", Team: "t", Kind: structs.KindBatch, Count: tasks,
		Size: structs.Resources{CPUMilli: 1}, Payload: strings.Repeat("p", 256),
	}
	changes := []Change{{ID: id, Type: JobAccept, Base: jobs.NextOffset() - 1, Job: job}}
	ends := Change{ID: "end/" + id, Type: TasksEnd, JobID: id}
	for i := range tasks - unfinished {
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

// TestEndedJobKeepsItsTaskCounts ends all tasks of a job, repeats an end with another
// state, and restores a snapshot: the counts must not change.
func TestEndedJobKeepsItsTaskCounts(t *testing.T) {
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

// TestCancelledJobRecordsLaterEnds cancels a job while one of its tasks has not ended.
func TestCancelledJobRecordsLaterEnds(t *testing.T) {
	jobs := NewJobTable()
	runJob(t, jobs, "g:1", 3, 1)
	cancel := Change{ID: "cancel", Type: JobCancel, Base: jobs.NextOffset(), Filter: &structs.JobFilter{ID: "g:1"}}
	jobs.Apply(jobs.NextOffset(), record(t, cancel))
	if got := jobs.Get("g:1").TaskCounts(); got != (TaskCounts{Settled: 2, Complete: 2}) {
		t.Errorf("cancelled with one unfinished task: %+v", got)
	}
	end := Change{ID: "end", Type: TasksEnd, JobID: "g:1", Ends: []TaskEnd{{Index: 2, State: structs.AllocStopped}}}
	jobs.Apply(jobs.NextOffset(), record(t, end))
	if got := jobs.Get("g:1").TaskCounts(); got != (TaskCounts{Settled: 3, Complete: 2}) {
		t.Errorf("cancelled, all tasks ended: %+v", got)
	}
}

// TestSnapshotOfOlderFormatIsRestored restores a snapshot that still holds the state of
// each task of an ended job.
func TestSnapshotOfOlderFormatIsRestored(t *testing.T) {
	jobs := NewJobTable()
	runJob(t, jobs, "g:1", 2, 0)
	s := jobs.Snapshot()
	s.Jobs[0].FinalCounts = nil
	s.Jobs[0].Ends = map[int]structs.AllocState{0: structs.AllocComplete, 1: structs.AllocComplete}
	if got := RestoreJobTable(s); !reflect.DeepEqual(got.Get("g:1"), jobs.Get("g:1")) {
		t.Errorf("restored %+v, want %+v", got.Get("g:1"), jobs.Get("g:1"))
	}
}

// BenchmarkEndedJobs reports the heap usage of an ended job with 30 tasks.
func BenchmarkEndedJobs(b *testing.B) {
	for range b.N {
		before := heapBytes()
		jobs := NewJobTable()
		for i := range maxEndedJobs {
			runJob(b, jobs, fmt.Sprintf("g:%d", i), 30, 0)
		}
		b.ReportMetric(float64(heapBytes()-before)/maxEndedJobs, "B/job")
		runtime.KeepAlive(jobs)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
