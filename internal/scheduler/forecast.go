package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// LateWork is the waiting tasks of a class that have missed its target or will.
type LateWork struct {
	Class string
	// Missed counts tasks whose latest start has passed.
	Missed int
	// Expected counts tasks that would start after their latest start at the
	// present rate.
	Expected int
}

// Forecast reports the classes whose targets are missed or will be, if tasks go on
// to start at a rate a second in the queue's order. Without a rate it reports only
// what is missed already. It sorts the whole queue.
func (q *Queue) Forecast(now time.Time, startsPerSecond float64) []LateWork {
	late := make(map[string]*LateWork)
	ahead := 0
	for _, e := range q.inOrder() {
		w := LateWork{Class: e.Class}
		switch {
		case e.Slack(now) < 0:
			w.Missed = e.Pending
		case startsPerSecond > 0:
			inTime := int(e.Slack(now).Seconds()*startsPerSecond) - ahead
			w.Expected = max(e.Pending-max(inTime, 0), 0)
			ahead += e.Pending
		}
		if w.Missed+w.Expected > 0 {
			addLate(late, w)
		}
	}
	list := make([]LateWork, 0, len(late))
	for _, w := range late {
		list = append(list, *w)
	}
	slices.SortFunc(list, func(a, b LateWork) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

// inOrder returns the entries by latest start.
func (q *Queue) inOrder() []*queued {
	list := make([]*queued, 0, len(q.items))
	for _, e := range q.items {
		list = append(list, e)
	}
	slices.SortFunc(list, compareQueued)
	return list
}

// addLate adds w to the counts of its class.
func addLate(late map[string]*LateWork, w LateWork) {
	sum := late[w.Class]
	if sum == nil {
		late[w.Class] = &w
		return
	}
	sum.Missed += w.Missed
	sum.Expected += w.Expected
}
