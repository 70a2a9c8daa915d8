package cell

import (
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/controller"
)

const (
	// maxAppendsInFlight is the maximum number of appends in flight. The store remembers its
	// answers to the last five appends of a producer, so that an append whose answer was lost
	// can be retried whatever the outcome of the four after it.
	maxAppendsInFlight = 5
	// No batch is added once the oldest append has been in flight for stuckAppendFactor times the usual time, and
	// for at least minStuckAppendTime. Submissions in an append without an answer can be neither accepted nor
	// refused; therefore a store that does not answer gets no more. minStuckAppendTime exceeds the time that an
	// append takes at a slow store.
	stuckAppendFactor  = 3
	minStuckAppendTime = 400 * time.Millisecond
	// An append that has been in flight for lateAppendFactor times the usual time is late. The store may have
	// become slow. Until it answers, batches are added lateAppendInterval apart, so that maxAppendsInFlight of
	// them span minStuckAppendTime.
	lateAppendFactor   = 2
	lateAppendInterval = 90 * time.Millisecond
)

// appendPipeline is the queue of batches whose appends are in flight, ordered by sequence
// number. The store appends them in this order only: once a batch is stored, all batches before
// it are. While the store is fast, appends follow one another; when it is slow or becomes slow, they
// overlap, so that a record waits for little more than its own append.
type appendPipeline struct {
	mu      sync.Mutex
	pending []*pendingBatch
	// appendTime is how long appends usually take: the time of the last confirmed one, or half of the former
	// value if that is longer, since a repeated append may be answered at once while the store is slow. It is
	// zero before the first confirmation. Zero keeps other appends from being sent along with the first one of
	// an epoch, for which the store accepts any sequence number.
	appendTime time.Duration
	// lastAdded is when the latest batch was added.
	lastAdded time.Time
	// changed receives a value when a batch has been confirmed.
	changed chan struct{}
}

// pendingBatch is a batch whose append is in flight. cancel ends the attempts to append it.
type pendingBatch struct {
	batch     *controller.Batch
	sequence  int64
	createdAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
}

func newAppendPipeline() *appendPipeline { return &appendPipeline{changed: make(chan struct{}, 1)} }

// add adds a batch that is about to be appended.
func (p *appendPipeline) add(b *pendingBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, b)
	p.lastAdded = b.createdAt
}

// nextAdd returns how long to wait until another batch may be added, zero if it may be added now. It returns false if
// no batch may be added before a confirmation.
func (p *appendPipeline) nextAdd(now time.Time) (wait time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := commitInterval
	if n := len(p.pending); n > 0 {
		age := now.Sub(p.pending[0].createdAt)
		stuck := max(minStuckAppendTime, stuckAppendFactor*p.appendTime)
		if n >= maxAppendsInFlight || p.appendTime == 0 || age >= stuck {
			return 0, false
		}
		interval = max(interval, p.appendTime/maxAppendsInFlight)
		if age >= lateAppendFactor*p.appendTime {
			interval = max(interval, lateAppendInterval)
		}
	}
	return max(p.lastAdded.Add(interval).Sub(now), 0), true
}

// confirm records that the batch with a sequence number is stored. It removes that batch and all
// before it from the pipeline and returns them in order. took is the duration of the append.
func (p *appendPipeline) confirm(sequence int64, took time.Duration) []*pendingBatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appendTime = max(took, p.appendTime/2)
	n := 0
	for n < len(p.pending) && p.pending[n].sequence <= sequence {
		p.pending[n].cancel()
		n++
	}
	out := p.pending[:n:n]
	p.pending = p.pending[n:]
	select {
	case p.changed <- struct{}{}:
	default:
	}
	return out
}

// outage returns how long the oldest batch has been in flight, zero if an append of a store that
// is only slow may take as long.
func (p *appendPipeline) outage(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return 0
	}
	age := now.Sub(p.pending[0].createdAt)
	threshold := min(max(storeOutageThreshold, slowStoreFactor*p.appendTime), maxStoreOutageThreshold)
	if age < threshold {
		return 0
	}
	return age
}

// oldestSince returns when the oldest batch in flight was created, the zero time if there is
// none.
func (p *appendPipeline) oldestSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return time.Time{}
	}
	return p.pending[0].createdAt
}
