package workersvc

import (
	"context"
	"net/http"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/standin/query"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// Bounds of the interface.
const (
	maxWait       = time.Minute
	maxAdminBytes = 64 << 10
	// gatherChanges is how long a waiting inventory call gathers changes, so that
	// a burst of them costs one answer.
	gatherChanges = 10 * time.Millisecond
	// maxDrain bounds a drain that the admin interface began.
	maxDrain = 5 * time.Minute
)

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/fence", command(w.Fence))
	mux.HandleFunc("POST /v1/tasks", w.losing(startsOf, command(w.StartTasks)))
	mux.HandleFunc("POST /v1/leases", command(w.RenewLeases))
	mux.HandleFunc("POST /v1/stops", w.losing(stopsOf, command(w.StopTasks)))
	mux.HandleFunc("POST /v1/throttles", command(w.Throttle))
	mux.HandleFunc("POST /v1/forgets", command(w.Forget))
	mux.HandleFunc("GET /v1/inventory", w.handleInventory)
	mux.HandleFunc("GET /v1/probe", w.handleProbe)
	mux.HandleFunc("POST /v1/requests/{id}", w.handleRequest)
	mux.HandleFunc("POST /admin/faults", w.handleFaults)
	mux.HandleFunc("POST /admin/pause", w.handlePause)
	mux.HandleFunc("POST /admin/drain", w.handleDrain)
	mux.HandleFunc("GET /admin/status", w.handleStatus)
	handler := w.cfg.Keys.Require(mux)
	if w.cfg.Clock == nil {
		return handler
	}
	return w.cfg.Clock.Middleware(handler)
}

// command serves a call whose body and answer are JSON.
func command[In, Out any](do func(In) (Out, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var in In
		if err := httpx.ReadJSON(r, httpx.MaxJSONBytes, &in); err != nil {
			httpx.WriteError(rw, err)
			return
		}
		out, err := do(in)
		if err != nil {
			httpx.WriteError(rw, err)
			return
		}
		httpx.WriteJSON(rw, http.StatusOK, out)
	}
}

func startsOf(f *Faults) *int { return &f.LoseStarts }

func stopsOf(f *Faults) *int { return &f.LoseStops }

// losing serves a call whose answer is lost after it took effect, as long as the
// fault's count lasts.
func (w *Worker) losing(count func(*Faults) *int, next http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.lock()
		lost := take(count(&w.faults))
		w.mu.Unlock()
		if !lost {
			next(rw, r)
			return
		}
		next(discard{}, r)
		panic(http.ErrAbortHandler)
	}
}

// discard is a response that nobody gets.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

func (w *Worker) handleInventory(rw http.ResponseWriter, r *http.Request) {
	q := query.New(r)
	after := q.Int("after", 0)
	inventory := w.Inventory
	if r.URL.Query().Get("changed") == "true" {
		inventory = func() (worker.Inventory, <-chan struct{}) { return w.InventoryChanges(after) }
	}
	timer := time.NewTimer(q.Millis("wait_ms", maxWait))
	defer timer.Stop()
	if err := q.Err(); err != nil {
		httpx.WriteError(rw, err)
		return
	}
	inv, changed := inventory()
	for inv.Seq <= after {
		select {
		case <-changed:
			time.Sleep(gatherChanges)
			inv, changed = inventory()
			continue
		case <-timer.C:
			inv, _ = inventory()
		case <-r.Context().Done():
		}
		break
	}
	httpx.WriteJSON(rw, http.StatusOK, inv)
}

// Inventory returns the inventory and a channel that closes at its next change.
func (w *Worker) Inventory() (worker.Inventory, <-chan struct{}) {
	now := w.lock()
	defer w.mu.Unlock()
	return w.inventory(now), w.changed
}

// InventoryChanges returns the tasks that changed after a sequence number.
func (w *Worker) InventoryChanges(after int64) (worker.Inventory, <-chan struct{}) {
	now := w.lock()
	defer w.mu.Unlock()
	return w.inventoryAfter(after, now), w.changed
}

func (w *Worker) handleProbe(rw http.ResponseWriter, _ *http.Request) {
	w.lock()
	draining := w.draining
	w.mu.Unlock()
	httpx.WriteJSON(rw, http.StatusOK, worker.ProbeAnswer{BootID: w.boot, Draining: draining})
}

func (w *Worker) handleFaults(rw http.ResponseWriter, r *http.Request) {
	var change FaultChange
	err := httpx.ReadJSON(r, maxAdminBytes, &change)
	if err == nil {
		err = w.ChangeFaults(change)
	}
	if err != nil {
		httpx.WriteError(rw, err)
		return
	}
	httpx.WriteJSON(rw, http.StatusOK, w.Faults())
}

// PauseRequest is the body of an admin call that pauses the worker.
type PauseRequest struct {
	PauseMs int64 `json:"pause_ms"`
}

func (w *Worker) handlePause(rw http.ResponseWriter, r *http.Request) {
	var in PauseRequest
	err := httpx.ReadJSON(r, maxAdminBytes, &in)
	if err == nil && in.PauseMs < 0 {
		err = structs.NewError(structs.CodeInvalid, "pause_ms must not be negative")
	}
	if err != nil {
		httpx.WriteError(rw, err)
		return
	}
	go w.Pause(millis(in.PauseMs))
	httpx.WriteJSON(rw, http.StatusAccepted, struct{}{})
}

func (w *Worker) handleDrain(rw http.ResponseWriter, _ *http.Request) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxDrain)
		defer cancel()
		_ = w.Drain(ctx)
	}()
	httpx.WriteJSON(rw, http.StatusAccepted, struct{}{})
}

// Status is what the worker reports of itself.
type Status struct {
	Faults    Faults           `json:"faults"`
	SlotsUsed int              `json:"slots_used"`
	Inventory worker.Inventory `json:"inventory"`
}

func (w *Worker) handleStatus(rw http.ResponseWriter, _ *http.Request) {
	now := w.lock()
	status := Status{Faults: w.faults, SlotsUsed: w.slots, Inventory: w.inventory(now)}
	w.mu.Unlock()
	httpx.WriteJSON(rw, http.StatusOK, status)
}
