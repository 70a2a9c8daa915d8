package entry

import (
	"context"
	"slices"
	"time"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// start queues a run to be started. done is called on the control goroutine: with
// nil, with the worker's refusal, or with CodeUnknown while there is no answer.
func (a *agent) start(alloc *fleet.Alloc, done func(fleet.RunKey, error)) {
	a.mu.Lock()
	a.starts = append(a.starts, startJob{task: worker.TaskStart{
		TaskRef: worker.TaskRef{Task: alloc.Task, Attempt: alloc.Attempt},
		Class:   alloc.Class,
		Size:    alloc.Size,
		RunMs:   alloc.RunMs,
		LeaseMs: a.e.timing.Lease.Milliseconds(),
		Payload: alloc.Payload,

		Checkpoint: alloc.Checkpoint,
	}, done: done})
	a.mu.Unlock()
	a.kick()
}

// stopTask queues a run to be stopped; done is called like that of start. A queued
// start of the same run is dropped, so that a cancellation overtakes it.
func (a *agent) stopTask(k fleet.RunKey, checkpoint bool, done func(fleet.RunKey, error)) {
	ref := worker.TaskRef{Task: k.Task, Attempt: k.Attempt}
	a.mu.Lock()
	a.starts = slices.DeleteFunc(a.starts, func(s startJob) bool {
		if s.task.TaskRef != ref {
			return false
		}
		if !s.sent {
			s.done(k, structs.NewError(structs.CodeNotFound, "stopped before it was sent"))
		}
		return true
	})
	a.stops = append(a.stops, stopJob{task: ref, checkpoint: checkpoint, done: done})
	a.mu.Unlock()
	a.kick()
}

// forget queues an ended run to be forgotten by the worker.
func (a *agent) forget(k fleet.RunKey) {
	a.mu.Lock()
	a.forgets = append(a.forgets, worker.TaskRef{Task: k.Task, Attempt: k.Attempt})
	a.mu.Unlock()
	a.kick()
}

// throttle queues a bound on a run's processor share to be set; zero lifts it. done is
// called on the control goroutine.
func (a *agent) throttle(k fleet.RunKey, percent int, done func(fleet.RunKey, error)) {
	if percent == 0 {
		percent = noThrottle
	}
	ref := worker.TaskRef{Task: k.Task, Attempt: k.Attempt}
	a.mu.Lock()
	a.throttles = append(a.throttles, throttleJob{task: worker.TaskThrottle{TaskRef: ref, CPUPercent: percent}, done: done})
	a.mu.Unlock()
	a.kick()
}

// noThrottle is the share in percent that means no bound.
const noThrottle = 100

// sendThrottles sets what is queued. What fails is decided anew by the guard.
func (a *agent) sendThrottles(ctx context.Context) {
	a.mu.Lock()
	queued := a.throttles
	a.throttles = nil
	a.mu.Unlock()
	if len(queued) == 0 {
		return
	}
	cmd, _ := a.command()
	tasks := make([]worker.TaskThrottle, len(queued))
	for i, q := range queued {
		tasks[i] = q.task
	}
	results, err := a.client.Throttle(ctx, cmd, tasks)
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		a.stale(cmd.Epoch, true)
	}
	a.e.post(func() {
		for i, q := range queued {
			result := err
			if err == nil && results[i].Error != nil {
				result = results[i].Error
			}
			q.done(fleet.RunKey{Task: q.task.Task, Attempt: q.task.Attempt}, result)
		}
	})
}

// take empties the queues.
func (a *agent) take() (starts []startJob, stops []stopJob, forgets []worker.TaskRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	starts, stops, forgets = a.starts, a.stops, a.forgets
	a.starts, a.stops, a.forgets = nil, nil, nil
	return starts, stops, forgets
}

// commandLoop sends what is queued whenever the fence is raised: stops before
// starts, so that cancellations overtake.
func (a *agent) commandLoop(ctx context.Context) {
	for {
		select {
		case <-a.wake:
		case <-ctx.Done():
			return
		}
		if _, fenced := a.command(); !fenced {
			continue
		}
		starts, stops, forgets := a.take()
		a.sendStops(ctx, stops)
		a.sendThrottles(ctx)
		a.sendStarts(ctx, starts)
		a.sendForgets(ctx, forgets)
	}
}

// sendStarts starts tasks. Without an answer the same runs are sent again until
// the worker answers or is given up, which is harmless.
func (a *agent) sendStarts(ctx context.Context, starts []startJob) {
	if len(starts) == 0 {
		return
	}
	if !a.e.mayGrant() {
		a.putOffStarts(ctx, starts)
		return
	}
	starts = a.wantedStarts(starts)
	if len(starts) == 0 {
		return
	}
	cmd, _ := a.command()
	tasks := make([]worker.TaskStart, len(starts))
	for i, s := range starts {
		tasks[i] = s.task
	}
	results, uptime, err := a.client.StartTasks(ctx, cmd, tasks)
	if structs.CodeOf(err) == structs.CodeStaleEpoch {
		a.stale(cmd.Epoch, true)
	}
	if err != nil && !refusal(err) {
		a.requeueStarts(ctx, starts)
		err = structs.NewError(structs.CodeUnknown, "worker %s: %v", a.info.ID, err)
	}
	a.answerStarts(starts, results, err)
	if err == nil {
		a.noteUptime(uptime, false)
	}
}

// putOffStarts takes starts that came while the owner's authority has lapsed: only those
// that were never sent are certainly not made. The others are sent again later.
func (a *agent) putOffStarts(ctx context.Context, starts []startJob) {
	var unsent, sent []startJob
	for _, s := range starts {
		if s.sent {
			sent = append(sent, s)
			continue
		}
		unsent = append(unsent, s)
	}
	a.answerStarts(unsent, nil, structs.NewError(structs.CodeNoAuthority, "the owner's authority has lapsed"))
	if len(sent) > 0 {
		a.requeueStarts(ctx, sent)
	}
}

// wantedStarts drops the starts that are needed no more: of runs that an inventory
// has shown meanwhile, and of runs that were given up. Only a start that was never
// sent is answered as not made.
func (a *agent) wantedStarts(starts []startJob) []startJob {
	a.e.do(func() {
		starts = slices.DeleteFunc(starts, func(s startJob) bool {
			k := fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}
			alloc := a.e.core.fleet.Alloc(k)
			if alloc != nil && alloc.State == structs.AllocStarting {
				return false
			}
			if !s.sent {
				s.done(k, structs.NewError(structs.CodeNotFound, "given up before it was sent"))
			}
			return true
		})
	})
	for i := range starts {
		starts[i].sent = true
	}
	return starts
}

// refusal reports whether an error is a worker's typed word that it did nothing.
func refusal(err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeStaleEpoch, structs.CodeInvalid, structs.CodeDraining,
		structs.CodeUnauthorized, structs.CodeTooLarge, structs.CodeOverload:
		return true
	}
	return false
}

// requeueStarts sends the starts again after a pause, while the runs still wait.
func (a *agent) requeueStarts(ctx context.Context, starts []startJob) {
	a.e.spawn(func() {
		pause(ctx, agentRetry)
		a.mu.Lock()
		a.starts = append(starts, a.starts...)
		a.mu.Unlock()
		a.kick()
	})
}

func (a *agent) answerStarts(starts []startJob, results []worker.TaskResult, err error) {
	now := time.Now()
	a.e.do(func() {
		if err == nil {
			a.e.core.fleet.WorkerAnswered(a.info.ID, now, now)
		}
		for i, s := range starts {
			result := err
			if err == nil && results[i].Error != nil {
				result = results[i].Error
			}
			s.done(fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}, result)
		}
	})
}

// sendStops stops tasks; a stop without an answer is reported as unknown.
func (a *agent) sendStops(ctx context.Context, stops []stopJob) {
	for _, checkpoint := range []bool{false, true} {
		var batch []stopJob
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
		cmd, _ := a.command()
		results, err := a.client.StopTasks(ctx, cmd, refs, checkpoint)
		if structs.CodeOf(err) == structs.CodeStaleEpoch {
			a.stale(cmd.Epoch, true)
		}
		a.answerStops(batch, results, err)
	}
}

func (a *agent) answerStops(stops []stopJob, results []worker.TaskResult, err error) {
	a.e.post(func() {
		for i, s := range stops {
			result := err
			if err == nil && results[i].Error != nil {
				result = results[i].Error
			}
			s.done(fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}, result)
		}
	})
}

// sendForgets tells the worker which ended tasks are needed no more. What is lost
// here is asked for again by the next inventory.
func (a *agent) sendForgets(ctx context.Context, refs []worker.TaskRef) {
	if len(refs) == 0 {
		return
	}
	cmd, _ := a.command()
	if err := a.client.Forget(ctx, cmd, refs); err != nil {
		a.e.spawn(func() {
			pause(ctx, agentRetry)
			a.mu.Lock()
			a.forgets = append(a.forgets, refs...)
			a.mu.Unlock()
			a.kick()
		})
		return
	}
	a.e.post(func() {
		for _, ref := range refs {
			a.e.core.fleet.RunForgotten(fleet.RunKey{Task: ref.Task, Attempt: ref.Attempt})
		}
	})
}

// drop answers what was queued when the agent ended: nothing of it was sent.
func (a *agent) drop() {
	starts, stops, _ := a.take()
	a.e.post(func() {
		for _, s := range starts {
			s.done(fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}, structs.NewError(structs.CodeUnknown, "the worker has another owner"))
		}
		for _, s := range stops {
			s.done(fleet.RunKey{Task: s.task.Task, Attempt: s.task.Attempt}, structs.NewError(structs.CodeUnknown, "the worker has another owner"))
		}
	})
}
