package embedded

import (
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/relay"
	"dotterelhitch/internal/structs"
)

// relayPlatform returns a relay to the log and the list of instances, and the change
// of settings that makes an entry reach them through it.
func (f *failureTest) relayPlatform() (*relay.Relay, func(*settings.Entry)) {
	f.t.Helper()
	r := relay.New(relay.Shape{}, nil)
	f.t.Cleanup(r.Close)
	route := func(name string) string {
		addr, err := r.AddRoute(anyPort, f.cell.Standins.Addr(name))
		f.must(err)
		return "http://" + addr
	}
	log, list := route(standin.LogName), route(standin.ListName)
	return r, func(s *settings.Entry) {
		shortTiming(s)
		s.Platform.LogURL = log
		s.Platform.ListURL = list
	}
}

// showGone has the list of instances show entries as gone.
func (f *failureTest) showGone(entries []*Entry) {
	var gone []instancelist.Entry
	for _, e := range entries {
		gone = append(gone, instancelist.Entry{ID: e.Member().ID, State: structs.WorkerRemoved})
	}
	f.cell.Standins.List().Put(nil, gone)
}

// events counts the events of a type that are recorded by one of some entries.
func (f *failureTest) eventsOf(entries []*Entry, t event.Type) int {
	n := 0
	for _, e := range f.cell.Events() {
		recorded := func(of *Entry) bool { return of.Member().ID == e.Proc }
		if e.Type == t && slices.ContainsFunc(entries, recorded) {
			n++
		}
	}
	return n
}

// awayFromList moves a worker to an address in the list that leads through a cut
// relay, so that only who has read the list before reaches it.
func (f *failureTest) awayFromList(w *standin.RunningWorker) *relay.Relay {
	f.t.Helper()
	r := relay.New(relay.Shape{}, nil)
	f.t.Cleanup(r.Close)
	addr, err := r.AddRoute(anyPort, w.Description.Addr)
	f.must(err)
	r.Cut()
	moved := w.Description
	moved.Addr = addr
	f.cell.Standins.List().Put([]structs.Worker{moved}, nil)
	f.await("the list shows the address", func() bool {
		list, _ := f.cell.Standins.List().List()
		return slices.ContainsFunc(list.Instances, func(w structs.Worker) bool { return w.Addr == addr })
	})
	return r
}

// idle reports whether every run at a worker has ended.
func (f *failureTest) idle(w *standin.RunningWorker) bool {
	open := 0
	for _, e := range f.cell.Events() {
		switch {
		case e.Worker != w.ID():
		case e.Type == event.TaskRun:
			open++
		case e.Type == event.TaskEnd:
			open--
		}
	}
	return open == 0
}

// TestForcedChangeWhileOldMembersGoOn cuts all members off from the log and the list,
// which calls them gone, while they reach each other, their callers and the workers.
// Fresh entries take the cell over; the old ones come back later. Meanwhile one worker
// is paused, or only the old members reach it and go on renewing its leases.
func TestForcedChangeWhileOldMembersGoOn(t *testing.T) {
	t.Run("a worker is paused", func(t *testing.T) {
		t.Parallel()
		testForcedChange(t, func(f *failureTest, w *standin.RunningWorker) func() {
			resumed := make(chan struct{})
			go func() {
				w.Pause(6 * time.Second)
				close(resumed)
			}()
			return func() { <-resumed }
		})
	})
	t.Run("a worker is reached by old members only", func(t *testing.T) {
		t.Parallel()
		testForcedChange(t, func(f *failureTest, w *standin.RunningWorker) func() {
			away := f.awayFromList(w)
			return func() {
				f.await("every run at the worker ends", func() bool { return f.idle(w) })
				away.Heal()
			}
		})
	})
}

// consentsEnd is the time after which members that are cut off from the log consent to no
// change any more: they do for half of the authority of shortTiming after their last read. A
// fresh entry that joined by their consent, before the list's word counted, would end the
// authority that the test is about.
const consentsEnd = time.Second

// testForcedChange runs the change with a fault of one busy worker, which lasts until
// the returned function has ended.
func testForcedChange(t *testing.T, fault func(*failureTest, *standin.RunningWorker) func()) {
	// A submission through an old entry takes long to fail.
	f := newCellTest(t, topology, 2*testBound)
	link, throughLink := f.relayPlatform()
	f.cell.cfg.AdjustSettings = throughLink
	for range 3 {
		f.startEntry()
	}
	f.configure()
	old := f.cell.LiveEntries()
	c := f.cell.NewCaller("caller")
	stop := make(chan struct{})
	keyed := f.keyed(c, stop)
	wait := f.requests(c, stop, false)
	ids := f.submit(c, "reconcile", 4, 12, longerThanLeases)
	ids = append(ids, f.submit(c, "summary", 2, 8, 2*time.Second)...)
	f.await("some tasks run", func() bool { return f.count(event.TaskRun) > 30 })

	link.Cut()
	f.showGone(old)
	time.Sleep(consentsEnd)
	mend := fault(f, f.busyWorkers()[0])
	f.cell.cfg.AdjustSettings = shortTiming
	fresh := []*Entry{f.startEntry(), f.startEntry(), f.startEntry()}
	f.must(f.cell.AwaitReady(f.ctx))
	if f.eventsOf(fresh, event.MemberRemoved) == 0 {
		t.Error("the old members were not removed")
	}
	ids = append(ids, f.submit(c, "reconcile", 2, 12, time.Second)...)
	n := f.count(event.RequestRun)
	f.await("more requests run", func() bool { return f.count(event.RequestRun) > n+20 })
	mend()
	if off := f.eventsOf(old, event.AuthorityLost); off > 0 {
		t.Errorf("the old members lost authority %d times: nothing was proved", off)
	}
	link.Heal()
	for _, e := range old {
		<-e.Done()
	}
	f.complete(c, ids)
	f.complete(c, f.submit(c, "reconcile", 1, 12, 100*time.Millisecond))
	close(stop)
	t.Logf("outcomes %v, with keys %v", wait(), keyed())
	f.check()
}

// longerThanLeases is a run time after which every lease that was renewed before the
// run began has ended, with the bounds of shortTiming.
const longerThanLeases = 8 * time.Second

const regionsTopology = topology + `
[[workers]]
prefix = "f"
count = 4
region = "fes"
domain = "fes-a"
cores = 4
memory_gib = 8
`

// startRegion runs entries of a region.
func (f *failureTest) startRegion(region string, n int) []*Entry {
	f.t.Helper()
	var out []*Entry
	for range n {
		e, err := f.cell.StartEntry(region, region+"-a")
		f.must(err)
		out = append(out, e)
	}
	f.must(f.cell.AwaitReady(f.ctx))
	return out
}

// TestRegionVanishesAndComesBack kills every entry of one region with jobs accepted
// there. The list calls them gone, the other region's group takes the jobs over, and
// gives those that still run back to the entries that come up there again.
func TestRegionVanishesAndComesBack(t *testing.T) {
	t.Run("with its workers", func(t *testing.T) {
		t.Parallel()
		testRegionVanishes(t, func(f *failureTest, workers []*standin.RunningWorker) {
			for _, w := range workers {
				w.Kill()
				f.cell.Recorder("test").Record(event.Event{Type: event.FaultInjected, Worker: w.ID(), State: checker.FaultKilled})
			}
		}, func(f *failureTest, workers []*standin.RunningWorker) {
			for _, w := range workers {
				f.must(f.cell.Standins.List().SetState(w.ID(), structs.WorkerRemoved))
			}
		})
	})
	t.Run("its workers run on", func(t *testing.T) {
		t.Parallel()
		nothing := func(*failureTest, []*standin.RunningWorker) {}
		testRegionVanishes(t, nothing, nothing)
	})
}

// testRegionVanishes calls fail with the region's workers when its entries end, and
// gone once the other region has taken over.
func testRegionVanishes(t *testing.T, fail, gone func(*failureTest, []*standin.RunningWorker)) {
	f := newCellTest(t, regionsTopology, testBound)
	f.startRegion("casa", 2)
	fes := f.startRegion("fes", 2)
	f.configure()
	c := f.cell.NewCaller("caller")
	var ids []string
	for range 4 {
		ids = append(ids, f.submit(c, "reconcile", 2, 10, 2*time.Second)...)
		ids = append(ids, f.submit(c, "reconcile", 2, 2, longerThanLeases)...)
		ids = append(ids, f.submit(c, "summary", 1, 6, 2*time.Second)...)
	}
	f.await("some tasks run", func() bool { return f.count(event.TaskRun) > 30 })
	var workers []*standin.RunningWorker
	for _, w := range f.cell.Standins.Workers() {
		if w.Description.Region == "fes" {
			workers = append(workers, w)
		}
	}
	for _, e := range fes {
		e.Kill()
		<-e.Done()
	}
	fail(f, workers)
	f.showGone(fes)
	f.await("the region's members are removed", func() bool { return f.count(event.MemberRemoved) >= 2*len(fes) })
	gone(f, workers)
	f.await("a job of the region ends elsewhere", func() bool {
		return slices.ContainsFunc(f.cell.Events(), func(e event.Event) bool {
			elsewhere := !slices.ContainsFunc(fes, func(o *Entry) bool { return o.Member().ID == e.Proc })
			return e.Type == event.JobEnded && structs.JobGroup(e.Job) == "fes-0" && elsewhere
		})
	})
	f.startRegion("fes", 2)
	f.complete(c, ids)
	f.complete(c, f.submit(c, "reconcile", 4, 6, 100*time.Millisecond))
	f.check()
}
