package embedded

import (
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin/logsvc"
	"dotterelhitch/internal/structs"
)

// setClass states a target on the current version of a class and records what the
// operator was told.
func (f *failureTest) setClass(name string, within time.Duration) {
	f.t.Helper()
	var base int64
	if current, err := f.cell.Operator().Class(f.ctx, name); err == nil {
		base = current.Version
	}
	class := structs.Class{Name: name, Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(within)}}
	change, err := f.cell.Operator().SetClass(f.ctx, class, base)
	f.must(err)
	if !change.Accepted {
		f.t.Fatalf("class %s was not accepted: %+v", name, change)
	}
	f.cell.Recorder("operator").Record(event.Event{Type: event.ClassAccepted, Class: name, Version: change.Version})
}

// inForce reports whether every live entry has a version of a class.
func (f *failureTest) inForce(name string, within time.Duration) bool {
	for _, e := range f.cell.LiveEntries() {
		c, ok := e.Class(name)
		if !ok || c.Target.StartWithin.AsDuration() != within {
			return false
		}
	}
	return true
}

// controlNext is the offset of the next record of the control stream.
func (f *failureTest) controlNext() int64 {
	return f.cell.Standins.Log().Read("control", 1, 1).NextOffset
}

// TestConfigurationSurvivesRetentionAndLostAnswers lets the log forget old records and
// lose the answers of appends; fresh entries find every change by a snapshot, and
// none is ever older than one in force before.
func TestConfigurationSurvivesRetentionAndLostAnswers(t *testing.T) {
	f := newFailureTest(t, 2)
	keep := 12
	for round := range 3 {
		f.change(logsvc.FaultChange{LostAnswers: &logsvc.LostAnswers{Count: 2, Stream: "control"}})
		f.setClass("a", time.Duration(round+1)*time.Second)
	}
	f.setClass("b", time.Second)
	before := f.controlNext()
	f.await("two snapshots of the control stream", func() bool { return f.controlNext() >= before+2 })
	f.change(logsvc.FaultChange{MaxRecords: &keep})
	f.setClass("b", 2*time.Second)
	f.startEntry()
	f.must(f.cell.AwaitReady(f.ctx))
	f.await("every change at every entry", func() bool {
		return f.inForce("a", 3*time.Second) && f.inForce("b", 2*time.Second)
	})
	c := f.cell.NewCaller("caller")
	f.complete(c, f.submit(c, "a", 2, 8, 100*time.Millisecond))
	f.check()
}

// TestLeavingWorkersGetNoNewWork declares workers as leaving while jobs come.
func TestLeavingWorkersGetNoNewWork(t *testing.T) {
	f := newFailureTest(t, 3)
	c := f.cell.NewCaller("caller")
	stop := make(chan struct{})
	wait := f.requests(c, stop, true)
	ids := f.submit(c, "reconcile", 4, 10, 300*time.Millisecond)
	for _, w := range f.cell.Standins.Workers()[:3] {
		change, err := f.cell.Operator().SetLeaving(f.ctx, structs.LeavingDeclaration{Instance: w.ID()}, false, 0)
		f.must(err)
		f.cell.Recorder("operator").Record(event.Event{Type: event.LeavingAccepted, Worker: w.ID(), Version: change.Version})
	}
	ids = append(ids, f.submit(c, "reconcile", 20, 10, 300*time.Millisecond)...)
	f.complete(c, ids)
	close(stop)
	wait()
	if r := f.check(); r.Checked.LeavingDeclarations != 3 {
		t.Errorf("%d declarations checked, want 3", r.Checked.LeavingDeclarations)
	}
}
