package workersvc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// harness is a worker in virtual time and its evidence.
type harness struct {
	*Worker
	t      *testing.T
	events []event.Event
}

var owner = worker.CommandHeader{Epoch: 5, Owner: "m1"}

// withWorker runs f in virtual time with a new worker of two slots.
func withWorker(t *testing.T, f func(h *harness)) {
	withSize(t, structs.Resources{CPUMilli: 4000}, f)
}

// withSize is withWorker with a worker of a size.
func withSize(t *testing.T, size structs.Resources, f func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t}
		recorder := event.NewRecorder("w1", &event.Clock{}, nil)
		recorder.OnEvent(func(e event.Event) { h.events = append(h.events, e) })
		h.Worker = New(Config{
			Worker:      structs.Worker{ID: "w1", Slots: 2, Size: size},
			Recorder:    recorder,
			ServiceTime: 10 * time.Millisecond,
			UsageLag:    200 * time.Millisecond,
		})
		defer h.Close()
		f(h)
	})
}

func (h *harness) start(task structs.TaskID, run, lease time.Duration, payload string) worker.TaskRef {
	h.t.Helper()
	ref := worker.TaskRef{Task: task, Attempt: 1}
	out, err := h.StartTasks(worker.StartRequest{CommandHeader: owner, Tasks: []worker.TaskStart{{
		TaskRef: ref, Class: "batch", Size: structs.Resources{CPUMilli: 1000, MemoryMiB: 100},
		RunMs: run.Milliseconds(), LeaseMs: lease.Milliseconds(), Payload: payload,
	}}})
	if err != nil || out.Results[0].Error != nil {
		h.t.Fatalf("start of %s: %+v, %v", task, out, err)
	}
	return ref
}

func (h *harness) info(ref worker.TaskRef) worker.TaskInfo {
	h.t.Helper()
	inv, _ := h.Inventory()
	for _, info := range inv.Tasks {
		if info.TaskRef == ref {
			return info
		}
	}
	h.t.Fatalf("%v is not in the inventory", ref)
	return worker.TaskInfo{}
}

// wait lets virtual time pass.
func (h *harness) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (h *harness) count(want event.Type) int {
	n := 0
	for _, e := range h.events {
		if e.Type == want {
			n++
		}
	}
	return n
}

func (h *harness) last(want event.Type) event.Event {
	h.t.Helper()
	for i := len(h.events) - 1; i >= 0; i-- {
		if h.events[i].Type == want {
			return h.events[i]
		}
	}
	h.t.Fatalf("no event %s", want)
	return event.Event{}
}

// request sends a request through the handler.
func (h *harness) request(id, body, epoch string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/requests/"+id, strings.NewReader(body))
	r.Header.Set(headerEpoch, epoch)
	r.Header.Set(headerOwner, "m1")
	r.Header.Set(headerDeadline, "1000")
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec
}

func TestTasksEndAsTheirPayloadSays(t *testing.T) {
	withWorker(t, func(h *harness) {
		well := h.start("g:j#0", 100*time.Millisecond, time.Minute, "")
		bad := h.start("g:j#1", time.Hour, time.Minute, "fail-on:w0,w1")
		late := h.start("g:j#2", 100*time.Millisecond, time.Minute, "run:3")
		h.wait(150 * time.Millisecond)
		for ref, want := range map[worker.TaskRef]structs.AllocState{
			well: structs.AllocComplete, bad: structs.AllocFailed, late: structs.AllocRunning,
		} {
			if got := h.info(ref).State; got != want {
				t.Errorf("%s is %s, want %s", ref.Task, got, want)
			}
		}
	})
}

func TestOlderEpochIsRefusedEverywhere(t *testing.T) {
	withWorker(t, func(h *harness) {
		ref := h.start("g:j#0", time.Hour, time.Minute, "")
		old := worker.CommandHeader{Epoch: 4, Owner: "m0"}
		_, fence := h.Fence(old)
		_, start := h.StartTasks(worker.StartRequest{CommandHeader: old})
		_, renew := h.RenewLeases(worker.RenewRequest{CommandHeader: old, LeaseMs: 1000})
		_, stop := h.StopTasks(worker.StopRequest{CommandHeader: old, Tasks: []worker.TaskRef{ref}})
		_, throttle := h.Throttle(worker.ThrottleRequest{CommandHeader: old})
		_, forget := h.Forget(worker.ForgetRequest{CommandHeader: old})
		for i, err := range []error{fence, start, renew, stop, throttle, forget} {
			if structs.CodeOf(err) != structs.CodeStaleEpoch {
				t.Errorf("command %d: %v, want stale_epoch", i, err)
			}
		}
		if rec := h.request("r1", "x", "4"); rec.Code != http.StatusConflict {
			t.Errorf("request: status %d, want 409", rec.Code)
		}
		if h.info(ref).State != structs.AllocRunning || h.count(event.RequestRun) != 0 {
			t.Error("an older epoch had an effect")
		}
	})
}

func TestLeaseLapsesUnlessRenewed(t *testing.T) {
	withWorker(t, func(h *harness) {
		ref := h.start("g:j#0", time.Hour, time.Second, "")
		h.wait(900 * time.Millisecond)
		if _, err := h.RenewLeases(worker.RenewRequest{CommandHeader: owner, LeaseMs: 1000}); err != nil {
			t.Fatal(err)
		}
		h.wait(900 * time.Millisecond)
		if got := h.info(ref).State; got != structs.AllocRunning {
			t.Fatalf("after a renewal the task is %s", got)
		}
		h.wait(200 * time.Millisecond)
		if got := h.info(ref).State; got != structs.AllocStopped {
			t.Fatalf("after the lease the task is %s", got)
		}
		if before, ok := ParseLeaseLapse(h.last(event.TaskEnd).Detail); !ok || before > 10*time.Millisecond {
			t.Errorf("lapse seen %v late, %v", before, ok)
		}
	})
}

func TestPausedWorkerStopsLapsedTasksFirst(t *testing.T) {
	withWorker(t, func(h *harness) {
		ref := h.start("g:j#0", 1500*time.Millisecond, time.Second, "")
		go h.Pause(5 * time.Second)
		h.wait(time.Millisecond)
		renewed, err := h.RenewLeases(worker.RenewRequest{CommandHeader: owner, LeaseMs: 1000})
		if err != nil || renewed.Renewed != 0 {
			t.Errorf("renewed %d, %v: want none", renewed.Renewed, err)
		}
		if got := h.info(ref).State; got != structs.AllocStopped {
			t.Errorf("the task is %s, want stopped", got)
		}
		if before, ok := ParseLeaseLapse(h.last(event.TaskEnd).Detail); !ok || before < 3900*time.Millisecond {
			t.Errorf("lapse seen %v late, %v: want about 4 s", before, ok)
		}
	})
}

func TestStopBeforeStartKeepsTheTaskFromRunning(t *testing.T) {
	withWorker(t, func(h *harness) {
		ref := worker.TaskRef{Task: "g:j#0", Attempt: 1}
		if _, err := h.StopTasks(worker.StopRequest{CommandHeader: owner, Tasks: []worker.TaskRef{ref}}); err != nil {
			t.Fatal(err)
		}
		h.start("g:j#0", time.Hour, time.Minute, "")
		h.start("g:j#1", time.Hour, time.Minute, "")
		h.start("g:j#1", time.Hour, time.Minute, "")
		if got := h.count(event.TaskRun); got != 1 {
			t.Errorf("%d runs recorded, want 1", got)
		}
	})
}

func TestCheckpointResumesAndThrottleSlows(t *testing.T) {
	withWorker(t, func(h *harness) {
		ref := h.start("g:j#0", time.Second, time.Minute, "checkpoint usage:cpu=0.5,mem=2")
		h.wait(250 * time.Millisecond)
		if got, want := h.info(ref).Usage, (structs.Resources{CPUMilli: 500, MemoryMiB: 200}); got != want {
			t.Errorf("usage %+v, want %+v", got, want)
		}
		h.wait(250 * time.Millisecond)
		throttle := worker.ThrottleRequest{CommandHeader: owner, Tasks: []worker.TaskThrottle{{TaskRef: ref, CPUPercent: 10}}}
		if out, err := h.Throttle(throttle); err != nil || out.Results[0].Error != nil {
			t.Fatalf("throttle: %+v, %v", out, err)
		}
		h.wait(time.Second)
		if got := h.info(ref).Usage.CPUMilli; got != 100 {
			t.Errorf("throttled usage %d, want 100", got)
		}
		stop := worker.StopRequest{CommandHeader: owner, Tasks: []worker.TaskRef{ref}, Checkpoint: true}
		if _, err := h.StopTasks(stop); err != nil {
			t.Fatal(err)
		}
		if got := h.info(ref).Checkpoint; got != "600" {
			t.Errorf("checkpoint %q, want 600 ms of progress", got)
		}
	})
}

func TestRequestsFillSlotsAndAreRefusedBeyond(t *testing.T) {
	withWorker(t, func(h *harness) {
		codes := make(chan int, 3)
		for _, id := range []string{"r1", "r2", "r3"} {
			go func() { codes <- h.request(id, "x", "5").Code }()
		}
		h.wait(time.Second)
		got := map[int]int{}
		for range 3 {
			got[<-codes]++
		}
		if got[http.StatusOK] != 2 || got[http.StatusTooManyRequests] != 1 || h.count(event.RequestRun) != 2 {
			t.Errorf("statuses %v, %d runs: want two answers, one refusal", got, h.count(event.RequestRun))
		}
	})
}

func TestDrainAnswersRequestsInFlight(t *testing.T) {
	withWorker(t, func(h *harness) {
		ref := h.start("g:j#0", time.Hour, time.Minute, "checkpoint")
		answered := make(chan *httptest.ResponseRecorder, 1)
		go func() { answered <- h.request("r1", "service-ms=3000;x", "5") }()
		h.wait(time.Second)
		go func() { _ = h.Drain(context.Background()) }()
		h.wait(time.Second)
		if rec := h.request("r2", "x", "5"); rec.Code != http.StatusServiceUnavailable {
			t.Errorf("a request in the drain: status %d, want 503", rec.Code)
		}
		if rec := <-answered; rec.Code != http.StatusOK || rec.Body.String() != string(Answer([]byte("service-ms=3000;x"))) {
			t.Errorf("the request in flight: status %d", rec.Code)
		}
		<-h.DrainDone()
		if info := h.info(ref); info.State != structs.AllocStopped || info.Checkpoint == "" {
			t.Errorf("the task after the drain: %+v", info)
		}
		if h.count(event.WorkerExit) != 1 || h.count(event.RequestAborted) != 0 {
			t.Errorf("%d exits, %d cut", h.count(event.WorkerExit), h.count(event.RequestAborted))
		}
	})
}

func TestLostStopTakesEffect(t *testing.T) {
	withWorker(t, func(h *harness) {
		ref := h.start("g:j#0", time.Hour, time.Minute, "")
		one := 1
		if err := h.ChangeFaults(FaultChange{LoseStops: &one}); err != nil {
			t.Fatal(err)
		}
		body := `{"epoch":5,"owner":"m1","tasks":[{"task":"g:j#0","attempt":1}],"checkpoint":false}`
		func() {
			defer func() {
				if recover() != http.ErrAbortHandler {
					t.Error("the answer was not lost")
				}
			}()
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/stops", strings.NewReader(body)))
		}()
		if got := h.info(ref).State; got != structs.AllocStopped {
			t.Errorf("the task is %s, want stopped", got)
		}
	})
}
