package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Waiting is the waiting tasks of one job.
type Waiting struct {
	Class string
	Tasks int
	// LatestStart is when they have to start to meet the class's target.
	LatestStart time.Time
}

// LateWork is the waiting tasks of a class that have missed its target or will.
type LateWork struct {
	Class string
	// Missed counts tasks whose latest start has passed.
	Missed int
	// Expected counts tasks that would start after their latest start at the
	// present rate.
	Expected int
}

// Forecast reports the classes whose targets are missed or will be, ordered by class,
// if tasks go on to start at a rate a second in the order of their latest start.
// Without a rate it reports only what is missed already. It sorts the list given.
func Forecast(waiting []Waiting, now time.Time, startsPerSecond float64) []LateWork {
	slices.SortFunc(waiting, func(a, b Waiting) int { return a.LatestStart.Compare(b.LatestStart) })
	late := make(map[string]*LateWork)
	ahead := 0
	for _, w := range waiting {
		slack := w.LatestStart.Sub(now)
		switch {
		case slack < 0:
			lateOf(late, w.Class).Missed += w.Tasks
		case startsPerSecond > 0:
			inTime := int(slack.Seconds()*startsPerSecond) - ahead
			ahead += w.Tasks
			if over := w.Tasks - max(inTime, 0); over > 0 {
				lateOf(late, w.Class).Expected += over
			}
		}
	}
	list := make([]LateWork, 0, len(late))
	for _, w := range late {
		list = append(list, *w)
	}
	slices.SortFunc(list, func(a, b LateWork) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

func lateOf(late map[string]*LateWork, class string) *LateWork {
	w := late[class]
	if w == nil {
		w = &LateWork{Class: class}
		late[class] = w
	}
	return w
}
