// Package workersvc is a small stand-in for a worker of the platform: it runs
// tasks under leases, reports their usage with a lag, answers requests in its
// slots, and records what it was told to run as evidence. It obeys
// docs/PLATFORM.md and has faults that an admin interface switches.
//
// It never refuses a task for its size: whether a worker is over-given must show
// in the record.
package workersvc

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// Config sets up a Worker.
type Config struct {
	// Worker describes the instance; Addr may be empty.
	Worker structs.Worker
	// Keys are the shared keys; empty turns authentication off.
	Keys httpx.Keys
	// Clock is observed and stamped on every call; it may be nil.
	Clock *event.Clock
	// Recorder gets the evidence; it may be nil.
	Recorder *event.Recorder
	// ServiceTime is how long a request runs that states no time.
	ServiceTime time.Duration
	// UsageLag is how long after a task's start its usage shows.
	UsageLag time.Duration
	// Faults are in effect from the start.
	Faults Faults
}

// Worker is one worker with its endpoint. It implements http.Handler.
type Worker struct {
	cfg     Config
	boot    string
	booted  time.Time
	handler http.Handler
	// wake tells the loop to look at the next due time again.
	wake   chan struct{}
	closed chan struct{}
	// inFlight counts the requests that run or whose answer is being written.
	inFlight sync.WaitGroup

	mu    sync.Mutex
	tasks map[worker.TaskRef]*task
	order []worker.TaskRef
	// running holds the running tasks, and ended ones until the next sweep.
	running []*task
	fence   int64
	owner   string
	seq     int64
	// changed is closed and replaced when seq rises.
	changed chan struct{}
	// paused closes when a pause ends; it is nil if there is none.
	paused   chan struct{}
	draining bool
	slots    int
	faults   Faults
	exit     sync.Once
	exited   chan struct{}
}

// New boots a worker without tasks. Close ends it.
func New(cfg Config) *Worker {
	w := &Worker{
		cfg:     cfg,
		boot:    uuid.NewString(),
		booted:  time.Now(),
		wake:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		tasks:   make(map[worker.TaskRef]*task),
		changed: make(chan struct{}),
		faults:  cfg.Faults,
		exited:  make(chan struct{}),
	}
	w.handler = w.routes()
	size := cfg.Worker.Size
	w.record(event.Event{Type: event.WorkerBoot, Size: &size})
	go w.loop()
	return w
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.handler.ServeHTTP(rw, r)
}

// ID returns the name of the instance.
func (w *Worker) ID() string { return w.cfg.Worker.ID }

// Close ends the worker at once, as a kill would, and records nothing.
func (w *Worker) Close() {
	w.exit.Do(func() { close(w.closed) })
}

// record writes evidence of this worker.
func (w *Worker) record(e event.Event) {
	e.Worker = w.cfg.Worker.ID
	w.cfg.Recorder.Record(e)
}

// lock takes the lock and first stops every task whose lease has lapsed, so that
// a worker that was paused does so before anything else.
func (w *Worker) lock() time.Time {
	w.mu.Lock()
	for w.paused != nil {
		resumed := w.paused
		w.mu.Unlock()
		<-resumed
		w.mu.Lock()
	}
	now := time.Now()
	w.expire(now)
	return now
}

// changedTask counts a change of a task; it needs the lock.
func (w *Worker) changedTask(t *task) {
	w.bump()
	t.seq = w.seq
}

// bump tells the waiting inventory calls of a change; it needs the lock.
func (w *Worker) bump() {
	w.seq++
	close(w.changed)
	w.changed = make(chan struct{})
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// loop ends tasks and shows their usage when these are due.
func (w *Worker) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-w.closed:
			return
		case <-w.wake:
		case <-timer.C:
		}
		now := w.lock()
		w.finish(now)
		w.killForMemory(now)
		w.contend(now)
		w.report(now)
		w.sweep()
		next := w.nextDue(now)
		w.mu.Unlock()
		timer.Reset(next)
	}
}

// expire stops the tasks whose lease has lapsed; it needs the lock.
func (w *Worker) expire(now time.Time) {
	for _, t := range w.running {
		if t.running() && !now.Before(t.leaseEnd) {
			w.end(t, structs.AllocStopped, lapseDetail(t.leaseEnd, now))
		}
	}
}

// finish ends the tasks whose work is done; it needs the lock.
func (w *Worker) finish(now time.Time) {
	for _, t := range w.running {
		if !t.running() {
			continue
		}
		done, ok := t.doneAt(w.faults.slow())
		if !ok || now.Before(done) {
			continue
		}
		if t.fails {
			w.end(t, structs.AllocFailed, "the task failed")
			continue
		}
		w.end(t, structs.AllocComplete, "")
	}
}

// report shows the usage of the tasks for which it is due; it needs the lock.
func (w *Worker) report(now time.Time) {
	shown := false
	for _, t := range w.running {
		if !t.running() || t.reportAt.IsZero() || now.Before(t.reportAt) {
			continue
		}
		t.usage = t.use(now)
		t.reportAt = time.Time{}
		if t.growing(now) {
			w.reportLater(t, now)
		}
		t.seq = w.seq + 1
		shown = true
	}
	if shown {
		w.bump()
	}
}

// sweep drops the ended tasks from the running ones; it needs the lock.
func (w *Worker) sweep() {
	w.running = slices.DeleteFunc(w.running, func(t *task) bool { return !t.running() })
}

// maxIdle is how long the loop sleeps at most.
const maxIdle = time.Second

// nextDue returns how long the loop may sleep; it needs the lock.
func (w *Worker) nextDue(now time.Time) time.Duration {
	next := now.Add(maxIdle)
	for _, t := range w.running {
		next = earlier(next, t.leaseEnd)
		if done, ok := t.doneAt(w.faults.slow()); ok {
			next = earlier(next, done)
		}
		if t.growing(now) {
			next = earlier(next, now.Add(growStep))
		}
		if !t.reportAt.IsZero() {
			next = earlier(next, t.reportAt)
		}
	}
	return max(0, next.Sub(now))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// end ends a task; it needs the lock.
func (w *Worker) end(t *task, state structs.AllocState, reason string) {
	t.state = state
	t.reason = reason
	w.record(event.Event{
		Type:    event.TaskEnd,
		Task:    t.start.Task,
		Attempt: t.start.Attempt,
		State:   string(state),
		Detail:  reason,
	})
	w.changedTask(t)
}
