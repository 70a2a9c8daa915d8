package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/standin/workersvc"
)

// drainRule finds requests that a graceful shutdown cut off, of a worker by the
// worker's record and of an entry by the entry's.
type drainRule struct {
	report *Report
	// open holds the requests that run, by process.
	open     map[string]map[string]event.Event
	draining map[string]event.Event
}

func newDrainRule(r *Report) *drainRule {
	return &drainRule{
		report:   r,
		open:     map[string]map[string]event.Event{},
		draining: map[string]event.Event{},
	}
}

func (c *drainRule) observe(e event.Event) {
	switch e.Type {
	case event.RequestRun:
		c.begin(e.Worker, e)
	case event.RequestEnd:
		delete(c.open[e.Worker], e.Request)
	case event.RequestAborted:
		c.cut(e)
	case event.RequestReceived:
		c.begin(e.Proc, e)
	case event.RequestAnswered:
		delete(c.open[e.Proc], e.Request)
	case event.WorkerDrain:
		c.drain(e.Worker, e)
	case event.WorkerExit:
		c.exit(e.Worker, e)
	case event.EntryDrain:
		c.drain(e.Proc, e)
	case event.EntryExit:
		c.exit(e.Proc, e)
	case event.WorkerBoot:
		c.forget(e.Worker)
	case event.FaultInjected:
		c.fault(e)
	}
}

func (c *drainRule) finish() {}

func (c *drainRule) begin(process string, e event.Event) {
	if c.open[process] == nil {
		c.open[process] = map[string]event.Event{}
	}
	c.open[process][e.Request] = e
}

func (c *drainRule) drain(process string, e event.Event) {
	c.report.Checked.Drains++
	c.draining[process] = e
}

// cut finds a request that the worker itself cut off while it shut down.
func (c *drainRule) cut(e event.Event) {
	began := c.open[e.Worker][e.Request]
	delete(c.open[e.Worker], e.Request)
	if e.Detail == workersvc.CutByPeer || e.Detail == workersvc.CutByFault {
		return
	}
	if drain, draining := c.draining[e.Worker]; draining {
		message := fmt.Sprintf("request %s was cut off in the graceful shutdown of worker %s", e.Request, e.Worker)
		c.report.add(RequestCutOff, message, began, drain, e)
	}
}

// exit reports what still ran when a graceful shutdown ended.
func (c *drainRule) exit(process string, e event.Event) {
	drain, draining := c.draining[process]
	if draining {
		for _, began := range c.open[process] {
			message := fmt.Sprintf("request %s had not ended when %s shut down gracefully", began.Request, process)
			c.report.add(RequestCutOff, message, began, drain, e)
		}
	}
	c.forget(process)
}

func (c *drainRule) forget(process string) {
	delete(c.open, process)
	delete(c.draining, process)
}

// fault takes a killed process out: what a kill cuts off is not the shutdown's.
func (c *drainRule) fault(e event.Event) {
	if e.State == FaultKilled {
		c.forget(e.Worker)
		c.forget(e.Member)
	}
}
