package controller

import (
	"container/heap"
	"time"
)

// wakeupQueue holds the times at which the controller has to be called.
type wakeupQueue struct{ times timeHeap }

type timeHeap []time.Time

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Time)) }

func (h *timeHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// add schedules a wake-up.
func (w *wakeupQueue) add(at time.Time) { heap.Push(&w.times, at) }

// earliest returns the earliest wake-up, and false if there is none.
func (w *wakeupQueue) earliest() (time.Time, bool) {
	if len(w.times) == 0 {
		return time.Time{}, false
	}
	return w.times[0], true
}

// popDue removes the wake-ups that are due and reports whether there were any.
func (w *wakeupQueue) popDue(now time.Time) bool {
	popped := false
	for len(w.times) > 0 && !w.times[0].After(now) {
		heap.Pop(&w.times)
		popped = true
	}
	return popped
}
