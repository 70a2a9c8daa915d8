package workersvc

import (
	"context"
	"time"

	"dotterelhitch/internal/event"
)

// drainLinger is how long a drained worker still answers, so that its owner can
// read the last inventory.
const drainLinger = 500 * time.Millisecond

// Drain shuts the worker down gracefully: new work is refused, requests in
// flight are answered, tasks save their progress and stop. It returns when all
// is done or ctx has ended; Close must follow.
func (w *Worker) Drain(ctx context.Context) error {
	if !w.beginDrain() {
		return nil
	}
	idle := make(chan struct{})
	go func() {
		w.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.stopAll()
	select {
	case <-time.After(drainLinger):
	case <-ctx.Done():
	}
	w.record(event.Event{Type: event.WorkerExit})
	close(w.exited)
	return nil
}

// DrainDone closes when a drain has ended.
func (w *Worker) DrainDone() <-chan struct{} { return w.exited }

// beginDrain reports false if the worker was draining already.
func (w *Worker) beginDrain() bool {
	w.lock()
	defer w.mu.Unlock()
	if w.draining {
		return false
	}
	w.draining = true
	w.record(event.Event{Type: event.WorkerDrain})
	w.bump()
	return true
}

func (w *Worker) stopAll() {
	now := w.lock()
	defer w.mu.Unlock()
	for _, ref := range w.order {
		w.stop(ref, true, now)
	}
}
