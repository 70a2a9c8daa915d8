package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// workerOutcomeTimeout is how long a peer call waits for the outcomes of starts or
// stops. Starts without an outcome by then are reported as in doubt.
const workerOutcomeTimeout = 1500 * time.Millisecond

// runOutcome is the outcome of one start or stop.
type runOutcome struct {
	key fleet.RunKey
	err error
}

// pendingStarts are the starts in flight of one placement call.
type pendingStarts struct {
	allocs   map[fleet.RunKey]structs.Alloc
	outcomes chan runOutcome
}

// beginStarts passes runs to the agents of their workers. It is called on the control
// goroutine and returns nil if there are no runs.
func (c *core) beginStarts(chosen []*fleet.Alloc) *pendingStarts {
	if len(chosen) == 0 {
		return nil
	}
	g := &pendingStarts{allocs: make(map[fleet.RunKey]structs.Alloc, len(chosen))}
	for _, a := range chosen {
		g.allocs[a.Key()] = a.Alloc
	}
	// Each start has at most two outcomes: CodeUnknown first, and later a final one.
	g.outcomes = make(chan runOutcome, 2*len(chosen))
	c.startTasks(chosen, func(k fleet.RunKey, err error) {
		select {
		case g.outcomes <- runOutcome{key: k, err: err}:
		default:
		}
	})
	return g
}

// addOutcomes waits for the starts of a placement call and adds their outcomes to the
// response. g may be nil.
func (g *pendingStarts) addOutcomes(ctx context.Context, resp *peerv1.PlaceResponse) {
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

// await collects the outcomes until all are there or the time is over. Runs without an
// outcome and runs whose worker did not answer are in doubt; the member that owns the
// worker reports their state later.
func (g *pendingStarts) await(ctx context.Context) (started, doubt []*peerv1.Placement, refused error) {
	timeout := time.NewTimer(workerOutcomeTimeout)
	defer timeout.Stop()
	for len(g.allocs) > 0 {
		select {
		case o := <-g.outcomes:
			a, pending := g.allocs[o.key]
			if !pending {
				continue
			}
			switch structs.CodeOf(o.err) {
			case "":
				started = append(started, placementMessage(a))
			case structs.CodeUnknown:
				doubt = append(doubt, placementMessage(a))
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
		doubt = append(doubt, placementMessage(a))
	}
	return started, doubt, refused
}

// pendingStops are the stops in flight of one call.
type pendingStops struct {
	awaiting    int
	stoppedRuns []fleet.RunKey
	outcomes    chan runOutcome
}

// beginStops passes the runs of a request to the agents of their workers. Reserved and
// ended runs count as stopped at once.
func (c *core) beginStops(r *peerv1.StopRequest) *pendingStops {
	g := &pendingStops{}
	var agents []fleet.RunKey
	for _, k := range c.runKeys(r) {
		a := c.fleet.Alloc(k)
		switch {
		case a == nil || a.State.Terminal():
			g.stoppedRuns = append(g.stoppedRuns, k)
		case a.State == structs.AllocReserved:
			c.fleet.Release([]fleet.RunKey{k})
			g.stoppedRuns = append(g.stoppedRuns, k)
		default:
			agents = append(agents, k)
		}
	}
	g.awaiting = len(agents)
	g.outcomes = make(chan runOutcome, len(agents))
	for _, k := range agents {
		c.stopRun(k, false, func(k fleet.RunKey, err error) { g.outcomes <- runOutcome{key: k, err: err} })
	}
	return g
}

func (c *core) runKeys(r *peerv1.StopRequest) []fleet.RunKey {
	var keys []fleet.RunKey
	for _, t := range r.Tasks {
		keys = append(keys, fleet.RunKey{Task: structs.TaskID(t.Task), Attempt: int(t.Attempt)})
	}
	return keys
}

// stopRun stops one run on its worker. done is called on the control goroutine.
func (c *core) stopRun(k fleet.RunKey, checkpoint bool, done func(fleet.RunKey, error)) {
	a := c.fleet.Alloc(k)
	agent := c.agents[a.Worker]
	if agent == nil {
		done(k, structs.NewError(structs.CodeUnavailable, "worker %s has terminated or is no longer owned by this entry", a.Worker))
		return
	}
	agent.stopTask(k, checkpoint, func(k fleet.RunKey, err error) {
		if err == nil {
			c.fleet.StopDone(k, time.Now())
		}
		done(k, err)
	})
}

// await waits for the outcomes, at most for the given time, and returns the runs that
// have certainly stopped.
func (g *pendingStops) await(ctx context.Context, wait time.Duration) []*peerv1.Task {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for g.awaiting > 0 {
		select {
		case o := <-g.outcomes:
			g.awaiting--
			if o.err == nil {
				g.stoppedRuns = append(g.stoppedRuns, o.key)
			}
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		break
	}
	var out []*peerv1.Task
	for _, k := range g.stoppedRuns {
		out = append(out, &peerv1.Task{Task: string(k.Task), Attempt: int64(k.Attempt)})
	}
	return out
}
