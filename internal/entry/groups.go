package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// startWait is how long a placement call waits for workers before it leaves the
// rest in doubt.
const startWait = 1500 * time.Millisecond

// startOutcome is a worker's word on one start.
type startOutcome struct {
	key fleet.RunKey
	err error
}

// startGroup awaits the starts of one placement call.
type startGroup struct {
	allocs   map[fleet.RunKey]structs.Alloc
	outcomes chan startOutcome
}

// startGroup hands runs to their agents. It is called on the control goroutine.
func (c *core) startGroup(chosen []*fleet.Alloc) *startGroup {
	if len(chosen) == 0 {
		return nil
	}
	g := &startGroup{allocs: make(map[fleet.RunKey]structs.Alloc, len(chosen))}
	for _, a := range chosen {
		g.allocs[a.Key()] = a.Alloc
	}
	// A start is answered at most twice: first as unknown, then for good.
	g.outcomes = make(chan startOutcome, 2*len(chosen))
	c.startTasks(chosen, func(k fleet.RunKey, err error) {
		select {
		case g.outcomes <- startOutcome{key: k, err: err}:
		default:
		}
	})
	return g
}

// answer awaits the starts of a placement call, if there are any, and adds their
// outcomes to the answer.
func (g *startGroup) answer(ctx context.Context, resp *peerv1.PlaceResponse) {
	if g == nil {
		return
	}
	started, doubt, refused := g.await(ctx)
	resp.Placed = append(resp.Placed, started...)
	resp.Doubt = append(resp.Doubt, doubt...)
	if refused != nil && resp.Error == nil {
		resp.Error = fromError(refused)
	}
}

// await collects the outcomes. Runs without one when the time is up, and those
// whose worker gave no answer, are in doubt: their owner reports them later.
func (g *startGroup) await(ctx context.Context) (started, doubt []*peerv1.Placement, refused error) {
	timeout := time.NewTimer(startWait)
	defer timeout.Stop()
	for len(g.allocs) > 0 {
		select {
		case o := <-g.outcomes:
			a, open := g.allocs[o.key]
			if !open {
				continue
			}
			switch structs.CodeOf(o.err) {
			case "":
				started = append(started, placementOf(a))
			case structs.CodeUnknown:
				doubt = append(doubt, placementOf(a))
			default:
				refused = o.err
			}
			delete(g.allocs, o.key)
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		break
	}
	for _, a := range g.allocs {
		doubt = append(doubt, placementOf(a))
	}
	return started, doubt, refused
}

// stopGroup awaits the stops of one call.
type stopGroup struct {
	open     int
	stopped  []fleet.RunKey
	outcomes chan startOutcome
}

// stopRuns hands the named runs to their agents.
func (c *core) stopRuns(r *peerv1.StopRequest) *stopGroup {
	g := &stopGroup{}
	var agents []fleet.RunKey
	for _, k := range c.stopKeys(r) {
		a := c.fleet.Alloc(k)
		switch {
		case a == nil || a.State.Terminal():
			g.stopped = append(g.stopped, k)
		case a.State == structs.AllocReserved:
			c.fleet.Release([]fleet.RunKey{k})
			g.stopped = append(g.stopped, k)
		default:
			agents = append(agents, k)
		}
	}
	g.open = len(agents)
	g.outcomes = make(chan startOutcome, len(agents))
	for _, k := range agents {
		c.stopRun(k, false, func(k fleet.RunKey, err error) { g.outcomes <- startOutcome{key: k, err: err} })
	}
	return g
}

func (c *core) stopKeys(r *peerv1.StopRequest) []fleet.RunKey {
	var keys []fleet.RunKey
	for _, t := range r.Tasks {
		keys = append(keys, fleet.RunKey{Task: structs.TaskID(t.Task), Attempt: int(t.Attempt)})
	}
	return keys
}

// stopRun stops one run at its worker. done is called on the control goroutine.
func (c *core) stopRun(k fleet.RunKey, checkpoint bool, done func(fleet.RunKey, error)) {
	a := c.fleet.Alloc(k)
	agent := c.agents[a.Worker]
	if agent == nil {
		done(k, structs.NewError(structs.CodeUnavailable, "worker %s has no agent", a.Worker))
		return
	}
	agent.stopTask(k, checkpoint, func(k fleet.RunKey, err error) {
		if err == nil {
			c.fleet.StopDone(k, time.Now())
		}
		done(k, err)
	})
}

// await collects the runs that certainly do not run any more.
func (g *stopGroup) await(ctx context.Context, wait time.Duration) []*peerv1.Task {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for g.open > 0 {
		select {
		case o := <-g.outcomes:
			g.open--
			if o.err == nil {
				g.stopped = append(g.stopped, o.key)
			}
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		break
	}
	var out []*peerv1.Task
	for _, k := range g.stopped {
		out = append(out, &peerv1.Task{Task: string(k.Task), Attempt: int64(k.Attempt)})
	}
	return out
}
