package entry

import (
	"context"
	"slices"
	"time"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// start queues the start of a run. done is called on the control goroutine with nil,
// with the worker's refusal, or with CodeUnknown each time the worker did not answer.
func (a *agent) start(alloc *fleet.Alloc, done func(fleet.RunKey, error)) {
	a.mu.Lock()
	a.starts = append(a.starts, queuedStart{task: worker.TaskStart{
		TaskRef: worker.TaskRef{Task: alloc.Task, Attempt: alloc.Attempt},
		Class:   alloc.Class,
		Size:    alloc.Size,
		RunMs:   alloc.RunMs,
		LeaseMs: a.e.timing.Lease.Milliseconds(),
		Payload: alloc.Payload,

		Checkpoint: alloc.Checkpoint,
	}, done: done})
	a.mu.Unlock()
	a.signal()
}

// stopTask queues the stop of a run; done is called as for start. A queued start of the
// same run is dropped, so that a cancellation takes effect before a start that has not
// been sent.
func (a *agent) stopTask(k fleet.RunKey, checkpoint bool, done func(fleet.RunKey, error)) {
	ref := worker.TaskRef{Task: k.Task, Attempt: k.Attempt}
	a.mu.Lock()
	a.starts = slices.DeleteFunc(a.starts, func(s queuedStart) bool {
		if s.task.TaskRef != ref {
			return false
		}
		if !s.sent {
			s.done(k, structs.NewError(structs.CodeNotFound, "the run was stopped before its start was sent"))
		}
		return true
	})
	a.stops = append(a.stops, queuedStop{task: ref, checkpoint: checkpoint, done: done})
	a.mu.Unlock()
	a.signal()
}

// forget queues a command that lets the worker delete its record of an ended run.
func (a *agent) forget(k fleet.RunKey) {
	a.mu.Lock()
	a.forgets = append(a.forgets, worker.TaskRef{Task: k.Task, Attempt: k.Attempt})
	a.mu.Unlock()
	a.signal()
}

// throttle queues a limit on a run's processor share, in percent; zero lifts the limit.
// done is called on the control goroutine.
func (a *agent) throttle(k fleet.RunKey, percent int, done func(fleet.RunKey, error)) {
	if percent == 0 {
		percent = unthrottledPercent
	}
	ref := worker.TaskRef{Task: k.Task, Attempt: k.Attempt}
	a.mu.Lock()
	a.throttles = append(a.throttles, queuedThrottle{task: worker.TaskThrottle{TaskRef: ref, CPUPercent: percent}, done: done})
	a.mu.Unlock()
	a.signal()
}

// unthrottledPercent is the processor share that workers treat as no limit.
const unthrottledPercent = 100

// sendThrottles sends the queued limits. Failed ones are not repeated: the shortage
// guard decides about them again.
func (a *agent) sendThrottles(ctx context.Context) {
	a.mu.Lock()
	queued := a.throttles
	a.throttles = nil
	a.mu.Unlock()
	if len(queued) == 0 {
		return
	}
	cmd, _ := a.commandHeader()
	tasks := make([]worker.TaskThrottle, len(queued))
	for i, q := range queued {
		tasks[i] = q.task
	}
	results, err := a.client.Throttle(ctx, cmd, tasks)
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		a.handleFenceMismatch(cmd.Epoch, true)
	}
	a.e.postToControl(func() {
		for i, q := range queued {
			result := err
			if err == nil && results[i].Error != nil {
				result = results[i].Error
			}
			q.done(fleet.RunKey{Task: q.task.Task, Attempt: q.task.Attempt}, result)
		}
	})
}

// dequeueAll empties the queues of starts, stops and forgets and returns their contents.
func (a *agent) dequeueAll() (starts []queuedStart, stops []queuedStop, forgets []worker.TaskRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	starts, stops, forgets = a.starts, a.stops, a.forgets
	a.starts, a.stops, a.forgets = nil, nil, nil
	return starts, stops, forgets
}

// commandLoop sends the queued commands whenever the fence is raised. Stops are sent
// before starts, so that a cancellation precedes a start of the same run.
func (a *agent) commandLoop(ctx context.Context) {
	for {
		select {
		case <-a.wake:
		case <-ctx.Done():
			return
		}
		if _, fenced := a.commandHeader(); !fenced {
			continue
		}
		starts, stops, forgets := a.dequeueAll()
		a.sendStops(ctx, stops)
		a.sendThrottles(ctx)
		a.sendStarts(ctx, starts)
		a.sendForgets(ctx, forgets)
	}
}

// sendStarts starts tasks. If the worker does not answer, the same starts are sent again
// until it answers or its runs are given up. Workers ignore the start of a run that they
// already have, so repeating is safe. The refusal of a repeated start does not say
// whether an earlier one took effect, so the run is stopped instead.
func (a *agent) sendStarts(ctx context.Context, starts []queuedStart) {
	if len(starts) == 0 {
		return
	}
	if !a.e.mayGrant() {
		a.deferStarts(ctx, starts)
		return
	}
	starts = a.dropObsoleteStarts(starts)
	if len(starts) == 0 {
		return
	}
	cmd, _ := a.commandHeader()
	tasks := make([]worker.TaskStart, len(starts))
	repeated := make([]bool, len(starts))
	for i := range starts {
		tasks[i] = starts[i].task
		repeated[i] = starts[i].sent
		starts[i].sent = true
	}
	results, uptime, err := a.client.StartTasks(ctx, cmd, tasks)
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		a.handleFenceMismatch(cmd.Epoch, true)
	}
	if err != nil && !isRefusal(err) {
		a.requeueStarts(ctx, starts)
		err = structs.NewError(structs.CodeUnknown, "worker %s: %v", a.info.ID, err)
	}
	outcomes := make([]error, len(starts))
	for i, s := range starts {
		outcomes[i] = err
		if err == nil && results[i].Error != nil {
			outcomes[i] = results[i].Error
		}
		if outcomes[i] != nil && repeated[i] && structs.CodeOf(outcomes[i]) != structs.CodeUnknown {
			outcomes[i] = structs.NewError(structs.CodeUnknown, "worker %s refused a repeated start: %v", a.info.ID, outcomes[i])
			a.stopUnconfirmed(ctx, fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt})
		}
	}
	a.completeStarts(starts, outcomes, err == nil)
	if err == nil {
		a.recordUptime(uptime, false)
	}
}

// deferStarts handles starts while this entry has no authority. Only the starts that
// were never sent are certain not to happen; they fail with CodeNoAuthority. The others
// are queued again.
func (a *agent) deferStarts(ctx context.Context, starts []queuedStart) {
	var unsent, sent []queuedStart
	for _, s := range starts {
		if s.sent {
			sent = append(sent, s)
			continue
		}
		unsent = append(unsent, s)
	}
	lapsed := structs.NewError(structs.CodeNoAuthority, "the owner's authority has lapsed")
	a.completeStarts(unsent, slices.Repeat([]error{lapsed}, len(unsent)), false)
	if len(sent) > 0 {
		a.requeueStarts(ctx, sent)
	}
}

// dropObsoleteStarts removes the starts of runs that are no longer in the starting
// state: an inventory has shown them meanwhile, or they were given up. Only a start that
// was never sent fails with CodeNotFound. The remaining starts are marked as sent.
func (a *agent) dropObsoleteStarts(starts []queuedStart) []queuedStart {
	a.e.runOnControl(func() {
		starts = slices.DeleteFunc(starts, func(s queuedStart) bool {
			k := fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}
			alloc := a.e.core.fleet.Alloc(k)
			if alloc != nil && alloc.State == structs.AllocStarting {
				return false
			}
			if !s.sent {
				s.done(k, structs.NewError(structs.CodeNotFound, "the run was given up before its start was sent"))
			}
			return true
		})
	})
	return starts
}

// isRefusal reports whether an error is the worker's answer that it did not carry the
// command out.
func isRefusal(err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeStaleEpoch, structs.CodeInvalid, structs.CodeDraining,
		structs.CodeUnauthorized, structs.CodeTooLarge, structs.CodeOverload:
		return true
	}
	return false
}

// requeueStarts puts the starts at the front of the queue again after agentRetryDelay.
func (a *agent) requeueStarts(ctx context.Context, starts []queuedStart) {
	a.e.spawn(func() {
		sleep(ctx, agentRetryDelay)
		a.mu.Lock()
		a.starts = append(starts, a.starts...)
		a.mu.Unlock()
		a.signal()
	})
}

// stopUnconfirmed stops a run of which it is not known whether a start took effect. The
// stop is repeated until the worker confirms it or the run is no longer starting.
func (a *agent) stopUnconfirmed(ctx context.Context, k fleet.RunKey) {
	a.stopTask(k, false, func(k fleet.RunKey, err error) {
		if err == nil {
			a.e.core.fleet.StopDone(k, time.Now())
			return
		}
		alloc := a.e.core.fleet.Alloc(k)
		if ctx.Err() != nil || alloc == nil || alloc.State != structs.AllocStarting {
			return
		}
		a.e.spawn(func() {
			sleep(ctx, agentRetryDelay)
			a.stopUnconfirmed(ctx, k)
		})
	})
}

// completeStarts reports the outcomes of starts to their callers. answered says that they are from
// an answer of the worker.
func (a *agent) completeStarts(starts []queuedStart, outcomes []error, answered bool) {
	now := time.Now()
	a.e.runOnControl(func() {
		if answered {
			a.e.core.fleet.WorkerAnswered(a.info.ID, now, now)
		}
		for i, s := range starts {
			s.done(fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}, outcomes[i])
		}
	})
}

// sendStops stops tasks, in one call each for stops with and without a checkpoint. Stops
// that are not answered are not repeated here; their callback gets the error.
func (a *agent) sendStops(ctx context.Context, stops []queuedStop) {
	for _, checkpoint := range []bool{false, true} {
		var batch []queuedStop
		var refs []worker.TaskRef
		for _, s := range stops {
			if s.checkpoint == checkpoint {
				batch = append(batch, s)
				refs = append(refs, s.task)
			}
		}
		if len(batch) == 0 {
			continue
		}
		cmd, _ := a.commandHeader()
		results, err := a.client.StopTasks(ctx, cmd, refs, checkpoint)
		if structs.CodeOf(err) == structs.CodeStaleEpoch {
			a.handleFenceMismatch(cmd.Epoch, true)
		}
		a.completeStops(batch, results, err)
	}
}

func (a *agent) completeStops(stops []queuedStop, results []worker.TaskResult, err error) {
	a.e.postToControl(func() {
		for i, s := range stops {
			result := err
			if err == nil && results[i].Error != nil {
				result = results[i].Error
			}
			s.done(fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}, result)
		}
	})
}

// sendForgets tells the worker which ended runs it may delete. A failed call is repeated
// after agentRetryDelay. If a command is lost nevertheless, the next inventory that
// shows the run leads to a new one.
func (a *agent) sendForgets(ctx context.Context, refs []worker.TaskRef) {
	if len(refs) == 0 {
		return
	}
	cmd, _ := a.commandHeader()
	if err := a.client.Forget(ctx, cmd, refs); err != nil {
		a.e.spawn(func() {
			sleep(ctx, agentRetryDelay)
			a.mu.Lock()
			a.forgets = append(a.forgets, refs...)
			a.mu.Unlock()
			a.signal()
		})
		return
	}
	a.e.postToControl(func() {
		for _, ref := range refs {
			a.e.core.fleet.RunForgotten(fleet.RunKey{Task: ref.Task, Attempt: ref.Attempt})
		}
	})
}

// failQueued fails the starts and stops that were still queued when the agent ended.
// None of them was sent after it was queued.
func (a *agent) failQueued() {
	starts, stops, _ := a.dequeueAll()
	a.e.postToControl(func() {
		for _, s := range starts {
			s.done(fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}, structs.NewError(structs.CodeUnknown, "the worker has another owner"))
		}
		for _, s := range stops {
			s.done(fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}, structs.NewError(structs.CodeUnknown, "the worker has another owner"))
		}
	})
}
