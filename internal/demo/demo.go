// Package demo shows a whole cell at work in one process: requests, a batch job
// and a gang over three entries, one of which dies midway.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/embedded"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

// What the demo runs.
const (
	entryCount   = 3
	workersEach  = 8
	senders      = 8
	sendPause    = 10 * time.Millisecond
	batchTasks   = 60
	gangTasks    = 16
	batchRunTime = 4 * time.Second
	gangRunTime  = time.Second
	killAfter    = 1500 * time.Millisecond
	settleFor    = 3 * time.Second
	limit        = 50 * time.Second

	leavingBound = 3 * time.Second
	configBound  = 15 * time.Second
)

const topology = `
[[workers]]
prefix = "casa-a-"
count = 8
region = "casa"
domain = "casa-a"
cores = 16
memory_gib = 64
service_time = "15ms"

[[workers]]
prefix = "casa-b-"
count = 8
region = "casa"
domain = "casa-b"
cores = 16
memory_gib = 64
service_time = "15ms"
`

var classes = []structs.Class{
	{Name: "lookup", Kind: structs.KindService, Target: structs.Target{AnswerWithin: structs.Duration(300 * time.Millisecond)}},
	{Name: "ticket", Kind: structs.KindService, Target: structs.Target{AnswerWithin: structs.Duration(time.Second)}},
	{Name: "reconcile", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(2 * time.Second)}},
	{Name: "summary", Kind: structs.KindGang, Target: structs.Target{StartWithin: structs.Duration(2 * time.Second)}},
}

// demo is one run.
type demo struct {
	out   io.Writer
	cell  *embedded.Cell
	began time.Time

	mu       sync.Mutex
	outcomes map[structs.Outcome]int
	waits    *hdrhistogram.Histogram
}

// Run shows the demo on out and fails if the checker found a violation.
func Run(ctx context.Context, out io.Writer, logger *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	top, err := standin.ParseTopology([]byte(topology))
	if err != nil {
		return errors.Trace(err)
	}
	cell, err := embedded.Start(embedded.Config{Topology: top, Regions: []string{"casa"}, Logger: logger})
	if err != nil {
		return errors.Trace(err)
	}
	defer cell.Close()
	d := &demo{
		out:      out,
		cell:     cell,
		began:    time.Now(),
		outcomes: map[structs.Outcome]int{},
		waits:    hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
	if err := d.setUp(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := d.work(ctx); err != nil {
		return errors.Trace(err)
	}
	return d.summary()
}

// say prints a progress line.
func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// setUp starts the entries and states the targets.
func (d *demo) setUp(ctx context.Context) error {
	d.say("a log service, an instance list and %d workers run as stand-ins", 2*workersEach)
	for i := range entryCount {
		domain := []string{"casa-a", "casa-b"}[i%2]
		if _, err := d.cell.StartEntry("casa", domain); err != nil {
			return errors.Trace(err)
		}
	}
	if err := d.cell.AwaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	d.say("%d entries have joined through the log", entryCount)
	events := d.cell.Recorder("operator")
	for _, c := range classes {
		change, err := d.cell.Operator().SetClass(ctx, c, 0)
		if err != nil {
			return errors.Trace(err)
		}
		events.Record(event.Event{Type: event.ClassAccepted, Class: c.Name, Version: change.Version})
		d.say("class %-9s %-7s accepted as version %d", c.Name, c.Kind, change.Version)
	}
	return d.awaitClasses(ctx)
}

// awaitClasses waits until the classes are in force at every entry.
func (d *demo) awaitClasses(ctx context.Context) error {
	return embedded.Await(ctx, "classes in force", func() bool {
		n := 0
		for _, e := range d.cell.Events() {
			if e.Type == event.ConfigInForce {
				n++
			}
		}
		return n >= entryCount*len(classes)
	})
}

// work sends requests and jobs, and kills an entry midway.
func (d *demo) work(ctx context.Context) error {
	c := d.cell.NewCaller("caller")
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for s := range senders {
		sending.Go(func() { d.send(ctx, c, s, stop) })
	}
	d.say("%d callers send lookups and tickets", senders)
	ids, err := d.submit(ctx, c)
	if err != nil {
		return err
	}
	time.Sleep(killAfter)
	victim := d.cell.LiveEntries()[0]
	victim.Kill()
	<-victim.Done()
	d.cell.Recorder("demo").Record(event.Event{Type: event.FaultInjected, Member: victim.Member().ID, Detail: "entry killed"})
	d.say("entry %s is killed", victim.Member().ID)
	if _, err := d.cell.StartEntry("casa", "casa-a"); err != nil {
		return errors.Trace(err)
	}
	for _, id := range ids {
		status, err := c.WaitForJob(ctx, id)
		if err != nil {
			return errors.Trace(err)
		}
		d.say("job %s of class %s: %s, %d tasks", id, status.Job.Class, status.State, status.Complete)
	}
	time.Sleep(settleFor)
	close(stop)
	sending.Wait()
	return nil
}

func (d *demo) submit(ctx context.Context, c *embedded.Caller) ([]string, error) {
	var ids []string
	for _, j := range []structs.Job{
		{Class: "reconcile", Count: batchTasks, Size: structs.Resources{CPUMilli: 2000, MemoryMiB: 4096}, RunTime: structs.Duration(batchRunTime)},
		{Class: "summary", Count: gangTasks, Size: structs.Resources{CPUMilli: 4000, MemoryMiB: 8192}, RunTime: structs.Duration(gangRunTime)},
	} {
		id, err := c.Submit(ctx, j)
		if err != nil {
			return nil, errors.Trace(err)
		}
		d.say("job %s of class %s: accepted, %d tasks", id, j.Class, j.Count)
		ids = append(ids, id)
	}
	return ids, nil
}

// send sends requests until stop is closed: lookups, which are idempotent, and
// tickets, which are not.
func (d *demo) send(ctx context.Context, c *embedded.Caller, sender int, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(sendPause):
		}
		call := caller.Call{
			Class:      "lookup",
			Idempotent: true,
			Body:       fmt.Appendf(nil, "sender %d number %d", sender, i),
			Deadline:   2 * time.Second,
		}
		if i%4 == 0 {
			call.Class = "ticket"
			call.Idempotent = false
		}
		start := time.Now()
		answer := c.Request(ctx, call)
		d.note(answer.Outcome, time.Since(start))
	}
}

func (d *demo) note(o structs.Outcome, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes[o]++
	if o == structs.OutcomeAnswered {
		_ = d.waits.RecordValue(wait.Microseconds())
	}
}

// summary prints the closing figures and the checker's verdict.
func (d *demo) summary() error {
	events := d.cell.Events()
	starts := startWaits(events)
	fmt.Fprintln(d.out)
	fmt.Fprintf(d.out, "requests        answered %d, not run %d, unknown %d\n",
		d.outcomes[structs.OutcomeAnswered], d.outcomes[structs.OutcomeNotRun], d.outcomes[structs.OutcomeUnknown])
	printWaits(d.out, "answer wait", d.waits)
	printWaits(d.out, "start wait", starts)
	fmt.Fprintf(d.out, "packing         at most %.0f%% of the processors held by tasks\n", 100*peakPacking(events))
	for _, e := range d.cell.LiveEntries() {
		in, out := e.PeerBytes()
		fmt.Fprintf(d.out, "control bytes   %s: %d in, %d out between entries\n", e.Member().ID, in, out)
	}
	report := checker.Check(events, checker.Options{LeavingBound: leavingBound, ConfigBound: configBound, RunEnded: true})
	fmt.Fprintf(d.out, "checker         %d task runs, %d request runs, %d answers checked\n",
		report.Checked.TaskRuns, report.Checked.RequestRuns, report.Checked.Answers)
	for _, v := range report.Violations {
		fmt.Fprintf(d.out, "VIOLATION       %s: %s\n", v.Kind, v.Message)
	}
	if !report.OK() {
		return structs.NewError(structs.CodeInternal, "the checker found %d violations in %d events", len(report.Violations), report.Checked.Events)
	}
	fmt.Fprintln(d.out, "verdict         no violation found")
	return nil
}

func printWaits(out io.Writer, what string, h *hdrhistogram.Histogram) {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	fmt.Fprintf(out, "%-15s p50 %.1f ms, p99 %.1f ms, max %.1f ms (%d)\n",
		what, ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max()), h.TotalCount())
}
