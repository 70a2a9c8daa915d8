package sizing

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// throttleAbovePercent is the reported processor use of a worker, in percent of its
	// size, above which tasks that use more than their grant are throttled.
	throttleAbovePercent = 95
	// stopAbovePercent is the reported memory use, in percent of the worker's size,
	// above which tasks are checkpointed and stopped until the use is at most
	// stopTargetPercent.
	stopAbovePercent  = 97
	stopTargetPercent = 92
	// minStopInterval is the time between stops on a worker. During that time, reports
	// may still include the stopped tasks.
	minStopInterval = 20 * time.Second
	// minSettledAge is the age at or above which a task's use indicates what it will
	// need.
	minSettledAge = time.Minute
	// throttlePercent is the processor share of a throttled task, in percent of its
	// grant. It is just below 100, which a worker would interpret as no limit.
	throttlePercent = 99
	// saturatedPercent is the reported processor use of a worker, in percent of its
	// size, at or above which its tasks may have needed more.
	saturatedPercent = 98
)

// TaskUsage is a running task with its grant and its latest reported use.
type TaskUsage struct {
	Task    structs.TaskID
	Attempt int
	Granted structs.Resources
	Used    structs.Resources
	// IsService marks a task of a service; those are stopped after all others.
	IsService bool
	// Slack is the time left to meet the target. Among tasks that are otherwise equal,
	// the one with the most slack is stopped first.
	Slack time.Duration
	// Age is the time since the task started.
	Age time.Duration
	// ThrottlePercent is the processor share to which the task is limited now, in
	// percent of its grant; zero means no limit.
	ThrottlePercent int
}

// memoryAboveGrant returns the memory in MiB that the task uses above its grant.
func (t TaskUsage) memoryAboveGrant() int64 { return max(t.Used.MemoryMiB-t.Granted.MemoryMiB, 0) }

// ActionKind is the kind of action taken on a task.
type ActionKind uint8

const (
	// Throttle limits the task's processor share to Percent of its grant.
	Throttle ActionKind = iota + 1
	// Unthrottle removes the limit.
	Unthrottle
	// CheckpointAndStop has the task write a checkpoint and stops it.
	CheckpointAndStop
)

// Action is an action to request from a worker.
type Action struct {
	Kind    ActionKind
	Task    structs.TaskID
	Attempt int
	// Percent is the processor share for Throttle.
	Percent int
}

// ShortageGuard decides which actions to take on workers that run short of processor or
// memory. It records when it last stopped tasks on each worker, because reports are
// delayed.
type ShortageGuard struct {
	lastStop map[string]time.Time
}

// NewShortageGuard returns a guard with no record of stops.
func NewShortageGuard() *ShortageGuard { return &ShortageGuard{lastStop: make(map[string]time.Time)} }

// Actions returns the actions for a worker of the given size with the latest reported
// use of its tasks. If processor is short, it throttles tasks that use more than their
// grant. If memory is short, it checkpoints and stops tasks: tasks of services last,
// otherwise those that use the most memory above their grant first, then those with the
// most slack.
func (g *ShortageGuard) Actions(now time.Time, worker string, size structs.Resources, tasks []TaskUsage) []Action {
	actions := processorActions(size, tasks)
	if last, found := g.lastStop[worker]; found && now.Sub(last) < minStopInterval {
		return actions
	}
	stops := memoryActions(size, tasks)
	if len(stops) > 0 {
		g.lastStop[worker] = now
	}
	return append(actions, stops...)
}

// ForgetWorker deletes the record of a worker that was removed.
func (g *ShortageGuard) ForgetWorker(worker string) { delete(g.lastStop, worker) }

// ExcessMemory returns the memory that a worker's settled tasks together use above
// their grants. That amount is not available for placements.
func ExcessMemory(tasks []TaskUsage) structs.Resources {
	var excess int64
	for _, t := range tasks {
		if t.Age >= minSettledAge {
			excess += t.Used.MemoryMiB - t.Granted.MemoryMiB
		}
	}
	return structs.Resources{MemoryMiB: max(excess, 0)}
}

// ProcessorSaturated reports whether a worker's tasks were last reported to use nearly
// all of its processor, so that they may have needed more.
func ProcessorSaturated(size structs.Resources, tasks []TaskUsage) bool {
	return totalUsage(tasks).CPUMilli*100 >= size.CPUMilli*saturatedPercent
}

// processorActions throttles tasks while processor is short and unthrottles them
// afterwards.
func processorActions(size structs.Resources, tasks []TaskUsage) []Action {
	short := totalUsage(tasks).CPUMilli*100 > size.CPUMilli*throttleAbovePercent
	var actions []Action
	for _, t := range tasks {
		over := t.Used.CPUMilli > t.Granted.CPUMilli
		switch {
		case short && over && t.ThrottlePercent == 0:
			actions = append(actions, Action{Kind: Throttle, Task: t.Task, Attempt: t.Attempt, Percent: throttlePercent})
		case !short && t.ThrottlePercent > 0 && mayUnthrottle(size, tasks):
			actions = append(actions, Action{Kind: Unthrottle, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return actions
}

// unthrottleBelowPercent is the processor use of a worker, in percent of its size, up
// to which limits are removed. The gap to throttleAbovePercent prevents flapping.
const unthrottleBelowPercent = 80

// mayUnthrottle reports whether the worker's processor use is low enough to remove
// limits.
func mayUnthrottle(size structs.Resources, tasks []TaskUsage) bool {
	return totalUsage(tasks).CPUMilli*100 <= size.CPUMilli*unthrottleBelowPercent
}

// memoryActions stops tasks until the use of the others is at most stopTargetPercent.
func memoryActions(size structs.Resources, tasks []TaskUsage) []Action {
	used := totalUsage(tasks).MemoryMiB
	if used*100 <= size.MemoryMiB*stopAbovePercent {
		return nil
	}
	order := slices.Clone(tasks)
	slices.SortFunc(order, compareStopOrder)
	var actions []Action
	for _, t := range order {
		if used*100 <= size.MemoryMiB*stopTargetPercent {
			break
		}
		actions = append(actions, Action{Kind: CheckpointAndStop, Task: t.Task, Attempt: t.Attempt})
		used -= t.Used.MemoryMiB
	}
	return actions
}

// compareStopOrder orders tasks by which is stopped first.
func compareStopOrder(a, b TaskUsage) int {
	if a.IsService != b.IsService {
		if b.IsService {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.memoryAboveGrant(), a.memoryAboveGrant()),
		cmp.Compare(b.Slack, a.Slack),
		cmp.Compare(a.Task, b.Task),
	)
}

// totalUsage returns the total use of all tasks.
func totalUsage(tasks []TaskUsage) structs.Resources {
	var used structs.Resources
	for _, t := range tasks {
		used = used.Add(t.Used)
	}
	return used
}
