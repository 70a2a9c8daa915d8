package entry

import (
	"math"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/scheduler/sizing"
	"dotterelhitch/internal/structs"
)

// Bounds of learnt sizes.
const (
	// guardPeriod is how often workers of which use was shown are looked at.
	guardPeriod = 250 * time.Millisecond
	// shareBeats is the number of heartbeats from one summary to the next, and
	// shareKinds the number of kinds in each, so that the sharing stays within some
	// hundreds of bytes a second.
	shareBeats = 4
	shareKinds = 2
	// shareAllBeats is the same for summaries of kinds of which nothing is new.
	shareAllBeats = 40
)

// grantOf is what the tasks of an order would be granted by this entry's own
// knowledge. The owners of workers decide; it tells which of them are worth asking.
func (c *core) grantOf(order orchestrator.PlacementRequest) structs.Resources {
	return c.fleet.GrantedSize(order.Job.Class, order.Job.Kind, order.Job.Size, order.MinMemoryMiB)
}

// guardWorkers throttles and checkpoints tasks on owned workers that are short.
func (c *core) guardWorkers(now time.Time) {
	if !c.joined || now.Before(c.nextGuard) {
		return
	}
	c.nextGuard = now.Add(guardPeriod)
	for _, action := range c.fleet.CheckUsage(now, c.control.Class) {
		if action.Kind == sizing.CheckpointAndStop {
			c.checkpointRun(action.Alloc)
			continue
		}
		c.throttleRun(action)
	}
}

// checkpointRun stops a run of which the worker is short of memory.
func (c *core) checkpointRun(a *fleet.Alloc) {
	c.noteEvicted(a, "")
	id := a.Worker
	c.stopRun(a.Key(), true, func(k fleet.RunKey, err error) { c.fleet.EvictDone(id, k, err) })
}

// throttleRun sets or lifts the bound on a run's processor share.
func (c *core) throttleRun(action fleet.GuardAction) {
	a := action.Alloc
	agent := c.agents[a.Worker]
	if agent == nil {
		c.fleet.ThrottleDone(a.Key(), structs.NewError(structs.CodeUnavailable, "worker %s has no agent", a.Worker))
		return
	}
	c.e.events.Record(event.Event{
		Type:    event.TaskThrottled,
		Task:    a.Task,
		Attempt: a.Attempt,
		Worker:  a.Worker,
		Class:   a.Class,
		Count:   action.Percent,
	})
	agent.throttle(a.Key(), action.Percent, c.fleet.ThrottleDone)
}

// shareLearnt returns the next part of what was learnt here, if it is time.
func (c *core) shareLearnt() []*peerv1.LearntUse {
	if c.beat%shareBeats != 0 || !c.e.settings.Packing.LearnUsage {
		return nil
	}
	var out []*peerv1.LearntUse
	for _, u := range c.fleet.Sizer().UsageToShare(shareKinds, c.beat%shareAllBeats == 0) {
		out = append(out, &peerv1.LearntUse{
			Class:     u.Population.Class,
			Declared:  fromResources(u.Population.DeclaredSize),
			Processor: fromMoments(u.Processor),
			Memory:    fromMoments(u.Memory),
		})
	}
	return out
}

// takeLearnt takes what another member has learnt.
func (c *core) takeLearnt(member string, list []*peerv1.LearntUse) {
	uses := make([]sizing.ObservedUsage, len(list))
	for i, u := range list {
		uses[i] = sizing.ObservedUsage{
			Population: sizing.Population{Class: u.Class, DeclaredSize: toResources(u.Declared)},
			Processor:  toMoments(u.Processor),
			Memory:     toMoments(u.Memory),
		}
	}
	c.fleet.Sizer().SetMemberUsage(member, uses)
}

// fromMoments rounds up to whole units, so that nobody grants less by what is told.
func fromMoments(m sizing.Moments) *peerv1.Moments {
	return &peerv1.Moments{
		Count:     m.Count,
		Mean:      int64(math.Ceil(m.Mean)),
		Deviation: int64(math.Ceil(m.StdDev)),
		Most:      m.Max,
	}
}

func toMoments(m *peerv1.Moments) sizing.Moments {
	if m == nil {
		return sizing.Moments{}
	}
	return sizing.Moments{Count: m.Count, Mean: float64(m.Mean), StdDev: float64(m.Deviation), Max: m.Most}
}
