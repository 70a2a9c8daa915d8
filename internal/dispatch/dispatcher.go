package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Defaults and intervals of a dispatcher.
const (
	defaultMaxQueue                  = 1024
	defaultMaxSettlements            = 1024
	defaultSettleTimeout             = 5 * time.Second
	defaultCrossRegionBytesPerSecond = 64 << 10
	defaultDeadline                  = 5 * time.Second
	// recheckInterval is how often a waiting request considers the peers again.
	recheckInterval = 250 * time.Millisecond
	// slotRefreshInterval is how often the number of slots on own workers is read.
	slotRefreshInterval = 100 * time.Millisecond
	// noSlotRetryDelay is the delay before an admitted request for which no slot was
	// free tries again.
	noSlotRetryDelay = 20 * time.Millisecond
)

// Options configure a Dispatcher. Slots, Peers, Keys, Sender and Classes are required;
// any other field that is zero gets its default.
type Options struct {
	// Member is the entry's member ID.
	Member string
	// Epoch returns the entry's epoch, which is sent with calls to peers.
	Epoch   func() int64
	Slots   Slots
	Peers   Peers
	Keys    Keys
	Sender  Sender
	Classes Classes
	// MaxQueue is the maximum number of requests that wait for a slot.
	MaxQueue int
	// CrossRegionBytesPerSecond limits the traffic of this entry's requests on the link
	// between regions, in both directions together.
	CrossRegionBytesPerSecond int
	// MaxSettlements is the maximum number of settlements in flight in the background.
	MaxSettlements int
	// SettleTimeout limits the time spent on reporting an outcome to the home of a key.
	SettleTimeout time.Duration
	// Random returns a number in [0, n).
	Random func(n int) int
	// Events receives the events of requests; nil for none.
	Events *event.Recorder
	// Metrics receives the counters; nil for a private set.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	o.MaxQueue = orDefault(o.MaxQueue, defaultMaxQueue)
	o.CrossRegionBytesPerSecond = orDefault(o.CrossRegionBytesPerSecond, defaultCrossRegionBytesPerSecond)
	o.MaxSettlements = orDefault(o.MaxSettlements, defaultMaxSettlements)
	o.SettleTimeout = orDefault(o.SettleTimeout, defaultSettleTimeout)
	if o.Epoch == nil {
		o.Epoch = func() int64 { return 0 }
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

// Dispatcher handles the requests of an entry. It is safe for concurrent use.
type Dispatcher struct {
	opts        Options
	gate        *admissionGate
	retryBudget retryBudget
	// crossRegion limits the bytes sent over the link between regions.
	crossRegion *rate.Limiter
	inFlight    *inFlightCounter
	// peerTimes estimates how long peers take to answer.
	peerTimes *peerTimes
	counts    counters
	// slotsReadAt is when the number of slots was last read, in Unix nanoseconds.
	slotsReadAt atomic.Int64

	// settlements is a semaphore with one element for each settlement in the
	// background.
	settlements chan struct{}
	// background tracks running attempts and settlements.
	background sync.WaitGroup
}

// New returns a dispatcher. It starts no goroutine until requests arrive.
func New(o Options) *Dispatcher {
	o = o.withDefaults()
	d := &Dispatcher{
		opts:        o,
		gate:        newAdmissionGate(o.MaxQueue),
		crossRegion: rate.NewLimiter(rate.Limit(o.CrossRegionBytesPerSecond), max(o.CrossRegionBytesPerSecond, minCrossRegionBurst)),
		inFlight:    newInFlightCounter(),
		peerTimes:   newPeerTimes(),
		settlements: make(chan struct{}, o.MaxSettlements),
	}
	d.counts = newCounters(o.Metrics)
	return d
}

// QueueLength returns the number of requests that wait for a slot. It is part of the
// load digest for peers.
func (d *Dispatcher) QueueLength() int { return d.gate.queueLength() }

// SetSlots sets the number of requests that may be at own workers at the same time. The
// dispatcher also reads it periodically from Peers.Loads; the control goroutine calls
// SetSlots so that a change takes effect at once.
func (d *Dispatcher) SetSlots(n int) { d.gate.setSlots(n) }

// SetCrossRegionBytesPerSecond sets this entry's share of the link between regions. The
// control goroutine calls it when the number of members changes.
func (d *Dispatcher) SetCrossRegionBytesPerSecond(n int) {
	d.crossRegion.SetLimit(rate.Limit(n))
	d.crossRegion.SetBurst(max(n, minCrossRegionBurst))
}

// Drain waits until all attempts and settlements have ended; it fails with CodeDeadline
// if ctx ends first. The entry calls it after it has stopped accepting requests.
func (d *Dispatcher) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return structs.NewError(structs.CodeDeadline, "attempts or settlements are still in flight")
	}
}
