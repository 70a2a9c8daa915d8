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

// startUnfenced starts an entry that counts on no fence at the workers.
func (f *failureTest) startUnfenced(adjust func(*settings.Entry)) *Entry {
	f.t.Helper()
	f.cell.cfg.AdjustSettings = func(s *settings.Entry) {
		adjust(s)
		s.WorkerFencing = false
	}
	return f.startEntry()
}

// TestNewOwnerWaitsForTheFormerOne kills an owner of workers that refuse no old epoch.
// The new owner can't know that it is dead, so it gives no work to them before the
// authority of the former one has certainly ended.
func TestNewOwnerWaitsForTheFormerOne(t *testing.T) {
	f := newCellTest(t, topology, testBound)
	for range 3 {
		f.startUnfenced(shortTiming)
	}
	f.configure()
	c := f.cell.NewCaller("caller")
	ids := f.submit(c, "reconcile", 10, 40, 300*time.Millisecond)
	f.await("some tasks run", func() bool { return f.count(event.TaskRun) > 100 })
	former := f.cell.LiveEntries()[0]
	owned := map[string]bool{}
	for _, e := range f.cell.Events() {
		if e.Type == event.WorkerGained {
			owned[e.Worker] = e.Member == former.Member().ID
		}
	}
	former.Kill()
	f.complete(c, ids)
	var settings settings.Entry
	shortTiming(&settings)
	var removed time.Time
	for _, e := range f.cell.Events() {
		at := time.UnixMicro(e.Time.Micros)
		switch {
		case e.Type == event.MemberRemoved && e.Member == former.Member().ID && removed.IsZero():
			removed = at
		case e.Type == event.TaskRun && owned[e.Worker] && !removed.IsZero() && at.Sub(removed) < settings.Timing.Authority:
			t.Errorf("%s began on %s %v after the removal of its former owner, whose authority lasts %v",
				e.Task, e.Worker, at.Sub(removed), settings.Timing.Authority)
		}
	}
	if removed.IsZero() {
		t.Error("the dead member was not removed")
	}
	f.check()
}

// TestWorkersThatRefuseNoOldEpoch runs a cell whose workers obey every owner, under
// more work than they hold, while a member is cut off from the log, another joins and
// dies, and a worker is paused past its leases.
func TestWorkersThatRefuseNoOldEpoch(t *testing.T) {
	// A submission through the member without the log takes long to fail.
	f := newCellTest(t, topology, 2*testBound)
	accept := true
	for _, w := range f.cell.Standins.Workers() {
		f.must(w.ChangeFaults(workersvc.FaultChange{AcceptStaleEpochs: &accept}))
	}
	link, throughLink := f.relayPlatform()
	start := f.startUnfenced
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
