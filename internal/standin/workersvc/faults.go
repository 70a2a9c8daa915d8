package workersvc

import (
	"encoding/json"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Bounds of the faults.
const (
	maxSlow  = 1000
	maxPause = 10 * time.Minute
)

// Faults are the injected faults of a worker.
type Faults struct {
	// FailAll makes every task and every request fail.
	FailAll bool `json:"fail_all"`
	// SlowFactor is the factor by which work takes longer; zero means 1.
	SlowFactor float64 `json:"slow"`
	// LoseStops is the number of stops to come whose confirmation is lost after
	// they took effect; negative means all.
	LoseStops int `json:"lose_stops"`
	// LoseStarts is the same for starts.
	LoseStarts int `json:"lose_starts"`
	// LoseAnswers is the same for answers to requests.
	LoseAnswers int `json:"lose_answers"`
	// ServiceMs replaces the configured service time if it is positive.
	ServiceMs int64 `json:"service_ms"`
	// AcceptStaleEpochs makes the worker obey commands and requests of any epoch. Its fence
	// is then that of the last one.
	AcceptStaleEpochs bool `json:"accept_stale"`
}

// FaultChange is a change of Faults: only the members that are given change.
type FaultChange struct {
	FailAll           *bool    `json:"fail_all,omitempty"`
	SlowFactor        *float64 `json:"slow,omitempty"`
	LoseStops         *int     `json:"lose_stops,omitempty"`
	LoseStarts        *int     `json:"lose_starts,omitempty"`
	LoseAnswers       *int     `json:"lose_answers,omitempty"`
	ServiceMs         *int64   `json:"service_ms,omitempty"`
	AcceptStaleEpochs *bool    `json:"accept_stale,omitempty"`
}

// Validate refuses values that no worker could obey.
func (c FaultChange) Validate() error {
	if c.SlowFactor != nil && !(*c.SlowFactor >= 0 && *c.SlowFactor <= maxSlow) {
		return structs.NewError(structs.CodeInvalid, "slow %v: want 0 to %d", *c.SlowFactor, maxSlow)
	}
	if c.ServiceMs != nil && (*c.ServiceMs < 0 || millis(*c.ServiceMs) > maxServiceTime) {
		return structs.NewError(structs.CodeInvalid, "service_ms %d: want 0 to %d", *c.ServiceMs, maxServiceTime.Milliseconds())
	}
	return nil
}

// String renders the change as JSON, for events.
func (c FaultChange) String() string {
	b, err := json.Marshal(c)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// slow returns the factor by which work takes longer.
func (f Faults) slow() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}

// take counts one use of a fault and reports whether it befalls this call.
func take(count *int) bool {
	if *count == 0 {
		return false
	}
	if *count > 0 {
		*count--
	}
	return true
}

// ChangeFaults changes the faults.
func (w *Worker) ChangeFaults(c FaultChange) error {
	if err := c.Validate(); err != nil {
		return err
	}
	now := w.lock()
	defer w.mu.Unlock()
	for _, t := range w.running {
		t.count(now, w.faults.slow())
	}
	set(&w.faults.FailAll, c.FailAll)
	set(&w.faults.SlowFactor, c.SlowFactor)
	set(&w.faults.LoseStops, c.LoseStops)
	set(&w.faults.LoseStarts, c.LoseStarts)
	set(&w.faults.LoseAnswers, c.LoseAnswers)
	set(&w.faults.ServiceMs, c.ServiceMs)
	set(&w.faults.AcceptStaleEpochs, c.AcceptStaleEpochs)
	w.record(event.Event{Type: event.FaultInjected, Detail: "worker: " + c.String()})
	w.bump()
	return nil
}

// Faults returns the injected faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Pause halts the worker for d, as a stopped process: no call is answered and no
// task ends meanwhile. Requests that run at that moment go on.
func (w *Worker) Pause(d time.Duration) {
	d = min(d, maxPause)
	resumed := make(chan struct{})
	w.lock()
	w.paused = resumed
	w.record(event.Event{Type: event.FaultInjected, Detail: "worker: pause " + d.String()})
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = nil
	w.expire(time.Now())
	close(resumed)
}
