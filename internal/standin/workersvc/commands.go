package workersvc

import (
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// admit checks a command's epoch and raises the fence to it; it needs the lock.
func (w *Worker) admit(cmd worker.CommandHeader) error {
	if cmd.Epoch < 1 || cmd.Owner == "" {
		return structs.NewError(structs.CodeInvalid, "epoch %d, owner %q: want both", cmd.Epoch, cmd.Owner)
	}
	if cmd.Epoch < w.fence && !w.faults.AcceptStaleEpochs {
		return structs.NewError(structs.CodeStaleEpoch, "epoch %d of %s: the fence is at %d of %s", cmd.Epoch, cmd.Owner, w.fence, w.owner)
	}
	if cmd.Epoch == w.fence && cmd.Owner == w.owner {
		return nil
	}
	w.fence = cmd.Epoch
	w.owner = cmd.Owner
	w.record(event.Event{Type: event.WorkerFence, Epoch: cmd.Epoch, Member: cmd.Owner})
	w.bump()
	return nil
}

// Fence raises the fence and returns the inventory.
func (w *Worker) Fence(cmd worker.CommandHeader) (worker.Inventory, error) {
	now := w.lock()
	defer w.mu.Unlock()
	if err := w.admit(cmd); err != nil {
		return worker.Inventory{}, err
	}
	return w.inventory(now), nil
}

// StartTasks starts tasks; a run that is known already is left as it is.
func (w *Worker) StartTasks(in worker.StartRequest) (worker.TaskResults, error) {
	now := w.lock()
	defer w.mu.Unlock()
	if err := w.admit(in.CommandHeader); err != nil {
		return worker.TaskResults{}, err
	}
	out := worker.TaskResults{Results: make([]worker.TaskResult, len(in.Tasks)), UptimeMs: w.uptime(now)}
	for i, start := range in.Tasks {
		out.Results[i] = result(start.TaskRef, w.start(start, in.CommandHeader, now))
	}
	return out, nil
}

// start needs the lock.
func (w *Worker) start(start worker.TaskStart, cmd worker.CommandHeader, now time.Time) error {
	if _, known := w.tasks[start.TaskRef]; known {
		return nil
	}
	if w.draining {
		return structs.NewError(structs.CodeDraining, "worker %s is shutting down", w.ID())
	}
	if start.Task == "" || start.Attempt < 1 || start.LeaseMs < 1 || start.RunMs < 0 || start.Size.HasNegative() {
		return structs.NewError(structs.CodeInvalid, "task %q attempt %d: want a name, an attempt and a lease, and no negative size", start.Task, start.Attempt)
	}
	leaseEnd, err := w.leaseEnd(cmd, start.LeaseMs, now)
	if err != nil {
		return err
	}
	t := newTask(start, now)
	t.leaseEnd = leaseEnd
	if w.faults.FailAll || t.payload.failsOn(w.ID()) {
		t.fail()
	}
	t.reportAt = now.Add(w.cfg.UsageLag)
	w.add(t)
	size := start.Size
	w.record(event.Event{
		Type:    event.TaskRun,
		Task:    start.Task,
		Attempt: start.Attempt,
		Class:   start.Class,
		Size:    &size,
		Epoch:   cmd.Epoch,
		Detail:  start.Checkpoint,
	})
	w.changedTask(t)
	return nil
}

// add needs the lock.
func (w *Worker) add(t *task) {
	w.tasks[t.start.TaskRef] = t
	w.order = append(w.order, t.start.TaskRef)
	if t.running() {
		w.running = append(w.running, t)
	}
}

// RenewLeases renews the lease of every running task.
func (w *Worker) RenewLeases(in worker.RenewRequest) (worker.RenewResult, error) {
	now := w.lock()
	defer w.mu.Unlock()
	if err := w.admit(in.CommandHeader); err != nil {
		return worker.RenewResult{}, err
	}
	if in.LeaseMs < 1 {
		return worker.RenewResult{}, structs.NewError(structs.CodeInvalid, "lease_ms %d: want 1 or more", in.LeaseMs)
	}
	leaseEnd, err := w.leaseEnd(in.CommandHeader, in.LeaseMs, now)
	if err != nil {
		return worker.RenewResult{}, err
	}
	renewed := 0
	for _, t := range w.running {
		if !t.running() {
			continue
		}
		if leaseEnd.After(t.leaseEnd) {
			t.leaseEnd = leaseEnd
		}
		renewed++
	}
	return worker.RenewResult{Renewed: renewed, UptimeMs: w.uptime(now)}, nil
}

// uptime is the time since the worker's start in milliseconds.
func (w *Worker) uptime(now time.Time) int64 { return now.Sub(w.booted).Milliseconds() }

// leaseEnd returns the end of a lease that counts from the reading of the uptime
// that the command names. A command that names one older than the lease, or one of
// an earlier start, was under way for too long and is refused.
func (w *Worker) leaseEnd(cmd worker.CommandHeader, leaseMs int64, now time.Time) (time.Time, error) {
	if cmd.WorkerUptimeMs == 0 {
		return now.Add(millis(leaseMs)), nil
	}
	end := w.booted.Add(millis(cmd.WorkerUptimeMs + leaseMs))
	if cmd.WorkerUptimeMs > w.uptime(now) || !now.Before(end) {
		return time.Time{}, structs.NewError(structs.CodeDeadline, "as of %d ms, uptime is %d ms: the command is too old", cmd.WorkerUptimeMs, w.uptime(now))
	}
	return end, nil
}

// StopTasks stops tasks. A run that is not known is remembered as stopped, so
// that a start of it that comes later does nothing.
func (w *Worker) StopTasks(in worker.StopRequest) (worker.TaskResults, error) {
	now := w.lock()
	defer w.mu.Unlock()
	if err := w.admit(in.CommandHeader); err != nil {
		return worker.TaskResults{}, err
	}
	out := worker.TaskResults{Results: make([]worker.TaskResult, len(in.Tasks))}
	for i, ref := range in.Tasks {
		w.stop(ref, in.Checkpoint, now)
		out.Results[i] = result(ref, nil)
	}
	return out, nil
}

// stop needs the lock.
func (w *Worker) stop(ref worker.TaskRef, checkpoint bool, now time.Time) {
	t, known := w.tasks[ref]
	if !known {
		t = &task{start: worker.TaskStart{TaskRef: ref}, state: structs.AllocStopped, reason: "stopped before its start"}
		w.add(t)
		w.changedTask(t)
		return
	}
	if !t.running() {
		return
	}
	t.count(now, w.faults.slow())
	if checkpoint {
		t.checkpoint = t.save()
	}
	w.end(t, structs.AllocStopped, "stopped by command")
}

// Throttle bounds the processor time of running tasks.
func (w *Worker) Throttle(in worker.ThrottleRequest) (worker.TaskResults, error) {
	now := w.lock()
	defer w.mu.Unlock()
	if err := w.admit(in.CommandHeader); err != nil {
		return worker.TaskResults{}, err
	}
	out := worker.TaskResults{Results: make([]worker.TaskResult, len(in.Tasks))}
	for i, th := range in.Tasks {
		out.Results[i] = result(th.TaskRef, w.throttle(th, now))
	}
	return out, nil
}

// throttle needs the lock.
func (w *Worker) throttle(th worker.TaskThrottle, now time.Time) error {
	t, known := w.tasks[th.TaskRef]
	if !known || !t.running() {
		return structs.NewError(structs.CodeNotFound, "task %s attempt %d does not run", th.Task, th.Attempt)
	}
	if th.CPUPercent < 0 || th.CPUPercent > fullPercent {
		return structs.NewError(structs.CodeInvalid, "cpu_percent %d: want 0 to 100", th.CPUPercent)
	}
	t.count(now, w.faults.slow())
	t.percent = th.CPUPercent
	t.reportAt = now.Add(w.cfg.UsageLag)
	w.changedTask(t)
	return nil
}

// Forget drops ended tasks.
func (w *Worker) Forget(in worker.ForgetRequest) (worker.TaskResults, error) {
	w.lock()
	defer w.mu.Unlock()
	if err := w.admit(in.CommandHeader); err != nil {
		return worker.TaskResults{}, err
	}
	out := worker.TaskResults{Results: make([]worker.TaskResult, len(in.Tasks))}
	for i, ref := range in.Tasks {
		out.Results[i] = result(ref, w.forget(ref))
	}
	w.reorder()
	return out, nil
}

// forget needs the lock.
func (w *Worker) forget(ref worker.TaskRef) error {
	t, known := w.tasks[ref]
	if !known {
		return nil
	}
	if t.running() {
		return structs.NewError(structs.CodeConflict, "task %s attempt %d runs", ref.Task, ref.Attempt)
	}
	delete(w.tasks, ref)
	return nil
}

// reorder drops forgotten tasks from the order; it needs the lock.
func (w *Worker) reorder() {
	kept := w.order[:0]
	for _, ref := range w.order {
		if _, known := w.tasks[ref]; known {
			kept = append(kept, ref)
		}
	}
	if len(kept) == len(w.order) {
		return
	}
	clear(w.order[len(kept):])
	w.order = kept
	w.bump()
}

// inventory returns all tasks; it needs the lock.
func (w *Worker) inventory(now time.Time) worker.Inventory { return w.inventoryAfter(0, now) }

// inventoryAfter returns the tasks that changed after a sequence number, or all if it
// is zero or was not reached yet; it needs the lock.
func (w *Worker) inventoryAfter(after int64, now time.Time) worker.Inventory {
	whole := after <= 0 || after > w.seq
	inv := worker.Inventory{
		Full:       whole,
		Seq:        w.seq,
		FenceEpoch: w.fence,
		Owner:      w.owner,
		BootID:     w.boot,
		Draining:   w.draining,
		UptimeMs:   w.uptime(now),
		Tasks:      []worker.TaskInfo{},
	}
	for _, ref := range w.order {
		if t := w.tasks[ref]; whole || t.seq > after {
			inv.Tasks = append(inv.Tasks, t.info(now))
		}
	}
	return inv
}

func result(ref worker.TaskRef, err error) worker.TaskResult {
	return worker.TaskResult{TaskRef: ref, Error: structs.AsError(err)}
}
