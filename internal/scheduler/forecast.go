package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// WaitingTasks describes the waiting tasks of one job.
type WaitingTasks struct {
	Class string
	Count int
	// LatestStart is the latest start that meets the target of the class.
	LatestStart time.Time
}

// LateTasks counts the waiting tasks of a class that have missed or will miss its
// target.
type LateTasks struct {
	Class string
	// Missed counts tasks whose latest start has passed.
	Missed int
	// ExpectedMisses counts tasks that would start after their latest start at the
	// current rate.
	ExpectedMisses int
}

// ForecastLateTasks returns, ordered by class, the classes whose targets have been or
// will be missed if waiting tasks start at startsPerSecond in the order of their latest
// start. If startsPerSecond is zero, it counts only targets already missed. It sorts
// waiting in place.
func ForecastLateTasks(waiting []WaitingTasks, now time.Time, startsPerSecond float64) []LateTasks {
	slices.SortFunc(waiting, func(a, b WaitingTasks) int { return a.LatestStart.Compare(b.LatestStart) })
	late := make(map[string]*LateTasks)
	earlier := 0
	for _, w := range waiting {
		slack := w.LatestStart.Sub(now)
		switch {
		case slack < 0:
			lateTasksOf(late, w.Class).Missed += w.Count
		case startsPerSecond > 0:
			inTime := int(slack.Seconds()*startsPerSecond) - earlier
			earlier += w.Count
			if misses := w.Count - max(inTime, 0); misses > 0 {
				lateTasksOf(late, w.Class).ExpectedMisses += misses
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

func lateTasksOf(late map[string]*LateTasks, class string) *LateTasks {
	w := late[class]
	if w == nil {
		w = &LateTasks{Class: class}
		late[class] = w
	}
	return w
}
