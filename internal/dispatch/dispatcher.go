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

// Bounds of a dispatcher.
const (
	defaultQueue        = 1024
	defaultSettling     = 1024
	defaultSettleWithin = 5 * time.Second
	defaultFarBytes     = 64 << 10 // per second
	defaultDeadline     = 5 * time.Second
	// recheckEvery is how often a waiting request looks at the peers again.
	recheckEvery = 250 * time.Millisecond
	// refreshEvery is how often the number of own slots is read.
	refreshEvery = 100 * time.Millisecond
	// blockedPause is the pause of a request whose turn it is, but for which no
	// slot is free after all.
	blockedPause = 20 * time.Millisecond
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
	// MaxQueue bounds the requests that wait for a slot.
	MaxQueue int
	// CrossRegionBytesPerSecond is the bytes a second that this entry's requests may send over the
	// link between regions, both ways together.
	CrossRegionBytesPerSecond int
	// MaxSettlements bounds the settlements under way in the background.
	MaxSettlements int
	// SettleTimeout bounds the time in which a home is told.
	SettleTimeout time.Duration
	// Random returns a number below n.
	Random func(n int) int
	// Events gets the time line; nil for none.
	Events *event.Recorder
	// Metrics gets the counters; nil for a set of its own.
	Metrics *metrics.Set
}

func (o Options) withDefaults() Options {
	o.MaxQueue = orDefault(o.MaxQueue, defaultQueue)
	o.CrossRegionBytesPerSecond = orDefault(o.CrossRegionBytesPerSecond, defaultFarBytes)
	o.MaxSettlements = orDefault(o.MaxSettlements, defaultSettling)
	o.SettleTimeout = orDefault(o.SettleTimeout, defaultSettleWithin)
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

// Dispatcher is the request path of an entry. It is safe for concurrent use.
type Dispatcher struct {
	opts     Options
	gate     *gate
	budget   budget
	far      *rate.Limiter
	forwards *forwardCount
	// peerTimes tells how long peers take to answer.
	peerTimes *peerTimes
	counts    counters
	// refreshed is when the number of own slots was read, in Unix nanoseconds.
	refreshed atomic.Int64

	// settling holds one element for each settlement in the background.
	settling chan struct{}
	// background counts attempts and settlements.
	background sync.WaitGroup
}

// New returns a dispatcher. It starts no goroutine until requests come.
func New(o Options) *Dispatcher {
	o = o.withDefaults()
	d := &Dispatcher{
		opts:      o,
		gate:      newGate(o.MaxQueue),
		far:       rate.NewLimiter(rate.Limit(o.CrossRegionBytesPerSecond), max(o.CrossRegionBytesPerSecond, minFarBurst)),
		forwards:  newForwardCount(),
		peerTimes: newPeerTimes(),
		settling:  make(chan struct{}, o.MaxSettlements),
	}
	d.counts = newCounters(o.Metrics)
	return d
}

// QueueLength returns the number of requests that wait for a slot, for the digest.
func (d *Dispatcher) QueueLength() int { return d.gate.length() }

// SetSlots tells how many requests may be at own workers at a time. The
// dispatcher also reads it from Peers.Loads now and then; the control goroutine
// calls SetSlots for a change to count at once.
func (d *Dispatcher) SetSlots(n int) { d.gate.setSlots(n) }

// SetCrossRegionBytesPerSecond sets this entry's share of the link between regions, in bytes a
// second. The control goroutine calls it when the number of members changes.
func (d *Dispatcher) SetCrossRegionBytesPerSecond(n int) {
	d.far.SetLimit(rate.Limit(n))
	d.far.SetBurst(max(n, minFarBurst))
}

// Drain waits until attempts and settlements have ended, or ctx has.
// The entry calls it after it has stopped taking requests.
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
		return structs.NewError(structs.CodeDeadline, "attempts or settlements are still under way")
	}
}
