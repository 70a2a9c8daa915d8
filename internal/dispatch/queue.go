package dispatch

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"dotterelhitch/internal/structs"
)

// retryWhenQueueFull is the hint of a refusal by a full queue.
const retryWhenQueueFull = 200 * time.Millisecond

// queue holds the requests that wait for a slot, the one with the earliest
// target first. It is bounded and safe for concurrent use.
type queue struct {
	bound int

	mu      sync.Mutex
	waiters waiterHeap
	seq     uint64
}

// waiter is one waiting request.
type waiter struct {
	target time.Time
	seq    uint64
	index  int
	// ready gets a value when a slot may be free.
	ready chan struct{}
}

// outOfQueue is the index of a waiter that is not in the heap.
const outOfQueue = -1

func newQueue(bound int) *queue { return &queue{bound: bound} }

// len returns the number of waiting requests.
func (q *queue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// join adds a request by the time of its target.
func (q *queue) join(target time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= q.bound {
		return nil, structs.RetryAfter(structs.CodeOverload, retryWhenQueueFull, "%d requests wait already", q.bound)
	}
	q.seq++
	w := &waiter{target: target, seq: q.seq, ready: make(chan struct{}, 1)}
	heap.Push(&q.waiters, w)
	return w, nil
}

// mayPass reports whether a request with this target need not wait behind those
// in the queue.
func (q *queue) mayPass(target time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters) == 0 || target.Before(q.waiters[0].target)
}

// wait waits until a slot may be free for w, at most recheck, or until ctx ends.
// In every case w is out of the queue afterwards; a wake-up that w can't use
// goes to the next.
func (q *queue) wait(ctx context.Context, w *waiter, recheck time.Duration) error {
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	select {
	case <-w.ready:
		return nil
	case <-timer.C:
		q.leave(w)
		return nil
	case <-ctx.Done():
	}
	if !q.leave(w) {
		q.wake()
	}
	return structs.NewError(structs.CodeDeadline, "the deadline passed before a slot was free")
}

// leave reports false if w had been woken before.
func (q *queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index == outOfQueue {
		return false
	}
	heap.Remove(&q.waiters, w.index)
	return true
}

// wake wakes the first waiter, if there is one.
func (q *queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		return
	}
	w := heap.Pop(&q.waiters).(*waiter)
	w.ready <- struct{}{}
}

// waiterHeap implements heap.Interface by target, then by arrival.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if !h[i].target.Equal(h[j].target) {
		return h[i].target.Before(h[j].target)
	}
	return h[i].seq < h[j].seq
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = outOfQueue
	return w
}
