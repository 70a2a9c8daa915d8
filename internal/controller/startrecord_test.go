package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// newCellWithJobToRecord returns a cell of some workers, and a stored job of the class batch whose starts are in the
// returned batch and not sent.
func newCellWithJobToRecord(t *testing.T, workers int, job *workload.Job) (*handDelivery, *Batch) {
	sim := newSimulation(t, 1)
	sim.addWorkers(workers, 4000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	h := newHandDelivery(sim)
	h.deliverFor(50 * time.Millisecond)
	h.submit(job)
	h.sim.advance(20 * time.Millisecond)
	h.ctl.ConfirmEpoch(h.sim.now)
	o := h.ctl.NextOrders(h.sim.now)
	if len(o.Starts) > 0 {
		t.Fatalf("%d starts are sent before they are recorded", len(o.Starts))
	}
	h.deliver(Orders{Polls: o.Polls})
	b := h.ctl.NextBatch()
	if b == nil || !slices.ContainsFunc(b.Records, isStartRecord) {
		t.Fatal("no record of the start is to be stored")
	}
	return h, b
}

func isStartRecord(r Record) bool { return strings.HasPrefix(r.Key, startRecordPrefix) }

// startsNow returns the starts that are sent now.
func (h *handDelivery) startsNow() []Start {
	o := h.ctl.NextOrders(h.sim.now)
	h.deliver(Orders{Polls: o.Polls})
	return o.Starts
}

// runCount returns the number of runs of a job.
func (h *handDelivery) runCount(job string) int { return h.ctl.jobs[job].runCount }

// TestStartIsRecordedBeforeItIsSent guards against starts that a successor does not know of: a start without a ticket
// leaves once the store has its record, and not before. One that has waited for long is withdrawn and recorded anew.
func TestStartIsRecordedBeforeItIsSent(t *testing.T) {
	for name, wait := range map[string]time.Duration{"in time": maxRecordWait - 5*time.Millisecond, "late": 4 * maxRecordWait} {
		t.Run(name, func(t *testing.T) {
			h, b := newCellWithJobToRecord(t, 2, simpleJob("j1", "batch", 1, 1000, nil))
			for end := h.sim.now.Add(wait); h.sim.now.Before(end); {
				h.sim.advance(5 * time.Millisecond)
				h.ctl.ConfirmEpoch(h.sim.now)
				if n := len(h.startsNow()); n > 0 {
					t.Fatalf("%d starts are sent before their record is stored", n)
				}
			}
			h.ctl.BatchStored(b, h.sim.now)
			want := 1
			if wait > maxRecordWait {
				want = 0
			}
			if n := len(h.startsNow()); n != want {
				t.Errorf("%d starts are sent once their record is stored, want %d", n, want)
			}
			h.sim.advance(minPlacementInterval)
			h.startsNow()
			h.store()
			if n := len(h.startsNow()); n != 1-want {
				t.Errorf("%d starts are sent with the next batch, want %d", n, 1-want)
			}
		})
	}
}

// TestStartWithATicketIsNotRecorded guards against a delay of starts with tickets, which need no record.
func TestStartWithATicketIsNotRecorded(t *testing.T) {
	sim := newSimulationWithController(t, 2, 4000)
	sim.allowedShare = 1
	sim.submit(simpleJob("j1", "gang", 1, 1000, nil))
	sim.submit(simpleJob("j2", "batch", 1, 1000, func(s *workload.Step) { s.AllowCopies = true }))
	for sim.startsSent < 2 {
		sim.advance(time.Millisecond)
		if n := len(sim.ctl.startRecords); n > 0 {
			t.Fatalf("%d workers have records of starts", n)
		}
		if sim.now.Sub(simulationStart) > 2*time.Second {
			t.Fatalf("%d starts, want 2", sim.startsSent)
		}
	}
	for _, job := range []string{"j1", "j2"} {
		if r := sim.ctl.jobs[job].open[0].steps[0].tasks[0].runs[0]; r.awaitsRecord || r.startSent.IsZero() {
			t.Errorf("the start of %s waits for a record", job)
		}
	}
}

// TestStartIsWithdrawnWithItsWorker guards against a start that is sent to a worker which takes none any more by the time
// that the record is stored, and against a task that waits for a start that was not sent.
func TestStartIsWithdrawnWithItsWorker(t *testing.T) {
	changes := map[string]func(h *handDelivery, f *fakeWorker){
		"silent":    func(h *handDelivery, f *fakeWorker) { h.ctl.PollFailed(f.id, NoResponse, h.sim.now) },
		"unlisted":  func(h *handDelivery, f *fakeWorker) { h.ctl.UnlistWorker(f.id, h.sim.now) },
		"restarted": func(h *handDelivery, f *fakeWorker) { f.restart(); h.deliverFor(100 * time.Millisecond) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			h, b := newCellWithJobToRecord(t, 2, simpleJob("j1", "batch", 1, 1000, nil))
			task := h.ctl.jobs["j1"].open[0].steps[0].tasks[0]
			w, number := task.runs[0].worker, task.runs[0].number
			change(h, h.sim.workers[w.info.ID])
			h.ctl.BatchStored(b, h.sim.now)
			for _, s := range h.startsNow() {
				if s.Run.Number == number {
					t.Errorf("the start is sent to %s", s.Worker)
				}
			}
			if task.awaitsLateStart(h.sim.now) {
				t.Error("the task waits for a start that was not sent")
			}
			h.deliverFor(3 * time.Second)
			h.requireCompleted(t, "j1")
			if len(task.crashes) > 0 {
				t.Errorf("%d crashes count for a run that was not started", len(task.crashes))
			}
		})
	}
}

// TestStoppedRunIsNotStarted guards against the start of a run whose job was cancelled while the record was stored, and
// against room that stays taken for it.
func TestStoppedRunIsNotStarted(t *testing.T) {
	h, b := newCellWithJobToRecord(t, 2, simpleJob("j1", "batch", 1, 1000, nil))
	h.ctl.Cancel("j1", h.sim.now)
	h.ctl.BatchStored(b, h.sim.now)
	if n := len(h.startsNow()); n > 0 {
		t.Errorf("%d starts of a cancelled job are sent", n)
	}
	h.deliverFor(100 * time.Millisecond)
	for _, w := range h.ctl.workers {
		if !w.used.IsZero() {
			t.Errorf("%v is in use on %s", w.used, w.info.ID)
		}
	}
}

// TestStartIsNotSentWithoutTheLeaderLease guards against a start by a controller that may have been replaced while the
// record was stored.
func TestStartIsNotSentWithoutTheLeaderLease(t *testing.T) {
	h, b := newCellWithJobToRecord(t, 2, simpleJob("j1", "batch", 1, 1000, nil))
	h.sim.advance(h.sim.timing.LeaderLease.MaxLease + time.Second)
	h.ctl.BatchStored(b, h.sim.now)
	if n := len(h.startsNow()); n > 0 {
		t.Errorf("%d starts are sent without the leader lease", n)
	}
	if n := h.runCount("j1"); n > 0 {
		t.Errorf("%d runs are kept", n)
	}
	h.deliverFor(3 * time.Second)
	h.requireCompleted(t, "j1")
}

// TestGangIsWithdrawnTogether guards against members that are started, and wait for the others, although the start of one
// of them was withdrawn.
func TestGangIsWithdrawnTogether(t *testing.T) {
	job := simpleJob("j1", "batch", 4, 2000, func(s *workload.Step) { s.Gang = true })
	h, b := newCellWithJobToRecord(t, 3, job)
	first := h.ctl.jobs["j1"].open[0].steps[0].tasks[0].runs[0]
	h.ctl.UnlistWorker(first.worker.info.ID, h.sim.now)
	h.ctl.BatchStored(b, h.sim.now)
	for _, s := range h.startsNow() {
		if s.Run.Number == first.number {
			t.Errorf("%s is started", s.Run)
		}
	}
	h.deliverFor(5 * time.Second)
	h.requireCompleted(t, "j1")
}

// TestStartsGoOnAfterAnOutageOfTheStore guards against starts that are sent without a record while the store is down, and
// against tasks that are not started once it is back.
func TestStartsGoOnAfterAnOutageOfTheStore(t *testing.T) {
	sim := newSimulationWithController(t, 3, 4000)
	job := simpleJob("j1", "batch", 3, 1000, nil)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].DependsOn = []int{0}
	sim.submit(job)
	sim.advance(500 * time.Millisecond)
	sim.storeDown = true
	sim.advance(3 * time.Second)
	if n := len(sim.runningOf("j1")); n > 0 {
		t.Errorf("%d tasks run although the store has no record of their starts", n)
	}
	sim.storeDown = false
	sim.advance(1500 * time.Millisecond)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// runningOf returns the workers that run tasks of a job, once for each run.
func (sim *simulation) runningOf(job string) []*fakeWorker {
	var out []*fakeWorker
	for _, f := range sim.workers {
		for id := range f.runs {
			if id.Job == job {
				out = append(out, f)
			}
		}
	}
	return out
}

// newCellWithAStartInFlight returns a simulation in which the start of one of two tasks gets no answer and the other task
// runs.
func newCellWithAStartInFlight(t *testing.T, class string) *simulation {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(2, 4000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Minute, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.submit(simpleJob("answered", class, 1, 1000, nil))
	sim.advance(time.Second)
	sim.submit(simpleJob("late", class, 1, 1000, nil))
	sim.startsSent = 0
	for sim.ctl.jobs["late"].runCount == 0 || sim.ctl.jobs["late"].open[0].steps[0].tasks[0].runs[0].startSent.IsZero() {
		sim.delayedOrderShare = 1
		sim.advance(time.Millisecond)
		if sim.now.Sub(simulationStart) > 5*time.Second {
			t.Fatal("no start is sent")
		}
	}
	sim.advance(20 * time.Millisecond)
	sim.delayedOrderShare = 0
	return sim
}

// TestSuccessorWaitsForAnUnansweredStart guards against two runs of a task: its start, without an answer, is carried out
// late, after a change of the controller. The run of a start that was answered is adopted at once.
func TestSuccessorWaitsForAnUnansweredStart(t *testing.T) {
	sim := newCellWithAStartInFlight(t, "batch")
	sim.startController(true)
	changed := sim.now
	sim.advance(time.Second)
	if n := len(sim.ctl.jobs["answered"].open[0].steps[0].tasks[0].runs); n != 1 {
		t.Errorf("%d runs of the answered start are adopted, want 1", n)
	}
	if starts := sim.ctl.jobs["answered"].open[0].steps[0].tasks[0].unansweredStarts; len(starts) > 0 {
		t.Errorf("%d starts of a task are waited for whose run is listed", len(starts))
	}
	late := sim.ctl.jobs["late"].open[0].steps[0].tasks[0]
	if !late.awaitsLateStart(sim.now) {
		t.Fatal("the task does not wait for the start of the former controller")
	}
	if got := late.step.whyNotStartable(sim.now); got != WaitLateStart {
		t.Errorf("the task waits since %q", got)
	}
	sim.advance(changed.Add(sim.timing.LateStartTime + 2*time.Second).Sub(sim.now))
	if n := len(late.runs); n != 1 {
		t.Errorf("%d runs once the start can't arrive any more, want 1", n)
	}
}

// TestSuccessorDoesNotWaitForStartsWithTickets guards against a wait at a takeover for tasks whose starts bear tickets.
func TestSuccessorDoesNotWaitForStartsWithTickets(t *testing.T) {
	sim := newCellWithAStartInFlight(t, "gang")
	sim.startController(true)
	sim.advance(1500 * time.Millisecond)
	if n := len(sim.runningOf("late")); n != 1 {
		t.Errorf("%d runs of the task 1.5 s after the change, want 1", n)
	}
}

// TestSuccessorHoldsAcknowledgmentOfALateStart guards against a start after an acknowledged end: the run of the second copy
// of a start is done, the controller is replaced, and a boot of the worker carries out the first copy.
func TestSuccessorHoldsAcknowledgmentOfALateStart(t *testing.T) {
	for _, change := range []string{"before the end", "after the end"} {
		t.Run(change, func(t *testing.T) {
			h, late := newCellWithAnUnansweredStart(t, NoResponse, 300*time.Millisecond)
			sim := h.sim
			if change == "after the end" {
				h.deliverFor(600 * time.Millisecond)
				h.requireCompleted(t, "j1")
			} else {
				h.deliverFor(100 * time.Millisecond)
			}
			sim.ctl = h.ctl
			sim.startController(true)
			changed := sim.now
			sim.advance(sim.timing.LateStartTime - 100*time.Millisecond)
			if got := sim.state("j1"); got != workload.JobCompleted {
				t.Errorf("state %q, want completed", got)
			}
			if sim.ackedDone[late.Run.Task] {
				t.Fatal("the end is acknowledged while the start may arrive")
			}
			sim.advance(changed.Add(sim.timing.LateStartTime + time.Second).Sub(sim.now))
			if !sim.ackedDone[late.Run.Task] {
				t.Error("the end is not acknowledged once the start can't arrive any more")
			}
		})
	}
}

// TestAnsweredStartsLeaveTheRecordWithTheNextBatch guards against records that grow, and against appends that store nothing
// but that a start was answered.
func TestAnsweredStartsLeaveTheRecordWithTheNextBatch(t *testing.T) {
	sim := newSimulationWithController(t, 1, 4000)
	sim.submit(simpleJob("j1", "batch", 2, 1000, nil))
	sim.advance(500 * time.Millisecond)
	if sim.store[startRecordPrefix+"i-aa"] == nil {
		t.Fatal("no record of starts is stored")
	}
	if sim.ctl.dirty.startRecords {
		t.Error("an answer has the record stored")
	}
	sim.advance(3 * time.Second)
	if record := sim.store[startRecordPrefix+"i-aa"]; record != nil {
		t.Errorf("the record is %s after the end of the job, want none", record)
	}
}

// TestUnreadableStartRecords guards against a controller that ends, or forgets jobs, because a record of starts can't be
// read.
func TestUnreadableStartRecords(t *testing.T) {
	for _, record := range []string{"{", "null", `[{"t":"j1","r":1}]`, `[{"t":"j1.0.9.9","r":-1},{"t":"j9.0.0.0","r":1}]`} {
		sim := newSimulationWithController(t, 1, 4000)
		sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
			return 3 * time.Second, workload.EndDone
		}
		sim.submit(simpleJob("j1", "batch", 1, 1000, nil))
		sim.advance(500 * time.Millisecond)
		sim.store[startRecordPrefix+"i-aa"] = []byte(record)
		sim.store[startRecordPrefix+"i-zz"] = []byte(record)
		alarms := 0
		sim.observe = func(e event.Event) {
			if e.Type == event.Alarm {
				alarms++
			}
		}
		sim.startController(true)
		sim.advance(10 * time.Second)
		if got := sim.state("j1"); got != workload.JobCompleted {
			t.Errorf("%s: state %q, want completed", record, got)
		}
		if readable := record == "null" || strings.Contains(record, "j9"); (alarms == 0) != readable {
			t.Errorf("%s: %d alarms", record, alarms)
		}
	}
}

// TestFullStartRecordTakesNoMoreStarts guards against a record that is larger than the store takes.
func TestFullStartRecordTakesNoMoreStarts(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(1, 1000*1000)
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	sim.delayedOrderShare = 1
	for i := range 20 {
		sim.submit(simpleJob(fmt.Sprintf("j%d", i), "batch", 60, 10, nil))
	}
	sim.advance(2 * time.Second)
	const recordBytes = 262144
	longest := 0
	for key, value := range sim.store {
		if strings.HasPrefix(key, startRecordPrefix) {
			longest = max(longest, len(value))
		}
	}
	if longest == 0 || longest > recordBytes/4 {
		t.Errorf("the longest record of starts has %d bytes", longest)
	}
	sim.endFaults()
	sim.advance(120 * time.Second)
	sim.checkAllJobsEnded()
}

// TestStartRecordsStayWithinTheBatch guards against a batch that the store refuses, which ends the controller's term: the
// records of starts do not count towards the size limit of a batch.
func TestStartRecordsStayWithinTheBatch(t *testing.T) {
	const (
		workers   = 250
		callBytes = 2 << 20 // the platform's limit for one append
	)
	c := New(FencingTokensPerEpoch, newSimulation(t, 1).timing, func(event.Event) {})
	s := &step{def: &workload.Step{}, occ: &occurrence{job: &job{spec: &workload.Job{ID: "000000010006000c"}}}}
	for i := range workers {
		w := newWorker(workload.Worker{ID: fmt.Sprintf("i-%08x", i)}, c.epoch)
		for k := range maxRecordedStarts {
			c.recordStart(&run{task: &task{step: s, index: i*maxRecordedStarts + k}, number: 12289, worker: w, awaitsRecord: true})
		}
	}
	b, size := c.NextBatch(), 0
	for _, r := range b.Records {
		size += len(r.Key) + len(r.Value)
	}
	t.Logf("%d records of %d bytes", len(b.Records), size)
	if size > callBytes {
		t.Errorf("a batch has %d bytes, the store takes %d", size, callBytes)
	}
}
