package embedded

import (
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/standin/workersvc"
)

// seen reports whether an event of a type names an entry.
func (f *failureTest) seen(t event.Type, of *Entry) bool {
	return slices.ContainsFunc(f.cell.Events(), func(e event.Event) bool {
		return e.Type == t && e.Member == of.Member().ID
	})
}

// TestWorkersThatRefuseNoOldEpoch runs a cell whose workers obey every owner, under
// more work than they hold, while a member is cut off from the log, another joins and
// dies, and a worker is paused past its leases.
func TestWorkersThatRefuseNoOldEpoch(t *testing.T) {
	f := newCellTest(t, topology, testBound)
	accept := true
	for _, w := range f.cell.Standins.Workers() {
		f.must(w.Change(workersvc.Change{AcceptStale: &accept}))
	}
	link, throughLink := f.relayPlatform()
	start := func(adjust func(*settings.Entry)) *Entry {
		f.cell.cfg.Adjust = func(s *settings.Entry) {
			adjust(s)
			s.WorkerFencing = false
		}
		return f.startEntry()
	}
	start(throughLink)
	start(shortTiming)
	start(shortTiming)
	f.configure()
	c := f.cell.NewCaller("caller")
	stop := make(chan struct{})
	keyed := f.keyed(c, stop)
	ids := f.submit(c, "reconcile", 24, 40, 600*time.Millisecond)
	f.await("some tasks run", func() bool { return f.count(event.TaskRun) > 100 })

	link.Cut()
	joined := start(shortTiming)
	f.await("the entry joins", func() bool { return f.seen(event.MemberJoined, joined) })
	ids = append(ids, f.submit(c, "reconcile", 8, 40, 300*time.Millisecond)...)
	link.Heal()
	go f.busyWorkers()[0].Pause(6 * time.Second)
	joined.Kill()
	f.await("the dead member is removed", func() bool { return f.seen(event.MemberRemoved, joined) })
	start(shortTiming)
	f.complete(c, ids)
	close(stop)
	t.Logf("outcomes with keys %v", keyed())
	f.check()
}
