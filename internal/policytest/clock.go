package policytest

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function to be called at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap of events, the earliest first, equals in the order of addition.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// clock is a virtual clock with its queue of pending events.
type clock struct {
	now    time.Time
	events events
	seq    int
}

func newClock() *clock { return &clock{now: epoch} }

// after calls run when d has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, run: run})
}

// every calls run after each period.
func (c *clock) every(period time.Duration, run func()) {
	c.after(period, func() {
		run()
		c.every(period, run)
	})
}

// run executes the events due up to d after the start and advances the clock to there.
func (c *clock) run(d time.Duration) {
	end := epoch.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// elapsed returns the time since the start.
func (c *clock) elapsed() time.Duration { return c.now.Sub(epoch) }
