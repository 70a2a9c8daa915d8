package caller

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
)

// Bounds of the callers' interface.
const (
	// MaxDeadline bounds the time that a caller may ask the system to try.
	MaxDeadline = 60 * time.Second
	// MaxJobWait bounds the wait of one job status call.
	MaxJobWait = 60 * time.Second

	defaultDeadline    = 5 * time.Second
	defaultConnections = 2048
	defaultInFlight    = 1024
	defaultWaiting     = 512
	defaultBodyWithin  = 5 * time.Second
	defaultWriteWithin = 5 * time.Second

	maxJobBytes      = 64 << 10
	maxClientIDBytes = 128
	maxJobIDBytes    = 128
	retryWhenFull    = 200 * time.Millisecond
)

// Options configure a Server. A zero member takes its default.
type Options struct {
	// MaxConnections bounds the open connections.
	MaxConnections int
	// MaxInFlight bounds the requests and changes that the backend works on.
	MaxInFlight int
	// MaxWaitingCalls bounds the job status calls that wait.
	MaxWaitingCalls int
	// BodyTimeout bounds the time in which a caller must send its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time in which a caller must take its answer.
	WriteTimeout time.Duration
	// DefaultDeadline is that of a request that names none.
	DefaultDeadline time.Duration
	// Keys are the shared keys asked of callers; empty for none.
	Keys httpx.Keys
	// Ready tells whether the entry serves; nil for always.
	Ready func() error
	// NewID makes request IDs and change IDs.
	NewID func() string
	// NewJobKey makes the change IDs of jobs that came without one; nil for NewID.
	NewJobKey func() string
	// Clock stamps the answers; nil for no stamps.
	Clock *event.Clock
	// Metrics gets the counters; nil for a set of its own.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	o.MaxConnections = orDefault(o.MaxConnections, defaultConnections)
	o.MaxInFlight = orDefault(o.MaxInFlight, defaultInFlight)
	o.MaxWaitingCalls = orDefault(o.MaxWaitingCalls, defaultWaiting)
	o.BodyTimeout = orDefault(o.BodyTimeout, defaultBodyWithin)
	o.WriteTimeout = orDefault(o.WriteTimeout, defaultWriteWithin)
	o.DefaultDeadline = orDefault(o.DefaultDeadline, defaultDeadline)
	if o.Ready == nil {
		o.Ready = func() error { return nil }
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	if o.NewJobKey == nil {
		o.NewJobKey = o.NewID
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
