package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Bounds of a dispatcher.
const (
	defaultQueue        = 1024
	defaultSettling     = 1024
	defaultSettleWithin = 5 * time.Second
	defaultFarBytes     = 64 << 10 // per second
	defaultDeadline     = 5 * time.Second
	recheckEvery        = 250 * time.Millisecond
)

// Options configure a Dispatcher. Slots, Peers, Keys, Sender and Classes are
// needed; any other zero member takes its default.
type Options struct {
	// Member is the entry's member ID.
	Member string
	// Epoch returns the entry's epoch for calls to peers.
	Epoch   func() int64
	Slots   Slots
	Peers   Peers
	Keys    Keys
	Sender  Sender
	Classes Classes
	// Admission refuses early; nil admits all that the queue holds.
	Admission Admission
	// Budget bounds retries; nil for a RatioBudget.
	Budget Budget
	// Queue bounds the requests that wait for a slot.
	Queue int
	// FarBytes is the bytes a second that requests may send over the link
	// between regions, both ways together.
	FarBytes int
	// Settling bounds the settlements under way in the background.
	Settling int
	// SettleWithin bounds the time in which a home is told.
	SettleWithin time.Duration
	// Random returns a number below n.
	Random func(n int) int
	// Events gets the time line; nil for none.
	Events *event.Recorder
	// Metrics gets the counters; nil for a set of its own.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	o.Queue = orDefault(o.Queue, defaultQueue)
	o.FarBytes = orDefault(o.FarBytes, defaultFarBytes)
	o.Settling = orDefault(o.Settling, defaultSettling)
	o.SettleWithin = orDefault(o.SettleWithin, defaultSettleWithin)
	if o.Epoch == nil {
		o.Epoch = func() int64 { return 0 }
	}
	if o.Admission == nil {
		o.Admission = admitAll{}
	}
	if o.Budget == nil {
		o.Budget = NewRatioBudget()
	}
	if o.Random == nil {
		o.Random = rand.IntN
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

// admitAll is the admission of an entry without a policy.
type admitAll struct{}

func (admitAll) Admit(string, time.Duration, int) error { return nil }

func (admitAll) Observe(string, time.Duration) {}

// Dispatcher is the request path of an entry. It is safe for concurrent use.
type Dispatcher struct {
	opts     Options
	queue    *queue
	far      *rate.Limiter
	forwards *forwardCount
	counts   counters

	// settling holds one element for each settlement in the background.
	settling chan struct{}
	settled  sync.WaitGroup
}

// New returns a dispatcher. It starts no goroutine until requests come.
func New(o Options) *Dispatcher {
	o = o.withDefaults()
	d := &Dispatcher{
		opts:     o,
		queue:    newQueue(o.Queue),
		far:      rate.NewLimiter(rate.Limit(o.FarBytes), max(o.FarBytes, minFarBurst)),
		forwards: newForwardCount(),
		settling: make(chan struct{}, o.Settling),
	}
	d.counts = newCounters(o.Metrics)
	return d
}

// Queued returns the number of requests that wait for a slot, for the digest.
func (d *Dispatcher) Queued() int { return d.queue.len() }

// SlotsFreed wakes up to n waiting requests. The control goroutine calls it when
// slots become free by other ways than Release.
func (d *Dispatcher) SlotsFreed(n int) {
	for range min(n, d.queue.len()) {
		d.queue.wake()
	}
}

// Drain waits until the settlements in the background have ended, or ctx has.
// The entry calls it after it has stopped taking requests.
func (d *Dispatcher) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.settled.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return structs.NewError(structs.CodeDeadline, "settlements are still under way")
	}
}
