package cell

import (
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/controller"
)

const (
	// pipelineDepth is the number of appends under way at a time. A store that is asked
	// again answers from its last five appends of a producer, so a lost one can be
	// repeated whatever became of the others.
	pipelineDepth = 3
	// pipelineStuck is how many times as long as the last append the oldest may be under
	// way for another one to be sent: submissions in an append without an answer can be
	// neither accepted nor refused.
	pipelineStuck = 3
)

// pipeline holds the batches whose appends are under way, in the order of their sequence
// numbers. The store takes them in this order only, so that one which is stored tells that
// those before it are. While the store answers fast one follows the other; when it is slow
// they overlap, so that a record waits for little more than its own append.
type pipeline struct {
	mu      sync.Mutex
	pending []*pendingBatch
	// took is the time of the last append, zero before the first: the first under an
	// epoch goes alone, since the store lets it begin at any number.
	took time.Duration
	// changed has a value when a batch has been stored.
	changed chan struct{}
}

// pendingBatch is a batch whose append is under way.
type pendingBatch struct {
	batch    *controller.Batch
	sequence int64
	at       time.Time
	ctx      context.Context
	cancel   context.CancelFunc
}

func newPipeline() *pipeline { return &pipeline{changed: make(chan struct{}, 1)} }

// add takes a batch that is about to be appended.
func (p *pipeline) add(b *pendingBatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(p.pending, b)
}

// mayAdd reports whether another batch may be appended now.
func (p *pipeline) mayAdd(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.pending)
	if n == 0 {
		return true
	}
	return n < pipelineDepth && now.Sub(p.pending[0].at) < pipelineStuck*p.took
}

// gap is the pause between two batches: they are spread over the time of an append.
func (p *pipeline) gap() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(commitGap, p.took/pipelineDepth)
}

// stored takes the word that a batch is stored after an append that took some time. It
// returns this and all before it that are not known to be stored yet, in order.
func (p *pipeline) stored(sequence int64, took time.Duration) []*pendingBatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.took = took
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

// since returns since when the oldest append is under way, zero if none is.
func (p *pipeline) since() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return time.Time{}
	}
	return p.pending[0].at
}
