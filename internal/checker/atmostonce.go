package checker

import (
	"fmt"

	"dotterelhitch/internal/event"
)

// keyID is a key within its class.
type keyID struct {
	class string
	key   string
}

// atMostOnceRule finds second runs of non-idempotent requests and keys. A
// request counts as idempotent only if its caller or its entry recorded it so.
type atMostOnceRule struct {
	report *Report
	// idempotent requests by the caller's own ID and by the system's.
	idempotent     map[string]bool
	sent           map[string]event.Event
	idempotentKeys map[keyID]bool
	strictKeys     map[keyID]bool
	runs           map[string][]event.Event
	keyRuns        map[keyID][]event.Event
}

func newAtMostOnceRule(r *Report) *atMostOnceRule {
	return &atMostOnceRule{
		report:         r,
		idempotent:     map[string]bool{},
		sent:           map[string]event.Event{},
		idempotentKeys: map[keyID]bool{},
		strictKeys:     map[keyID]bool{},
		runs:           map[string][]event.Event{},
		keyRuns:        map[keyID][]event.Event{},
	}
}

func (c *atMostOnceRule) observe(e event.Event) {
	switch e.Type {
	case event.CallerRequestSent:
		c.sent[e.Request] = e
		c.noteKey(e)
	case event.RequestReceived:
		c.idempotent[e.Request] = c.idempotent[e.Request] || e.Idempotent
		c.noteKey(e)
	case event.CallerRequestEnded:
		if sent, found := c.sent[e.Request]; found && sent.Idempotent && e.Detail != "" {
			c.idempotent[e.Detail] = true
		}
	case event.RequestRun:
		c.run(e)
	}
}

func (c *atMostOnceRule) noteKey(e event.Event) {
	if e.Key == "" {
		return
	}
	id := keyID{e.Class, e.Key}
	if e.Idempotent {
		c.idempotentKeys[id] = true
		return
	}
	c.strictKeys[id] = true
}

func (c *atMostOnceRule) run(e event.Event) {
	c.runs[e.Request] = append(c.runs[e.Request], e)
	if e.Key != "" {
		id := keyID{e.Class, e.Key}
		c.keyRuns[id] = append(c.keyRuns[id], e)
	}
}

func (c *atMostOnceRule) finish() {
	for request, runs := range c.runs {
		c.checkRequest(request, runs)
	}
	for id, runs := range c.keyRuns {
		c.checkKey(id, runs)
	}
}

func (c *atMostOnceRule) checkRequest(request string, runs []event.Event) {
	if c.idempotent[request] {
		return
	}
	c.report.Checked.NonIdempotent++
	if len(runs) > 1 && runs[0].Key == "" {
		message := fmt.Sprintf("non-idempotent request %s ran %d times", request, len(runs))
		c.report.add(SecondRun, message, runs...)
	}
}

// checkKey takes a key as non-idempotent if any request with it is, or if
// nothing is known of it.
func (c *atMostOnceRule) checkKey(id keyID, runs []event.Event) {
	if len(runs) < 2 || (c.idempotentKeys[id] && !c.strictKeys[id]) {
		return
	}
	message := fmt.Sprintf("key %s of class %s ran %d times", id.key, id.class, len(runs))
	c.report.add(SecondRun, message, runs...)
}
