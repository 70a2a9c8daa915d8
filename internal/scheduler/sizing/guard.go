package sizing

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// throttleAbove is the reported processor use of a worker, in percent of its
	// size, above which tasks that use more than their grant are throttled.
	throttleAbove = 95
	// stopAbove is the reported memory use, in percent, above which tasks are
	// checkpointed and stopped until it is down to stopDownTo.
	stopAbove  = 97
	stopDownTo = 92
	// stopAgainAfter is the time for which reports may still show what was stopped.
	stopAgainAfter = 20 * time.Second
	// settleAge is the age from which on a task's use tells what it will need.
	settleAge = time.Minute
	// throttleTo is the share of its grant in percent that a throttled task is held
	// to. It is just below 100, which to a worker means no bound.
	throttleTo = 99
	// saturatedAbove is the reported processor use in percent of a worker above
	// which its tasks may have wanted more.
	saturatedAbove = 98
)

// TaskUsage is a running task with its grant and what it was last seen to use.
type TaskUsage struct {
	Task    structs.TaskID
	Attempt int
	Granted structs.Resources
	Used    structs.Resources
	// IsService tasks are stopped after all others.
	IsService bool
	// Slack is the time left to the target; the most slack is stopped first.
	Slack time.Duration
	// Age is the time since the task started.
	Age time.Duration
	// ThrottlePercent is the processor share in percent that the task is held to now;
	// zero means no bound.
	ThrottlePercent int
}

// over returns how much memory the task uses above its grant.
func (t TaskUsage) over() int64 { return max(t.Used.MemoryMiB-t.Granted.MemoryMiB, 0) }

// ActionKind is what is done to a task.
type ActionKind uint8

const (
	// Throttle bounds the task's processor share to Percent of its grant.
	Throttle ActionKind = iota + 1
	// Unthrottle lifts the bound.
	Unthrottle
	// CheckpointAndStop stops the task with a checkpoint.
	CheckpointAndStop
)

// Action is an order to a worker.
type Action struct {
	Kind    ActionKind
	Task    structs.TaskID
	Attempt int
	// Percent is the processor share for Throttle.
	Percent int
}

// ShortageGuard decides what is done on workers that get short. It remembers when it last
// stopped tasks on each, since reports lag.
type ShortageGuard struct {
	stopped map[string]time.Time
}

// NewShortageGuard returns a guard that has done nothing yet.
func NewShortageGuard() *ShortageGuard { return &ShortageGuard{stopped: make(map[string]time.Time)} }

// Actions returns what is to be done on a worker of a size whose tasks were last seen to
// use what is given. Processor is taken back by throttling those above their grant;
// memory by checkpointing tasks, batch before services, those above their grant first,
// then those with the most slack.
func (g *ShortageGuard) Actions(now time.Time, worker string, size structs.Resources, tasks []TaskUsage) []Action {
	actions := guardProcessor(size, tasks)
	if last, found := g.stopped[worker]; found && now.Sub(last) < stopAgainAfter {
		return actions
	}
	stops := guardMemory(size, tasks)
	if len(stops) > 0 {
		g.stopped[worker] = now
	}
	return append(actions, stops...)
}

// ForgetWorker drops what is remembered of a worker that has gone.
func (g *ShortageGuard) ForgetWorker(worker string) { delete(g.stopped, worker) }

// ExcessMemory returns the memory that a worker's settled tasks use above their grants in
// all. As long as there is some, that much less is free for placements.
func ExcessMemory(tasks []TaskUsage) structs.Resources {
	var excess int64
	for _, t := range tasks {
		if t.Age >= settleAge {
			excess += t.Used.MemoryMiB - t.Granted.MemoryMiB
		}
	}
	return structs.Resources{MemoryMiB: max(excess, 0)}
}

// ProcessorSaturated reports whether a worker's tasks were last seen to use nearly all of its
// processors, so that they may have wanted more.
func ProcessorSaturated(size structs.Resources, tasks []TaskUsage) bool {
	return sum(tasks).CPUMilli*100 >= size.CPUMilli*saturatedAbove
}

// guardProcessor throttles while the worker is short and lifts it after.
func guardProcessor(size structs.Resources, tasks []TaskUsage) []Action {
	short := sum(tasks).CPUMilli*100 > size.CPUMilli*throttleAbove
	var actions []Action
	for _, t := range tasks {
		over := t.Used.CPUMilli > t.Granted.CPUMilli
		switch {
		case short && over && t.ThrottlePercent == 0:
			actions = append(actions, Action{Kind: Throttle, Task: t.Task, Attempt: t.Attempt, Percent: throttleTo})
		case !short && t.ThrottlePercent > 0 && fitsUnbound(size, tasks):
			actions = append(actions, Action{Kind: Unthrottle, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return actions
}

// unthrottleBelow is the processor use in percent of the size below which bounds are
// lifted; the gap to throttleAbove keeps them from flapping.
const unthrottleBelow = 80

// fitsUnbound reports whether there is room to lift bounds.
func fitsUnbound(size structs.Resources, tasks []TaskUsage) bool {
	return sum(tasks).CPUMilli*100 <= size.CPUMilli*unthrottleBelow
}

// guardMemory stops tasks until the rest is below the lower mark.
func guardMemory(size structs.Resources, tasks []TaskUsage) []Action {
	used := sum(tasks).MemoryMiB
	if used*100 <= size.MemoryMiB*stopAbove {
		return nil
	}
	order := slices.Clone(tasks)
	slices.SortFunc(order, compareStops)
	var actions []Action
	for _, t := range order {
		if used*100 <= size.MemoryMiB*stopDownTo {
			break
		}
		actions = append(actions, Action{Kind: CheckpointAndStop, Task: t.Task, Attempt: t.Attempt})
		used -= t.Used.MemoryMiB
	}
	return actions
}

// compareStops orders by who is stopped first.
func compareStops(a, b TaskUsage) int {
	if a.IsService != b.IsService {
		if b.IsService {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.over(), a.over()),
		cmp.Compare(b.Slack, a.Slack),
		cmp.Compare(a.Task, b.Task),
	)
}

// sum returns what all tasks use.
func sum(tasks []TaskUsage) structs.Resources {
	var used structs.Resources
	for _, t := range tasks {
		used = used.Add(t.Used)
	}
	return used
}
