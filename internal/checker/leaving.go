package checker

import (
	"fmt"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/operator"
)

// leavingRule finds new work on an endpoint later than the bound after its declaration
// as leaving was accepted. Work that a worker starts when a test thaws it is allowed if
// the freeze began and the work was sent within the bound: such work was in the worker's
// receive buffers.
type leavingRule struct {
	report   *Report
	bound    time.Duration
	declared map[string]event.Event
	// lastSent holds the last time each piece of work was sent to a worker; frozen and
	// thawed hold the last time each worker was frozen and thawed.
	lastSent       map[workID]event.Event
	frozen, thawed map[string]event.Event
}

// workID identifies a request or task attempt that was sent to a worker.
type workID struct{ worker, name string }

func workOf(e event.Event) workID {
	if e.Request != "" {
		return workID{e.Worker, e.Request}
	}
	return workID{e.Worker, fmt.Sprintf("%s/%d", e.Task, e.Attempt)}
}

func newLeavingRule(r *Report, bound time.Duration) *leavingRule {
	return &leavingRule{
		report: r, bound: bound, declared: map[string]event.Event{},
		lastSent: map[workID]event.Event{}, frozen: map[string]event.Event{}, thawed: map[string]event.Event{},
	}
}

func (c *leavingRule) observe(e event.Event) {
	switch e.Type {
	case event.LeavingAccepted:
		c.recordDeclaration(e)
	case event.RequestAttempt, event.TaskPlaced:
		c.lastSent[workOf(e)] = e
	case event.TaskRun, event.RequestRun:
		c.checkWork(e)
	}
	switch {
	case isFault(e, FaultFrozen):
		c.frozen[e.Worker] = e
	case isFault(e, FaultThawed):
		c.thawed[e.Worker] = e
	}
}

// buffered reports whether the work was in the receive buffers of a frozen worker: the
// worker was thawed past the bound, and the work was sent before that and within the bound.
func (c *leavingRule) buffered(e, declaration event.Event) bool {
	thawed, wasThawed := c.thawed[e.Worker]
	sent, found := c.lastSent[workOf(e)]
	return wasThawed && found && laterBy(thawed, declaration, c.bound) && !laterBy(c.frozen[e.Worker], declaration, c.bound) &&
		!laterBy(sent, declaration, c.bound) && sent.Time.Before(thawed.Time)
}

func (c *leavingRule) finish() {}

func (c *leavingRule) recordDeclaration(e event.Event) {
	if e.State == operator.StateRemoved {
		delete(c.declared, e.Worker)
		return
	}
	c.report.Checked.LeavingDeclarations++
	if _, already := c.declared[e.Worker]; !already {
		c.declared[e.Worker] = e
	}
}

func (c *leavingRule) checkWork(e event.Event) {
	declaration, leaving := c.declared[e.Worker]
	if !leaving || !laterBy(e, declaration, c.bound) || c.buffered(e, declaration) {
		return
	}
	late := time.Duration(e.Time.Micros-declaration.Time.Micros) * time.Microsecond
	message := fmt.Sprintf("leaving worker %s got new work %s after the declaration, bound %s", e.Worker, late, c.bound)
	c.report.add(WorkOnLeaving, message, declaration, e)
}
