package cell

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// eventLog collects the events of a node. It is safe for concurrent use.
type eventLog struct {
	mu     sync.Mutex
	events []event.Event
}

// collectEvents returns the events that a node records from now on.
func collectEvents(n *testNode) *eventLog {
	l := &eventLog{}
	n.opts.Events.OnEvent(func(e event.Event) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.events = append(l.events, e)
	})
	return l
}

// ofType returns the events of some types.
func (l *eventLog) ofType(types ...event.Type) []event.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []event.Event
	for _, e := range l.events {
		if slices.Contains(types, e.Type) {
			out = append(out, e)
		}
	}
	return out
}

// workerValue returns the record of a worker as the test cell's decoder reads it.
func workerValue(t *testing.T, id string) []byte {
	t.Helper()
	value, err := json.Marshal(workload.Worker{
		ID: id, Service: "svc", Addr: "10.0.0.1:80", BootMs: 1,
		Capacity: structs.Resources{CPUMilli: 4000, MemoryMiB: 4000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// awaitGained waits until the events show that the controller has polled a worker.
func (c *testCell) awaitGained(l *eventLog, id string) {
	c.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if slices.ContainsFunc(l.ofType(event.WorkerGained), func(e event.Event) bool { return e.Worker == id }) {
			return
		}
	}
	c.t.Fatalf("worker %s was not polled", id)
}

// oddWorkerKeys are keys that another writer may leave in the list of workers.
func oddWorkerKeys() map[string]string {
	return map[string]string{
		"as long as a key may be": strings.Repeat("k", 255),
		"not UTF-8":               "i-\xff\xfe",
		"control characters":      "i-\r\nX-Fencing-Token: 1",
		"NUL":                     "i-\x00",
		"a path":                  "../../i 1",
		"beyond ASCII":            "i-\u00e9\u2028",
		"empty":                   "",
	}
}

// TestOddWorkerKeysEndNoTerm guards against a controller whose term ends, or whose stream to an
// agent breaks, because of the key of an entry in the list of workers.
func TestOddWorkerKeysEndNoTerm(t *testing.T) {
	for name, key := range oddWorkerKeys() {
		t.Run(name, func(t *testing.T) {
			c := newTestCell(t, 2)
			leader := c.awaitLeader(10 * time.Second)
			events := collectEvents(leader)
			c.mustAppend("keyed.servers", key, workerValue(t, key))
			c.addWorker("i-2")
			c.awaitGained(events, "i-2")
			c.submit(leader, "j1")
			c.awaitCompleted(leader, "j1")
			if bad := events.ofType(event.AuthorityLost, event.AgentLost, event.Alarm); len(bad) > 0 {
				t.Errorf("%+v", bad)
			}
		})
	}
}

// TestOddWorkerKeyBreaksNoAgent guards against agents that are lost one after the other because the
// ID of a listed worker can't be encoded in their orders.
func TestOddWorkerKeyBreaksNoAgent(t *testing.T) {
	c := newLoadedCell(t, 6, 160)
	c.awaitAgents(5)
	events := collectEvents(c.leader)
	c.mustAppend("keyed.servers", "i-\xff", workerValue(t, "i-\xff"))
	c.addWorker("i-good")
	c.awaitGained(events, "i-good")
	for _, id := range c.submitJobs(5, 10) {
		c.awaitCompleted(c.otherThan(c.leader), id)
	}
	if lost := events.ofType(event.AgentLost); len(lost) > 0 {
		t.Errorf("%d agents were lost: %s", len(lost), lost[0].Detail)
	}
}
