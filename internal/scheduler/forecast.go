package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// WaitingTasks is the waiting tasks of one job.
type WaitingTasks struct {
	Class string
	Count int
	// LatestStart is when they have to start to meet the class's target.
	LatestStart time.Time
}

// LateTasks is the waiting tasks of a class that have missed its target or will.
type LateTasks struct {
	Class string
	// Missed counts tasks whose latest start has passed.
	Missed int
	// ExpectedMisses counts tasks that would start after their latest start at the
	// present rate.
	ExpectedMisses int
}

// ForecastLateTasks reports the classes whose targets are missed or will be, ordered by class,
// if tasks go on to start at a rate a second in the order of their latest start.
// Without a rate it reports only what is missed already. It sorts the list given.
func ForecastLateTasks(waiting []WaitingTasks, now time.Time, startsPerSecond float64) []LateTasks {
	slices.SortFunc(waiting, func(a, b WaitingTasks) int { return a.LatestStart.Compare(b.LatestStart) })
	late := make(map[string]*LateTasks)
	ahead := 0
	for _, w := range waiting {
		slack := w.LatestStart.Sub(now)
		switch {
		case slack < 0:
			lateOf(late, w.Class).Missed += w.Count
		case startsPerSecond > 0:
			inTime := int(slack.Seconds()*startsPerSecond) - ahead
			ahead += w.Count
			if over := w.Count - max(inTime, 0); over > 0 {
				lateOf(late, w.Class).ExpectedMisses += over
			}
		}
	}
	list := make([]LateTasks, 0, len(late))
	for _, w := range late {
		list = append(list, *w)
	}
	slices.SortFunc(list, func(a, b LateTasks) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

func lateOf(late map[string]*LateTasks, class string) *LateTasks {
	w := late[class]
	if w == nil {
		w = &LateTasks{Class: class}
		late[class] = w
	}
	return w
}
