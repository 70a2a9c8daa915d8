package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// TestStartsWithoutAuthority checks that, of the starts that are sent while the entry
// has no authority, only those that were never sent before fail. The others are sent
// again.
func TestStartsWithoutAuthority(t *testing.T) {
	e := &Entry{controlQueue: make(chan func())}
	e.ctx, e.stop = context.WithCancel(t.Context())
	e.core = &core{e: e}
	t.Cleanup(e.stop)
	go func() {
		for {
			select {
			case f := <-e.controlQueue:
				f()
			case <-e.ctx.Done():
				return
			}
		}
	}()
	codes := map[structs.TaskID]structs.Code{}
	start := func(id structs.TaskID, sent bool) queuedStart {
		return queuedStart{
			task: worker.TaskStart{TaskRef: worker.TaskRef{Task: id, Attempt: 1}}, sent: sent,
			done: func(k fleet.RunKey, err error) { codes[k.Task] = structs.CodeOf(err) },
		}
	}
	a := &agent{e: e, wake: make(chan struct{}, 1)}
	a.sendStarts(t.Context(), []queuedStart{start("g:j#0", true), start("g:j#1", false)})
	if len(codes) != 1 || codes["g:j#1"] != structs.CodeNoAuthority {
		t.Fatalf("codes %v, want only the start that was never sent refused", codes)
	}
	<-a.wake
	if starts, _, _ := a.dequeueAll(); len(starts) != 1 || starts[0].task.Task != "g:j#0" {
		t.Errorf("queued again: %+v, want the start that was sent before", starts)
	}
}

// TestRefusedRepeatOfAStart guards against tasks that run twice: the answer to a start is lost, and
// the worker refuses the repeated start. The first one may have taken effect, so the run still
// counts, until its stop is answered.
func TestRefusedRepeatOfAStart(t *testing.T) {
	for name, refusal := range map[string]string{
		"the call is refused": `{"error":{"code":"draining","message":"shutting down"}}`,
		"the task is refused": `{"results":[{"task":"g:j#0","attempt":1,"error":{"code":"no_capacity","message":"full"}}]}`,
	} {
		t.Run(name, func(t *testing.T) { playRefusedRepeat(t, refusal) })
	}
}

func playRefusedRepeat(t *testing.T, refusal string) {
	var starts atomic.Int64
	stops := make(chan struct{}, 10)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/stops":
			stops <- struct{}{}
			httpx.WriteJSON(w, http.StatusOK, worker.TaskResults{Results: []worker.TaskResult{{TaskRef: worker.TaskRef{Task: "g:j#0", Attempt: 1}}}})
		case starts.Add(1) == 1:
			panic(http.ErrAbortHandler)
		case strings.Contains(refusal, "results"):
			_, _ = w.Write([]byte(refusal))
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(refusal))
		}
	}))
	t.Cleanup(srv.Close)
	now := time.Now()
	e := &Entry{controlQueue: make(chan func())}
	e.ctx, e.stop = context.WithCancel(t.Context())
	t.Cleanup(e.stop)
	e.member.ID = "m-1"
	e.core = &core{e: e, joined: true, fleet: fleet.New(fleet.Timing{Lease: time.Minute})}
	cfg := authority.Config{AuthorityValidity: time.Minute}
	granted := authority.New(cfg, "m-1", authority.NewAttester(cfg, now))
	granted.SetTable(1, []string{"m-1"})
	granted.ObserveTail(authority.TailRead{Start: now, Epoch: 1})
	e.core.membership = &membershipState{authority: granted}
	size := structs.Resources{CPUMilli: 1000, MemoryMiB: 1}
	e.core.fleet.AddWorker(structs.Worker{ID: "w-1", Size: size, State: structs.WorkerLive}, 1, now)
	e.core.fleet.ApplyInventory("w-1", worker.Inventory{Full: true}, true, now, now)
	ask := scheduler.PlacementRequest{Job: "g:j", Class: "c", Kind: structs.KindBatch, Size: size, Tasks: []scheduler.TaskRef{{Task: "g:j#0", Attempt: 1}}}
	placed, why := e.core.fleet.Place(fleet.TaskRequest{Placement: ask, DeclaredSize: size}, now)
	if why != nil || len(placed) != 1 {
		t.Fatalf("placed %v: %v", placed, why)
	}
	key := placed[0].Key()
	go func() {
		for {
			select {
			case f := <-e.controlQueue:
				f()
			case <-e.ctx.Done():
				return
			}
		}
	}()
	a := &agent{e: e, info: structs.Worker{ID: "w-1"}, epoch: 1, fenced: true, wake: make(chan struct{}, 1), client: worker.New(worker.Config{Addr: strings.TrimPrefix(srv.URL, "http://")})}
	codes := make(chan structs.Code, 10)
	first := queuedStart{task: worker.TaskStart{TaskRef: worker.TaskRef{Task: "g:j#0", Attempt: 1}}, done: func(k fleet.RunKey, err error) {
		e.core.startDone(k, err, nil)
		codes <- structs.CodeOf(err)
	}}
	for i, want := range []structs.Code{structs.CodeUnknown, structs.CodeUnknown} {
		repeat := first
		repeat.sent = i > 0
		a.sendStarts(t.Context(), []queuedStart{repeat})
		if got := <-codes; got != want {
			t.Errorf("call %d: %s, want %s", i+1, got, want)
		}
	}
	var state structs.AllocState
	e.runOnControl(func() {
		if alloc := e.core.fleet.Alloc(key); alloc != nil {
			state = alloc.State
		}
	})
	if state != structs.AllocStarting {
		t.Fatalf("the run is %q after the refusal, want starting: its first start may have taken effect", state)
	}
	a.sendStops(t.Context(), func() []queuedStop { _, queued, _ := a.dequeueAll(); return queued }())
	<-stops
	e.runOnControl(func() { state = e.core.fleet.Alloc(key).State })
	if state != structs.AllocStopped {
		t.Errorf("the run is %q after its stop, want stopped", state)
	}
}
