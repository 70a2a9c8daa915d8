// Package load runs scripted experiments against a cell: arrivals at stated
// times whatever the answers (open loop), waits measured from the time at which
// a caller meant to send, faults at stated times, and a report that names its
// seed and settings.
package load

import (
	"time"

	"dotterelhitch/internal/structs"
)

// Experiment is what an experiment file states.
type Experiment struct {
	Name string `toml:"name" json:"name"`
	// Seed decides every arrival, target and body.
	Seed     uint64           `toml:"seed" json:"seed"`
	Duration structs.Duration `toml:"duration" json:"duration"`
	// SettleTimeout bounds the wait for jobs and requests after the last arrival.
	SettleTimeout structs.Duration `toml:"settle" json:"settle"`
	// Targets are callers' addresses of entries, host:port.
	Targets []string `toml:"targets" json:"targets"`
	// Operators are operators' addresses, needed to set classes.
	Operators []string `toml:"operators" json:"operators,omitempty"`
	// MaxInFlight bounds what is open at a time; arrivals past it are counted
	// as dropped, never delayed.
	MaxInFlight int `toml:"max_in_flight" json:"max_in_flight"`

	Classes      []ClassSetup    `toml:"classes" json:"classes,omitempty"`
	Requests     []RequestStream `toml:"requests" json:"requests,omitempty"`
	Jobs         []JobStream     `toml:"jobs" json:"jobs,omitempty"`
	Faults       []FaultStep     `toml:"faults" json:"faults,omitempty"`
	RandomFaults []RandomFault   `toml:"random_faults" json:"random_faults,omitempty"`
	Cancels      []CancelStep    `toml:"cancels" json:"cancels,omitempty"`
	Metrics      []MetricsSource `toml:"metrics" json:"metrics,omitempty"`
}

// ClassSetup is a class that is set before the experiment.
type ClassSetup struct {
	Name   string         `toml:"name" json:"name"`
	Kind   structs.Kind   `toml:"kind" json:"kind"`
	Team   string         `toml:"team" json:"team,omitempty"`
	Target structs.Target `toml:"target" json:"target"`
}

// ArrivalProcess is how the times of arrivals are drawn.
type ArrivalProcess string

// The kinds of arrivals.
const (
	// Poisson draws independent exponential gaps.
	Poisson ArrivalProcess = "poisson"
	// Uniform keeps equal gaps.
	Uniform ArrivalProcess = "uniform"
	// AtOnce lets all arrive at the beginning of the window.
	AtOnce ArrivalProcess = "at_once"
)

// Window is when a stream's work arrives.
type Window struct {
	Arrivals ArrivalProcess `toml:"arrivals" json:"arrivals"`
	// Rate is arrivals a second; for at_once the number is Count.
	Rate  float64          `toml:"rate" json:"rate,omitempty"`
	Count int              `toml:"arrival_count" json:"arrival_count,omitempty"`
	From  structs.Duration `toml:"from" json:"from,omitempty"`
	// Until is the experiment's duration if it is not stated.
	Until structs.Duration `toml:"until" json:"until,omitempty"`
}

// RequestStream is a stream of requests of one class.
type RequestStream struct {
	Window
	Name       string `toml:"name" json:"name"`
	Class      string `toml:"class" json:"class"`
	Idempotent bool   `toml:"idempotent" json:"idempotent"`
	// Keyed gives each request an idempotency key.
	Keyed bool `toml:"keyed" json:"keyed,omitempty"`
	// Retries is how often a caller sends a keyed or idempotent request again,
	// through another entry, after an unknown outcome.
	Retries     int `toml:"retries" json:"retries,omitempty"`
	BodyBytes   int `toml:"body_bytes" json:"body_bytes,omitempty"`
	AnswerBytes int `toml:"answer_bytes" json:"answer_bytes,omitempty"`
	// ServiceTime is how long the endpoint takes; zero for the endpoint's own time.
	ServiceTime structs.Duration `toml:"service" json:"service,omitempty"`
	Deadline    structs.Duration `toml:"deadline" json:"deadline,omitempty"`
	// LatencyTarget is the target that the report judges answers by.
	LatencyTarget structs.Duration `toml:"within" json:"within,omitempty"`
}

// JobStream is a stream of jobs of one class; for a class of kind gang, of jobs
// whose tasks start together.
type JobStream struct {
	Window
	Name         string           `toml:"name" json:"name"`
	Class        string           `toml:"class" json:"class"`
	Team         string           `toml:"team" json:"team,omitempty"`
	Tasks        int              `toml:"tasks" json:"tasks"`
	CPU          float64          `toml:"cpu" json:"cpu"`
	MemoryMiB    int64            `toml:"memory_mib" json:"memory_mib,omitempty"`
	Accelerators int64            `toml:"accelerators" json:"accelerators,omitempty"`
	RunTime      structs.Duration `toml:"run_time" json:"run_time,omitempty"`
	Payload      string           `toml:"payload" json:"payload,omitempty"`
	// StartTarget is the target for the start of all tasks.
	StartTarget structs.Duration `toml:"within" json:"within,omitempty"`
}

// FaultStep posts a body to an admin URL of a stand-in.
type FaultStep struct {
	At   structs.Duration `toml:"at" json:"at"`
	URL  string           `toml:"url" json:"url"`
	Body string           `toml:"body" json:"body,omitempty"`
}

// RandomFault begins and ends a fault at times that the seed decides.
type RandomFault struct {
	URL string `toml:"url" json:"url"`
	// Rate is beginnings a second, Lasts how long each one takes.
	Rate     float64          `toml:"rate" json:"rate"`
	Duration structs.Duration `toml:"lasts" json:"lasts"`
	// BeginBody and End are the bodies that are posted; no End posts nothing.
	BeginBody string `toml:"begin" json:"begin"`
	EndBody   string `toml:"end" json:"end,omitempty"`
}

// CancelStep cancels jobs by filter.
type CancelStep struct {
	At    structs.Duration `toml:"at" json:"at"`
	Class string           `toml:"class" json:"class,omitempty"`
	Team  string           `toml:"team" json:"team,omitempty"`
}

// MetricsSource is a /metrics page that is read before and after.
type MetricsSource struct {
	Name string `toml:"name" json:"name"`
	URL  string `toml:"url" json:"url"`
	// Series are prefixes of the series that the report shows.
	Series []string `toml:"series" json:"series,omitempty"`
}

// Defaults of an experiment.
const (
	defaultDuration    = 10 * time.Second
	defaultSettle      = 30 * time.Second
	defaultMaxInFlight = 20000
	defaultBodyBytes   = 64
)

func (e *Experiment) setDefaults() {
	setDefault(&e.Name, "experiment")
	setDefault(&e.Duration, structs.Duration(defaultDuration))
	setDefault(&e.SettleTimeout, structs.Duration(defaultSettle))
	setDefault(&e.MaxInFlight, defaultMaxInFlight)
	for i := range e.Requests {
		r := &e.Requests[i]
		r.Window.setDefaults(e.Duration)
		setDefault(&r.Name, r.Class)
		setDefault(&r.BodyBytes, defaultBodyBytes)
	}
	for i := range e.Jobs {
		j := &e.Jobs[i]
		j.Window.setDefaults(e.Duration)
		setDefault(&j.Name, j.Class)
		setDefault(&j.Tasks, 1)
	}
}

func (w *Window) setDefaults(duration structs.Duration) {
	setDefault(&w.Arrivals, Poisson)
	setDefault(&w.Until, duration)
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
