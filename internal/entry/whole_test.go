package entry

import (
	"context"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/relay"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

const testTopology = `
[[workers]]
prefix = "w"
count = 6
region = "casa"
domain = "casa-a"
cores = 4
memory_gib = 8
`

// testCell is a cell of stand-ins with entries in this process.
type testCell struct {
	t       *testing.T
	cell    *standin.Cell
	entries []*Entry
	// runs counts the tasks that workers have begun.
	runs atomic.Int64
}

func newTestCell(t *testing.T, entries int) *testCell {
	t.Helper()
	topology, err := standin.ParseTopology([]byte(testTopology))
	if err != nil {
		t.Fatal(err)
	}
	c := &testCell{t: t}
	c.cell, err = standin.Start(topology, standin.Options{OnEvent: func(e event.Event) {
		if e.Type == event.TaskRun {
			c.runs.Add(1)
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.cell.Close)
	for range entries {
		c.start()
	}
	return c
}

func (c *testCell) start() *Entry {
	c.t.Helper()
	return c.startWith("http://" + c.cell.Addr(standin.LogName))
}

// startWith starts an entry that finds the log service at the given base URL.
func (c *testCell) startWith(log string) *Entry {
	c.t.Helper()
	return c.startIn("casa", log, func(*Entry) {})
}

// startIn starts an entry of a region; adjust changes it before it runs.
func (c *testCell) startIn(region, log string, adjust func(*Entry)) *Entry {
	c.t.Helper()
	s := settings.Default()
	s.Identity.Region = region
	s.Identity.Domain = region + "-a"
	s.Regions.Names = []string{"casa", "fes", "pwani"}
	s.Regions.StoreRegion = "casa"
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	s.Platform.LogURL = log
	s.Platform.ListURL = "http://" + c.cell.Addr(standin.ListName)
	s.Auth.Insecure = true
	logs := io.Discard
	if os.Getenv("HITCH_TEST_LOGS") != "" {
		logs = os.Stderr
	}
	e, err := New(Config{Settings: s, Logger: slog.New(slog.NewJSONHandler(logs, nil))})
	if err != nil {
		c.t.Fatal(err)
	}
	adjust(e)
	ended := make(chan struct{})
	go func() {
		_ = e.Run(context.Background())
		close(ended)
	}()
	c.t.Cleanup(func() {
		e.Kill()
		<-ended
	})
	c.entries = append(c.entries, e)
	return e
}

// await polls until ok holds.
func (c *testCell) await(what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("not seen in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *testCell) awaitReady() {
	c.t.Helper()
	for _, e := range c.entries {
		c.await("entry ready", func() bool { return e.Ready() == nil })
	}
}

func (c *testCell) setClass(class structs.Class) {
	c.t.Helper()
	b := &operatorBackend{e: c.entries[0]}
	got, err := b.SetClass(context.Background(), class, 0, "")
	if err != nil || !got.Accepted {
		c.t.Fatalf("class %s: %+v, %v", class.Name, got, err)
	}
	for _, e := range c.entries {
		c.await("class everywhere", func() bool {
			_, err := e.traffic.Class(class.Name)
			return err == nil
		})
	}
}

func within(d time.Duration) structs.Duration { return structs.Duration(d) }

func TestWholePath(t *testing.T) {
	c := newTestCell(t, 3)
	c.awaitReady()
	c.setClass(structs.Class{Name: "lookup", Kind: structs.KindService, Target: structs.Target{AnswerWithin: within(time.Second)}})
	c.setClass(structs.Class{Name: "reconcile", Kind: structs.KindBatch, Target: structs.Target{StartWithin: within(time.Second)}})
	c.setClass(structs.Class{Name: "summary", Kind: structs.KindGang, Target: structs.Target{StartWithin: within(time.Second)}})

	callers := &caller.Client{BaseURL: "http://" + c.entries[1].CallerAddr()}
	body := []byte("range 1-100")
	var answer structs.Answer
	c.await("an answered request", func() bool {
		answer = callers.Do(context.Background(), caller.Call{Class: "lookup", Idempotent: true, Body: body})
		return answer.Outcome == structs.OutcomeAnswered
	})
	if string(answer.Body) != string(workersvc.Answer(body)) {
		t.Errorf("answer %q, want %q", answer.Body, workersvc.Answer(body))
	}
	for _, class := range []string{"reconcile", "summary"} {
		id, err := callers.SubmitJob(context.Background(), structs.Job{
			Class:   class,
			Count:   10,
			Size:    structs.Resources{CPUMilli: 500, MemoryMiB: 256},
			RunTime: within(100 * time.Millisecond),
		}, "")
		if err != nil {
			t.Fatalf("submit %s: %v", class, err)
		}
		status, err := callers.JobStatus(context.Background(), id, 20*time.Second)
		if err != nil || status.State != structs.JobComplete || status.Complete != 10 {
			t.Errorf("job of %s: %+v, %v", class, status, err)
		}
	}
}

// newLaggingCell is a cell of two entries of which the second reads the log late.
func newLaggingCell(t *testing.T) *testCell {
	t.Helper()
	c := newTestCell(t, 1)
	slow := relay.New(relay.Shape{DelayMs: 100}, nil)
	t.Cleanup(slow.Close)
	addr, err := slow.AddRoute("127.0.0.1:0", c.cell.Addr(standin.LogName))
	if err != nil {
		t.Fatal(err)
	}
	c.startWith("http://" + addr)
	c.awaitReady()
	c.setClass(structs.Class{Name: "reconcile", Kind: structs.KindBatch, Target: structs.Target{StartWithin: within(time.Second)}})
	return c
}

func (c *testCell) callers(entry int) *caller.Client {
	return &caller.Client{BaseURL: "http://" + c.entries[entry].CallerAddr()}
}

// submit submits a job of one task through the first entry.
func (c *testCell) submit(runTime time.Duration) string {
	c.t.Helper()
	id, err := c.callers(0).SubmitJob(context.Background(), structs.Job{
		Class:   "reconcile",
		Count:   1,
		Size:    structs.Resources{CPUMilli: 100, MemoryMiB: 64},
		RunTime: within(runTime),
	}, "")
	if err != nil {
		c.t.Fatal(err)
	}
	return id
}

// TestStatusRightAfterAcceptance asks two entries for a job as soon as it is
// accepted, while one of them, which owns a part of the jobs, reads the log late.
func TestStatusRightAfterAcceptance(t *testing.T) {
	c := newLaggingCell(t)
	const jobs = 8
	owned := map[string]int{}
	for range jobs {
		id := c.submit(10 * time.Millisecond)
		for i := range c.entries {
			status, err := c.callers(i).JobStatus(context.Background(), id, 0)
			if err != nil {
				t.Errorf("entry %d, job %s: %v", i, id, err)
			}
			owned[status.Owner]++
		}
	}
	if len(owned) != len(c.entries) {
		t.Errorf("owners of %d jobs: %v, want all %d entries", jobs, owned, len(c.entries))
	}
	unknown := structs.NewJobID("casa-0", "", "none")
	for i := range c.entries {
		_, err := c.callers(i).JobStatus(context.Background(), unknown, 0)
		if structs.CodeOf(err) != structs.CodeNotFound {
			t.Errorf("entry %d, job that nobody submitted: %v, want not found", i, err)
		}
	}
}

// TestCancelRightAfterAcceptance cancels a job as soon as it is accepted, through an
// entry that reads the log late.
func TestCancelRightAfterAcceptance(t *testing.T) {
	c := newLaggingCell(t)
	id := c.submit(time.Minute)
	n, err := c.callers(1).CancelJobs(context.Background(), structs.JobFilter{ID: id}, "")
	if err != nil || n != 1 {
		t.Fatalf("cancelled %d jobs, %v, want 1", n, err)
	}
	status, err := c.callers(0).JobStatus(context.Background(), id, 20*time.Second)
	if err != nil || status.State != structs.JobCancelled {
		t.Errorf("cancelled job: %+v, %v", status, err)
	}
}
