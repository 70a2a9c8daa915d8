package embedded

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/linear"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/logsvc"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

const topology = `
[[workers]]
prefix = "w"
count = 8
region = "casa"
domain = "casa-a"
cores = 4
memory_gib = 8
`

// testBound is the time after which a test gives up; no verdict rests on it being
// short.
const testBound = 60 * time.Second

type failureTest struct {
	t    testing.TB
	ctx  context.Context
	cell *Cell
}

func newFailureTest(t testing.TB, entries int) *failureTest {
	t.Helper()
	f := newCellTest(t, topology, testBound)
	for range entries {
		f.startEntry()
	}
	f.configure()
	return f
}

// newCellTest starts the stand-ins of a cell without entries.
func newCellTest(t testing.TB, topology string, bound time.Duration) *failureTest {
	t.Helper()
	return newAdjustedTest(t, topology, bound, shortTiming)
}

// newAdjustedTest is newCellTest with other settings of the entries.
func newAdjustedTest(t testing.TB, topology string, bound time.Duration, adjust func(*settings.Entry)) *failureTest {
	t.Helper()
	top, err := standin.ParseTopology([]byte(topology))
	if err != nil {
		t.Fatal(err)
	}
	var logger *slog.Logger
	if os.Getenv("HITCH_TEST_LOGS") != "" {
		logger = slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	cell, err := Start(Config{Topology: top, Regions: []string{"casa", "fes"}, Logger: logger, AdjustSettings: adjust})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cell.Close)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(cancel)
	return &failureTest{t: t, ctx: ctx, cell: cell}
}

// configure waits for the entries and puts a class of each kind in force.
func (f *failureTest) configure() {
	f.t.Helper()
	f.must(f.cell.AwaitReady(f.ctx))
	for _, c := range []structs.Class{
		{Name: "lookup", Kind: structs.KindService, Target: structs.Target{AnswerWithin: structs.Duration(2 * time.Second)}},
		{Name: "reconcile", Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Second)}},
		{Name: "summary", Kind: structs.KindGang, Target: structs.Target{StartWithin: structs.Duration(time.Second)}},
	} {
		_, err := f.cell.Operator().SetClass(f.ctx, c, 0)
		f.must(err)
	}
	f.await("classes in force", func() bool {
		seen := map[string]int{}
		for _, e := range f.cell.Events() {
			if e.Type == event.ConfigInForce {
				seen[e.Proc]++
			}
		}
		for _, e := range f.cell.LiveEntries() {
			if seen[e.Member().ID] < 3 {
				return false
			}
		}
		return true
	})
}

// shortTiming shortens leases and bounds, all by the same part, so that a test does
// not wait for long.
func shortTiming(s *settings.Entry) {
	s.Timing.Heartbeat = 250 * time.Millisecond
	s.Timing.Renew = 400 * time.Millisecond
	s.Timing.Lease = 3 * time.Second
	s.Timing.Authority = 1500 * time.Millisecond
	s.Timing.ClockMargin = 200 * time.Millisecond
	s.Timing.Snapshot = time.Second
}

func (f *failureTest) startEntry() *Entry {
	f.t.Helper()
	e, err := f.cell.StartEntry("casa", "casa-a")
	f.must(err)
	return e
}

// startFarEntry starts an entry in the other region and waits until it has the classes.
func (f *failureTest) startFarEntry() *Entry {
	f.t.Helper()
	far, err := f.cell.StartEntry("fes", "fes-1")
	f.must(err)
	f.must(f.cell.AwaitReady(f.ctx))
	f.await("the class at the far entry", func() bool {
		_, ok := far.Class("reconcile")
		return ok
	})
	return far
}

func (f *failureTest) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *failureTest) await(what string, ok func() bool) {
	f.t.Helper()
	f.must(Await(f.ctx, what, ok))
}

func (f *failureTest) count(typ event.Type) int { return f.cell.CountEvents(typ) }

func (f *failureTest) change(c logsvc.FaultChange) {
	f.t.Helper()
	f.must(f.cell.Standins.Log().ChangeFaults(c))
}

// submit submits n jobs of a class and returns their IDs.
func (f *failureTest) submit(c *Caller, class string, n, tasks int, run time.Duration) []string {
	f.t.Helper()
	var ids []string
	for range n {
		id, err := c.Submit(f.ctx, structs.Job{
			Class:   class,
			Count:   tasks,
			Size:    structs.Resources{CPUMilli: 400, MemoryMiB: 128},
			RunTime: structs.Duration(run),
		})
		f.must(err)
		ids = append(ids, id)
	}
	return ids
}

// complete waits for jobs to end well.
func (f *failureTest) complete(c *Caller, ids []string) {
	f.t.Helper()
	for _, id := range ids {
		status, err := c.WaitForJob(f.ctx, id)
		f.must(err)
		if status.State != structs.JobComplete {
			f.t.Errorf("job %s: %s, want complete: %v", id, status.State, status.Reasons)
		}
	}
}

// requests sends requests of a class until stop is closed and returns the number
// of each outcome.
func (f *failureTest) requests(c *Caller, stop chan struct{}, idempotent bool) func() map[structs.Outcome]int {
	var mu sync.Mutex
	var senders sync.WaitGroup
	outcomes := map[structs.Outcome]int{}
	for s := range 4 {
		senders.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				a := c.Request(f.ctx, caller.Call{
					Class:      "lookup",
					Idempotent: idempotent,
					Body:       fmt.Appendf(nil, "request %d of %s-%d", i, c.name, s),
					Deadline:   3 * time.Second,
				})
				mu.Lock()
				outcomes[a.Outcome]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() map[structs.Outcome]int {
		senders.Wait()
		return outcomes
	}
}

// check runs the checker and fails on any violation.
func (f *failureTest) check() *checker.Report {
	f.t.Helper()
	r := f.cell.Check(checker.Options{LeavingBound: 3 * time.Second, ConfigBound: 15 * time.Second, RunEnded: true})
	for _, v := range r.Violations {
		f.t.Errorf("%s: %s: %+v", v.Kind, v.Message, v.Events)
	}
	if r.Empty() {
		f.t.Error("nothing was checked")
	}
	f.t.Logf("checked %+v", r.Checked)
	f.checkKeyed()
	return r
}

// checkKeyed fails unless the calls and runs of each key have a linear order.
func (f *failureTest) checkKeyed() {
	f.t.Helper()
	r := linear.CheckKeyed(linear.KeyedOperations(f.cell.Events()), testBound)
	if !r.OK() {
		f.t.Errorf("keys without a linear order: %v, undecided: %v", r.ViolatedKeys, r.UndecidedKeys)
	}
	if r.Keys > 0 {
		f.t.Logf("linear: %d keys, %d calls, %d runs", r.Keys, r.Calls, r.Runs)
	}
}

func TestEntryDiesWhileJobsRun(t *testing.T) {
	f := newFailureTest(t, 3)
	c := f.cell.NewCaller("caller")
	stop := make(chan struct{})
	wait := f.requests(c, stop, false)
	ids := f.submit(c, "reconcile", 6, 12, 1500*time.Millisecond)
	ids = append(ids, f.submit(c, "summary", 2, 8, time.Second)...)
	f.await("some tasks run", func() bool { return f.count(event.TaskRun) > 20 })
	f.cell.LiveEntries()[0].Kill()
	f.await("the dead member is removed", func() bool { return f.count(event.MemberRemoved) > 0 })
	f.startEntry()
	f.complete(c, ids)
	close(stop)
	if got := wait(); got[structs.OutcomeAnswered] == 0 {
		t.Errorf("outcomes %v: want some answered", got)
	}
	f.check()
}

func TestEveryEntryIsReplacedInTurn(t *testing.T) {
	f := newFailureTest(t, 3)
	c := f.cell.NewCaller("caller")
	stop := make(chan struct{})
	wait := f.requests(c, stop, false)
	ids := f.submit(c, "reconcile", 4, 10, 4*time.Second)
	for _, e := range f.cell.LiveEntries() {
		f.startEntry()
		f.must(f.cell.AwaitReady(f.ctx))
		e.Leave()
		<-e.Done()
	}
	f.complete(c, ids)
	close(stop)
	if got := wait(); got[structs.OutcomeUnknown] > 0 {
		t.Errorf("outcomes %v: a graceful leave left requests unknown", got)
	}
	f.check()
}

func TestLogOutageWhileAnEntryDies(t *testing.T) {
	f := newFailureTest(t, 3)
	c := f.cell.NewCaller("caller")
	ids := f.submit(c, "reconcile", 4, 10, time.Second)
	down, up := logsvc.OutageRefuse, logsvc.OutageNone
	f.change(logsvc.FaultChange{Outage: &down})
	stop := make(chan struct{})
	wait := f.requests(c, stop, false)
	time.Sleep(5 * time.Second)
	if off := f.count(event.AuthorityLost); off > 0 {
		t.Errorf("authority was lost %d times in an outage with all members alive", off)
	}
	f.cell.LiveEntries()[0].Kill()
	time.Sleep(5 * time.Second)
	f.change(logsvc.FaultChange{Outage: &up})
	f.complete(c, ids)
	close(stop)
	wait()
	f.check()
}

// Bounds of the requests with keys: what an entry keeps of them stays within the limits
// of keyhome, beyond which a repeat is told that the answer was not kept.
const (
	keysOfSender = 5000
	keyPause     = 5 * time.Millisecond
)

// keyed sends requests that bear a key, each up to three times with the same key
// through different entries, as a caller does that got no answer.
func (f *failureTest) keyed(c *Caller, stop chan struct{}) func() map[structs.Outcome]int {
	var mu sync.Mutex
	var senders sync.WaitGroup
	outcomes := map[structs.Outcome]int{}
	for s := range 4 {
		senders.Go(func() {
			for i := range keysOfSender {
				select {
				case <-stop:
					return
				case <-time.After(keyPause):
				}
				call := caller.Call{
					Class:    "lookup",
					Key:      fmt.Sprintf("%s-%d-%d", c.name, s, i),
					Body:     fmt.Appendf(nil, "ticket %d of %s-%d", i, c.name, s),
					Deadline: 2 * time.Second,
				}
				var a structs.Answer
				for range 3 {
					a = c.Request(f.ctx, call)
					if a.Outcome == structs.OutcomeAnswered && i%2 == 0 {
						break
					}
				}
				mu.Lock()
				outcomes[a.Outcome]++
				mu.Unlock()
			}
		})
	}
	return func() map[structs.Outcome]int {
		senders.Wait()
		return outcomes
	}
}

func TestKeyedRequestsThroughDeathAndReplacement(t *testing.T) {
	f := newFailureTest(t, 3)
	c := f.cell.NewCaller("caller")
	stop := make(chan struct{})
	wait := f.keyed(c, stop)
	f.await("some requests run", func() bool { return f.count(event.RequestRun) > 200 })
	f.cell.LiveEntries()[0].Kill()
	f.await("the dead member is removed", func() bool { return f.count(event.MemberRemoved) > 0 })
	f.startEntry()
	f.must(f.cell.AwaitReady(f.ctx))
	leaving := f.cell.LiveEntries()[0]
	leaving.Leave()
	<-leaving.Done()
	n := f.count(event.RequestRun)
	f.await("more requests run", func() bool { return f.count(event.RequestRun) > n+200 })
	close(stop)
	got := wait()
	if got[structs.OutcomeAnswered] == 0 {
		t.Errorf("outcomes %v: want some answered", got)
	}
	t.Logf("outcomes %v", got)
	f.logRefusals()
	f.check()
}

// logRefusals prints how many requests were refused or left unknown, by second and
// reason.
func (f *failureTest) logRefusals() {
	events := f.cell.Events()
	start := events[0].Time.Micros
	counts := map[string]int{}
	var order []string
	for _, e := range events {
		line := ""
		switch e.Type {
		case event.CallerRequestEnded:
			line = fmt.Sprintf("%3ds %s %s", (e.Time.Micros-start)/1e6, e.Outcome, e.Code)
		case event.MemberJoined, event.MemberLeft, event.MemberRemoved, event.AuthorityLost, event.AuthorityGained, event.EntryDrain:
			line = fmt.Sprintf("%3ds %s %s at %s", (e.Time.Micros-start)/1e6, e.Type, e.Member, e.Proc)
		default:
			continue
		}
		if counts[line] == 0 {
			order = append(order, line)
		}
		counts[line]++
	}
	for _, line := range order {
		f.t.Logf("%s: %d", line, counts[line])
	}
}

// busyWorkers returns the workers that run tasks.
func (f *failureTest) busyWorkers() []*standin.RunningWorker {
	busy := map[string]bool{}
	for _, e := range f.cell.Events() {
		if e.Type == event.TaskRun {
			busy[e.Worker] = true
		}
	}
	var out []*standin.RunningWorker
	for _, w := range f.cell.Standins.Workers() {
		if busy[w.ID()] {
			out = append(out, w)
		}
	}
	return out
}

func TestWorkerIsPausedPastItsLeases(t *testing.T) {
	f := newFailureTest(t, 2)
	c := f.cell.NewCaller("caller")
	ids := f.submit(c, "reconcile", 4, 16, 2*time.Second)
	f.await("every task runs", func() bool { return f.count(event.TaskRun) >= 64 })
	const pause = 6 * time.Second
	paused := f.busyWorkers()[:2]
	for _, w := range paused {
		go w.Pause(pause)
	}
	f.complete(c, ids)
	f.await("both workers are gained anew after the pause", func() bool {
		last := map[string]int64{}
		thawed := map[string]int64{}
		for _, e := range f.cell.Events() {
			switch {
			case e.Type == event.TaskEnd && e.State == string(structs.AllocStopped):
				thawed[e.Worker] = e.Time.Micros
			case e.Type == event.WorkerGained:
				last[e.Worker] = e.Time.Micros
			}
		}
		for _, w := range paused {
			id := w.ID()
			if last[id] <= thawed[id] || thawed[id] == 0 {
				return false
			}
		}
		return true
	})
	f.complete(c, f.submit(c, "reconcile", 2, 32, 100*time.Millisecond))
	f.check()
}

func TestAnswersToStartsAreLost(t *testing.T) {
	f := newFailureTest(t, 2)
	c := f.cell.NewCaller("caller")
	var ids []string
	for range 6 {
		lose := 2
		for _, w := range f.cell.Standins.Workers() {
			f.must(w.ChangeFaults(workersvc.FaultChange{LoseStarts: &lose}))
		}
		ids = append(ids, f.submit(c, "reconcile", 3, 20, 700*time.Millisecond)...)
		time.Sleep(300 * time.Millisecond)
	}
	f.complete(c, ids)
	f.check()
}
