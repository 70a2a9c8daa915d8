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

// Limits and intervals of sizing by learnt usage.
const (
	// pressureCheckPeriod is how often workers whose usage is known are checked for
	// shortage.
	pressureCheckPeriod = 250 * time.Millisecond
	// summaryHeartbeats is the number of heartbeats from one summary of learnt usage to
	// the next, and summaryPopulations the number of populations in each. They limit the
	// traffic to some hundreds of bytes a second.
	summaryHeartbeats  = 4
	summaryPopulations = 2
	// unchangedSummaryHeartbeats is the number of heartbeats between summaries that
	// include populations without news.
	unchangedSummaryHeartbeats = 40
)

// estimatedGrant returns the size that this entry would grant the tasks of a request by
// its own knowledge. The owners of workers decide the actual grant; the estimate only
// tells which of them are worth asking.
func (c *core) estimatedGrant(request orchestrator.PlacementRequest) structs.Resources {
	return c.fleet.GrantedSize(request.Job.Class, request.Job.Kind, request.Job.Size, request.MinMemoryMiB)
}

// relieveOverloadedWorkers throttles tasks, or checkpoints and stops them, on owned
// workers that are short of processor or memory.
func (c *core) relieveOverloadedWorkers(now time.Time) {
	if !c.joined || now.Before(c.nextPressureCheck) {
		return
	}
	c.nextPressureCheck = now.Add(pressureCheckPeriod)
	for _, action := range c.fleet.CheckUsage(now, c.control.Class) {
		if action.Kind == sizing.CheckpointAndStop {
			c.checkpointRun(action.Alloc)
			continue
		}
		c.throttleRun(action)
	}
}

// checkpointRun stops a run with a checkpoint because its worker is short of memory.
func (c *core) checkpointRun(a *fleet.Alloc) {
	c.recordEviction(a, "")
	id := a.Worker
	c.stopRun(a.Key(), true, func(k fleet.RunKey, err error) { c.fleet.EvictDone(id, k, err) })
}

// throttleRun sets or lifts the limit on a run's processor share.
func (c *core) throttleRun(action fleet.GuardAction) {
	a := action.Alloc
	agent := c.agents[a.Worker]
	if agent == nil {
		c.fleet.ThrottleDone(a.Key(), structs.NewError(structs.CodeUnavailable, "worker %s has terminated or is no longer owned by this entry", a.Worker))
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

// nextLearntUses returns the next part of the learnt resource usage, or nil if this
// heartbeat carries none.
func (c *core) nextLearntUses() []*peerv1.LearntUse {
	if c.heartbeatCount%summaryHeartbeats != 0 || !c.e.settings.Packing.LearnUsage {
		return nil
	}
	var out []*peerv1.LearntUse
	for _, u := range c.fleet.Sizer().UsageToShare(summaryPopulations, c.heartbeatCount%unchangedSummaryHeartbeats == 0) {
		out = append(out, &peerv1.LearntUse{
			Class:     u.Population.Class,
			Declared:  fromResources(u.Population.DeclaredSize),
			Processor: fromMoments(u.Processor),
			Memory:    fromMoments(u.Memory),
		})
	}
	return out
}

// mergeLearntUses stores the resource usage that another member has learnt.
func (c *core) mergeLearntUses(member string, list []*peerv1.LearntUse) {
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

// fromMoments rounds up to whole units, so that rounding never makes a member grant
// less.
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
