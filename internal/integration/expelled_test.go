package integration

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// saw reports whether a process has recorded an event of a type that names id.
func (c *cell) saw(process string, kind event.Type, id string) bool {
	b, err := os.ReadFile(c.events(process))
	if err != nil {
		return false
	}
	for line := range bytes.Lines(b) {
		if bytes.Contains(line, []byte(`"`+string(kind)+`"`)) && bytes.Contains(line, []byte(id)) {
			return true
		}
	}
	return false
}

// TestRemovedWhileFrozen freezes an entry with requests at endpoints until the
// others have removed it. When it wakes, it gives the answers that are there, takes
// nothing new and ends.
func TestRemovedWhileFrozen(t *testing.T) {
	const requests = 8
	c := startCell(t)
	c.startEntries("casa", "casa", "casa")
	l := c.serve()
	c.setService(6000)
	frozen := c.entries[2]
	before := c.attempts()
	var calls sync.WaitGroup
	var begun atomic.Bool
	for i := range requests {
		calls.Go(func() {
			call := caller.Call{Class: className, Deadline: patience, ClientID: fmt.Sprintf("r%d", i), Body: fmt.Appendf(nil, "ticket %d", i)}
			// What is refused before the freeze has not begun; it is asked again.
			for l.ask(l.clients[2], call).Outcome == structs.OutcomeNotRun && !begun.Load() {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	await(t, "every request is at an endpoint", func() bool { return c.attempts() >= before+requests })
	begun.Store(true)
	c.signal(frozen, syscall.SIGSTOP, checker.FaultFrozen)
	await(t, "the others have removed the entry", func() bool {
		return c.saw(c.entries[0].name, event.MemberRemoved, frozen.addr.Member)
	})
	c.signal(frozen, syscall.SIGCONT, checker.FaultThawed)
	calls.Wait()
	await(t, "the removed entry has ended", func() bool { return c.saw(frozen.name, event.EntryExit, frozen.addr.Member) })
	if n := l.count(string(structs.OutcomeAnswered)); n != requests {
		t.Errorf("%d of %d requests in flight at the removed entry were answered", n, requests)
	}
	c.setService(5)
	a := l.clients[0].Do(context.Background(), caller.Call{Class: className, Idempotent: true, Deadline: patience, Body: []byte("x")})
	if a.Outcome != structs.OutcomeAnswered {
		t.Errorf("after the removal: %s %v", a.Outcome, a.Err)
	}
	l.report()
}

// setService sets the service time of the workers of casa in milliseconds.
func (c *cell) setService(ms int) {
	c.t.Helper()
	for i := range 4 {
		c.admin(fmt.Sprintf("casa-w%d", i), "/admin/faults", fmt.Sprintf(`{"service_ms":%d}`, ms))
	}
}

// attempts is the number of requests that workers have begun.
func (c *cell) attempts() int {
	b, err := os.ReadFile(c.events("standin"))
	if err != nil {
		return 0
	}
	return bytes.Count(b, []byte(`"`+string(event.RequestRun)+`"`))
}
