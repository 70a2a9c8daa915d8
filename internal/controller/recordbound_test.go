package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// TestStartRecordKeepsItsBound guards against records of more than maxRecordedStarts starts: one step of many small tasks
// fits a worker at once, and no start gets an answer.
func TestStartRecordKeepsItsBound(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(1, 1000*1000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.delayedOrderShare = 1
	sim.submit(simpleJob("j1", "batch", 6*maxRecordedStarts, 10, nil))
	longest, bytes := 0, 0
	for range 200 {
		sim.advance(10 * time.Millisecond)
		for key, value := range sim.store {
			var starts []storedStart
			if strings.HasPrefix(key, startRecordPrefix) && json.Unmarshal(value, &starts) == nil && len(starts) > longest {
				longest, bytes = len(starts), len(value)
			}
		}
	}
	t.Logf("the longest record has %d starts and %d bytes", longest, bytes)
	if longest > maxRecordedStarts {
		t.Errorf("a record has %d starts, want at most %d", longest, maxRecordedStarts)
	}
}

// TestRepetitionIsRecordedBeforeItIsSent guards against a successor that takes a listed run for the only copy of its start: a
// start without an answer is sent again once the store says that it may have been, and not before.
func TestRepetitionIsRecordedBeforeItIsSent(t *testing.T) {
	h, b := newCellWithJobToRecord(t, 2, simpleJob("j1", "batch", 1, 1000, nil))
	h.ctl.BatchStored(b, h.sim.now)
	starts := h.startsNow()
	if len(starts) != 1 {
		t.Fatalf("%d starts are sent, want 1", len(starts))
	}
	h.ctl.StartDone(starts[0].Worker, starts[0].Run, NoResponse, 0, h.sim.now, h.sim.now)
	for range 20 {
		h.sim.advance(10 * time.Millisecond)
		h.ctl.ConfirmEpoch(h.sim.now)
		if n := len(h.startsNow()); n > 0 {
			t.Fatalf("%d starts are sent again before that is stored", n)
		}
	}
	h.store()
	for range 20 {
		h.sim.advance(10 * time.Millisecond)
		h.ctl.ConfirmEpoch(h.sim.now)
		if n := len(h.startsNow()); n > 0 {
			return
		}
	}
	t.Error("the start is not sent again once that is stored")
}

// TestSuccessorWaitsForALateStartOnASilentWorker guards against two runs of a task: the start of a former controller is
// carried out late on a worker that never answers the successor, and its lease lasts from then on.
func TestSuccessorWaitsForALateStartOnASilentWorker(t *testing.T) {
	sim := newCellWithAStartInFlight(t, "batch")
	late := sim.ctl.jobs["late"].open[0].steps[0].tasks[0].runs[0]
	sim.workers[late.worker.info.ID].partitioned = true
	sim.startController(true)
	changed := sim.now
	sim.advance(sim.timing.LateStartTime + sim.timing.MaxLease)
	task := sim.ctl.jobs["late"].open[0].steps[0].tasks[0]
	if n := len(task.runs); n > 0 || !task.awaitsLateStart(sim.now) {
		t.Errorf("%d runs %v after the change, want none while a lease from the late start may last", n, sim.now.Sub(changed))
	}
	sim.advance(3 * time.Second)
	if n := len(task.runs); n != 1 {
		t.Errorf("%d runs after every lease has ended, want 1", n)
	}
}

// TestRecordedStartWaitsForAnAcknowledgment guards against a start that was placed before a poll that acknowledges ends was
// sent, and that is recorded while the poll is under way: the worker's next boot may carry out both.
func TestRecordedStartWaitsForAnAcknowledgment(t *testing.T) {
	h, b := newCellWithJobToRecord(t, 1, simpleJob("j1", "batch", 1, 1000, nil))
	w := h.ctl.workers["i-aa"]
	w.polling, w.pollSent, w.acks.inPoll = true, h.sim.now, true
	h.ctl.BatchStored(b, h.sim.now)
	if n := len(h.startsNow()); n > 0 {
		t.Errorf("%d starts are sent while a poll that acknowledges is under way", n)
	}
	h.sim.advance(50 * time.Millisecond)
	h.ctl.PollDone(w.info.ID, h.sim.workers[w.info.ID].pollResult(), w.pollSent, h.sim.now)
	if n := len(h.startsNow()); n != 1 {
		t.Errorf("%d starts are sent once the poll is answered, want 1", n)
	}
}

// TestAnsweredStartIsConfirmedByALaterPoll guards against an acknowledgment for a former boot that drops the end of a start
// without a ticket: the next boot has carried out and answered the start before the controller has heard of that boot.
func TestAnsweredStartIsConfirmedByALaterPoll(t *testing.T) {
	h, b := newCellWithJobToRecord(t, 1, simpleJob("j1", "batch", 1, 1000, nil))
	h.ctl.BatchStored(b, h.sim.now)
	starts := h.startsNow()
	if len(starts) != 1 {
		t.Fatalf("%d starts are sent, want 1", len(starts))
	}
	w, sent := h.ctl.workers["i-aa"], h.sim.now
	h.sim.advance(10 * time.Millisecond)
	h.ctl.StartDone(w.info.ID, starts[0].Run, CarriedOut, 1, sent, h.sim.now)
	if !w.acks.startMayReachLaterBoot(h.sim.now) {
		t.Error("an end may be acknowledged before the known boot has answered a later poll")
	}
	w.acks.confirmStarts(&workload.PollResult{}, sent)
	if !w.acks.startMayReachLaterBoot(h.sim.now) {
		t.Error("a poll that was sent before the answer confirms the start")
	}
	w.acks.confirmStarts(&workload.PollResult{}, h.sim.now.Add(time.Millisecond))
	if w.acks.startMayReachLaterBoot(h.sim.now) {
		t.Error("a poll that was sent after the answer does not confirm the start")
	}
}

// TestInheritedStartsCountFromTheEndOfThePredecessors guards against a successor that waits for a recorded start from its
// own beginning, while its predecessor may go on sending until its leader lease ends.
func TestInheritedStartsCountFromTheEndOfThePredecessors(t *testing.T) {
	h, b := newCellWithJobToRecord(t, 1, simpleJob("j1", "batch", 1, 1000, nil))
	h.ctl.BatchStored(b, h.sim.now)
	successor := New(h.ctl.epoch+FencingTokensPerEpoch, h.sim.timing, nil)
	successor.SetConfig(h.sim.config, h.sim.now)
	var stored []Record
	for key, value := range h.sim.store {
		stored = append(stored, Record{Key: key, Value: value})
	}
	stored = append(stored, b.Records...)
	successor.Load(stored, h.sim.now)
	end := h.sim.now.Add(5 * time.Second)
	successor.SetPredecessorsExpiry(end)
	if len(successor.inheritedStarts) != 1 {
		t.Fatalf("%d starts are inherited, want 1", len(successor.inheritedStarts))
	}
	if got, want := successor.inheritedStarts[0].arrivesUntil, end.Add(h.sim.timing.LateStartTime); !got.Equal(want) {
		t.Errorf("the start may arrive until %v after the end of the predecessors, want %v", got.Sub(end), want.Sub(end))
	}
}

// TestStartIsWithdrawnWhenItsWorkerFallsSilent guards against a run that holds its task while its start waits for the
// record of a worker that does not answer.
func TestStartIsWithdrawnWhenItsWorkerFallsSilent(t *testing.T) {
	h, _ := newCellWithJobToRecord(t, 1, simpleJob("j1", "batch", 1, 1000, nil))
	h.ctl.PollFailed("i-aa", NoResponse, h.sim.now)
	if n := h.runCount("j1"); n != 0 {
		t.Errorf("%d runs, want none", n)
	}
}
