package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin/workersvc"
)

// drainRule finds requests that a graceful shutdown aborted: for a worker by the
// worker's event log, for an entry by the entry's.
type drainRule struct {
	report *Report
	// inFlight holds requests in flight by process and request ID.
	inFlight map[string]map[string]event.Event
	draining map[string]event.Event
}

func newDrainRule(r *Report) *drainRule {
	return &drainRule{
		report:   r,
		inFlight: map[string]map[string]event.Event{},
		draining: map[string]event.Event{},
	}
}

func (c *drainRule) observe(e event.Event) {
	switch e.Type {
	case event.RequestRun:
		c.beginRequest(e.Worker, e)
	case event.RequestEnd:
		delete(c.inFlight[e.Worker], e.Request)
	case event.RequestAborted:
		c.checkCut(e)
	case event.RequestReceived:
		c.beginRequest(e.Proc, e)
	case event.RequestAnswered:
		delete(c.inFlight[e.Proc], e.Request)
	case event.WorkerDrain:
		c.beginDrain(e.Worker, e)
	case event.WorkerExit:
		c.checkExit(e.Worker, e)
	case event.EntryDrain:
		c.beginDrain(e.Proc, e)
	case event.EntryExit:
		c.checkExit(e.Proc, e)
	case event.WorkerBoot:
		c.removeProcess(e.Worker)
	case event.FaultInjected:
		c.recordKill(e)
	}
}

func (c *drainRule) finish() {}

func (c *drainRule) beginRequest(process string, e event.Event) {
	if c.inFlight[process] == nil {
		c.inFlight[process] = map[string]event.Event{}
	}
	c.inFlight[process][e.Request] = e
}

func (c *drainRule) beginDrain(process string, e event.Event) {
	c.report.Checked.Drains++
	c.draining[process] = e
}

// checkCut reports a request that the worker itself aborted while it shut down.
func (c *drainRule) checkCut(e event.Event) {
	start := c.inFlight[e.Worker][e.Request]
	delete(c.inFlight[e.Worker], e.Request)
	if e.Detail == workersvc.CutByPeer || e.Detail == workersvc.CutByFault {
		return
	}
	if drain, draining := c.draining[e.Worker]; draining {
		message := fmt.Sprintf("request %s was cut off in the graceful shutdown of worker %s", e.Request, e.Worker)
		c.report.add(RequestCutOff, message, start, drain, e)
	}
}

// checkExit reports the requests still in flight when a graceful shutdown ended.
func (c *drainRule) checkExit(process string, e event.Event) {
	drain, draining := c.draining[process]
	if draining {
		for _, start := range c.inFlight[process] {
			message := fmt.Sprintf("request %s had not ended when %s shut down gracefully", start.Request, process)
			c.report.add(RequestCutOff, message, start, drain, e)
		}
	}
	c.removeProcess(process)
}

func (c *drainRule) removeProcess(process string) {
	delete(c.inFlight, process)
	delete(c.draining, process)
}

// recordKill drops a killed process: a request that a kill aborts is no violation.
func (c *drainRule) recordKill(e event.Event) {
	if e.State == FaultKilled {
		c.removeProcess(e.Worker)
		c.removeProcess(e.Member)
	}
}
