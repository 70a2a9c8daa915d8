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
func (c *core) beginStarts(allocs []*fleet.Alloc) *pendingStarts {
	if len(allocs) == 0 {
		return nil
	}
	p := &pendingStarts{allocs: make(map[fleet.RunKey]structs.Alloc, len(allocs))}
	for _, a := range allocs {
		p.allocs[a.Key()] = a.Alloc
	}
	// Each start has at most two outcomes: CodeUnknown first, and later a final one.
	p.outcomes = make(chan runOutcome, 2*len(allocs))
	c.startTasks(allocs, func(k fleet.RunKey, err error) {
		select {
		case p.outcomes <- runOutcome{key: k, err: err}:
		default:
		}
	})
	return p
}

// addOutcomes waits for the starts of a placement call and adds their outcomes to the
// response. p may be nil.
func (p *pendingStarts) addOutcomes(ctx context.Context, resp *peerv1.PlaceResponse) {
	if p == nil {
		return
	}
	started, inDoubt, refusal := p.await(ctx)
	resp.Placed = append(resp.Placed, started...)
	resp.Doubt = append(resp.Doubt, inDoubt...)
	if refusal != nil && resp.Error == nil {
		resp.Error = fromError(refusal)
	}
}

// await collects the outcomes until all are there or the time is over. Runs without an
// outcome and runs whose worker did not answer are in doubt; the member that owns the
// worker reports their state later.
func (p *pendingStarts) await(ctx context.Context) (started, inDoubt []*peerv1.Placement, refusal error) {
	timeout := time.NewTimer(workerOutcomeTimeout)
	defer timeout.Stop()
	for len(p.allocs) > 0 {
		select {
		case o := <-p.outcomes:
			a, pending := p.allocs[o.key]
			if !pending {
				continue
			}
			switch structs.CodeOf(o.err) {
			case "":
				started = append(started, placementMessage(a))
			case structs.CodeUnknown:
				inDoubt = append(inDoubt, placementMessage(a))
			default:
				refusal = o.err
			}
			delete(p.allocs, o.key)
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		break
	}
	for _, a := range p.allocs {
		inDoubt = append(inDoubt, placementMessage(a))
	}
	return started, inDoubt, refusal
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
	p := &pendingStops{}
	var running []fleet.RunKey
	for _, k := range c.runKeys(r) {
		a := c.fleet.Alloc(k)
		switch {
		case a == nil || a.State.Terminal():
			p.stoppedRuns = append(p.stoppedRuns, k)
		case a.State == structs.AllocReserved:
			c.fleet.Release([]fleet.RunKey{k})
			p.stoppedRuns = append(p.stoppedRuns, k)
		default:
			running = append(running, k)
		}
	}
	p.awaiting = len(running)
	p.outcomes = make(chan runOutcome, len(running))
	for _, k := range running {
		c.stopRun(k, false, func(k fleet.RunKey, err error) { p.outcomes <- runOutcome{key: k, err: err} })
	}
	return p
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
func (p *pendingStops) await(ctx context.Context, wait time.Duration) []*peerv1.Task {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for p.awaiting > 0 {
		select {
		case o := <-p.outcomes:
			p.awaiting--
			if o.err == nil {
				p.stoppedRuns = append(p.stoppedRuns, o.key)
			}
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		break
	}
	var out []*peerv1.Task
	for _, k := range p.stoppedRuns {
		out = append(out, &peerv1.Task{Task: string(k.Task), Attempt: int64(k.Attempt)})
	}
	return out
}
