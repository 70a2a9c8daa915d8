package cell

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// eventLog collects the events of a node. It is safe for concurrent use.
type eventLog struct {
	mu     sync.Mutex
	events []event.Event
}

func (l *eventLog) add(e event.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
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

// workersOf returns the workers that the events of a type name.
func (l *eventLog) workersOf(eventType event.Type) []string {
	var ids []string
	for _, e := range l.ofType(eventType) {
		ids = append(ids, e.Worker)
	}
	return ids
}

// awaitWorkers waits until a node has recorded an event of a type for each of some workers.
func (c *testCell) awaitWorkers(n *testNode, eventType event.Type, want ...string) {
	c.t.Helper()
	var got []string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		got = n.events.workersOf(eventType)
		if !slices.ContainsFunc(want, func(id string) bool { return !slices.Contains(got, id) }) {
			return
		}
	}
	c.t.Fatalf("events %s of %q, want of %q", eventType, got, want)
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

// TestOddWorkerKeysEndNoTerm guards against a controller whose term ends because of the key of an
// entry in the list of workers.
func TestOddWorkerKeysEndNoTerm(t *testing.T) {
	c := newTestCell(t, 2)
	leader := c.awaitLeader(10 * time.Second)
	for _, key := range oddWorkerKeys() {
		c.mustAppend("keyed.servers", key, workerValue(t, key))
	}
	c.addWorker("i-2")
	c.awaitWorkers(leader, event.WorkerGained, "i-2")
	c.submit(leader, "j1")
	c.awaitCompleted(leader, "j1")
	if bad := leader.events.ofType(event.AuthorityLost, event.Alarm); len(bad) > 0 {
		t.Errorf("%+v", bad)
	}
	if listed := leader.events.workersOf(event.WorkerListed); len(listed) != 2 {
		t.Errorf("listed workers: %q", listed)
	}
}

// TestOddWorkerKeyBreaksNoAgent guards against agents that are lost one after the other because the
// ID of a listed worker can't be encoded in their orders.
func TestOddWorkerKeyBreaksNoAgent(t *testing.T) {
	c := newLoadedCell(t, 6, 160)
	c.awaitAgents(5)
	c.mustAppend("keyed.servers", "i-\xff", workerValue(t, "i-\xff"))
	c.addWorker("i-good")
	c.awaitWorkers(c.leader, event.WorkerGained, "i-good")
	for _, id := range c.submitJobs(5, 10) {
		c.awaitCompleted(c.otherThan(c.leader), id)
	}
	if lost := c.leader.events.ofType(event.AgentLost); len(lost) > 0 {
		t.Errorf("%d agents were lost: %s", len(lost), lost[0].Detail)
	}
}

// oddWorkerValues are records that the test cell's decoder can't read.
func oddWorkerValues() map[string][]byte {
	return map[string][]byte{
		"deeply-nested":    []byte(strings.Repeat(`{"Labels":[`, 50_000)),
		"number-too-large": []byte(`{"BootMs":` + strings.Repeat("9", 1<<20) + `}`),
		"another-type":     []byte(`{"Addr":7}`),
		"not-JSON":         []byte("\x00\xff"),
	}
}

// TestOddEntryBetweenGoodOnes guards against a controller that ends or stops following the list of
// workers at an entry that it can't read, in the followed log or in the reload at the start of its
// term.
func TestOddEntryBetweenGoodOnes(t *testing.T) {
	c := newTestCell(t, 2)
	for name, value := range oddWorkerValues() {
		c.mustAppend("keyed.servers", "odd-before-"+name, value)
	}
	c.addWorker("i-2")
	leader := c.awaitLeader(10 * time.Second)
	good := []string{"i-1", "i-2"}
	c.awaitWorkers(leader, event.WorkerGained, good...)
	for name, value := range oddWorkerValues() {
		c.mustAppend("keyed.servers", "odd-"+name, value)
		good = append(good, "good-"+name)
		c.addWorker("good-" + name)
	}
	c.awaitWorkers(leader, event.WorkerGained, good...)
	if listed := leader.events.workersOf(event.WorkerListed); len(listed) != len(good) {
		t.Errorf("listed workers: %q", listed)
	}
	if bad := leader.events.ofType(event.AuthorityLost, event.Alarm); len(bad) > 0 {
		t.Errorf("%+v", bad)
	}
	// The next controller reads all entries at once.
	leader.kill()
	c.awaitWorkers(c.awaitLeader(10*time.Second), event.WorkerGained, good...)
}

// TestMalformedEntriesAreReportedOnce checks that each unreadable entry is counted, and reported
// once with a reason of bounded length, however often it is written.
func TestMalformedEntriesAreReportedOnce(t *testing.T) {
	c := newTestCell(t, 1)
	leader := c.awaitLeader(10 * time.Second)
	values := oddWorkerValues()
	const repetitions = 3
	for range repetitions {
		for name, value := range values {
			c.mustAppend("keyed.servers", "odd-"+name, value)
		}
		c.mustAppend("keyed.servers", strings.Repeat("k", 255), values["another-type"])
	}
	for i := range 2 * maxMalformedReports {
		c.mustAppend("keyed.servers", fmt.Sprintf("many-%d", i), values["another-type"])
	}
	c.addWorker("i-2")
	c.awaitWorkers(leader, event.WorkerGained, "i-2")
	reports := map[string]int{}
	for _, e := range leader.events.ofType(event.WorkerMalformed) {
		reports[e.Worker]++
		if e.Detail == "" || len(e.Detail) > maxReasonBytes || len(e.Worker) > maxWorkerIDBytes || reports[e.Worker] > 1 {
			t.Errorf("%+v", e)
		}
	}
	if len(reports) != maxMalformedReports {
		t.Errorf("%d entries were reported, want %d", len(reports), maxMalformedReports)
	}
	want := repetitions*(len(values)+1) + 2*maxMalformedReports
	if counted := leader.stats.malformedWorkerRecords.Get(); counted != uint64(want) {
		t.Errorf("%d malformed entries were counted, want %d", counted, want)
	}
}

// TestOddEntryOverAGoodOne guards against starts on a worker whose newest entry can't be read. The
// worker is used again once its entry is good, and the others meanwhile.
func TestOddEntryOverAGoodOne(t *testing.T) {
	c := newTestCell(t, 1)
	leader := c.awaitLeader(10 * time.Second)
	c.awaitWorkers(leader, event.WorkerGained, "i-1")
	for _, value := range oddWorkerValues() {
		c.mustAppend("keyed.servers", "i-1", value)
	}
	c.addWorker("i-2")
	c.awaitWorkers(leader, event.WorkerGained, "i-2")
	c.awaitWorkers(leader, event.WorkerUnlisted, "i-1")
	c.submit(leader, "j1")
	c.awaitCompleted(leader, "j1")
	if got := leader.events.workersOf(event.TaskPlaced); slices.Contains(got, "i-1") {
		t.Errorf("tasks were placed on %q", got)
	}
	c.mustAppend("keyed.servers", "i-2", nil)
	c.awaitWorkers(leader, event.WorkerUnlisted, "i-2")
	c.addWorker("i-1")
	c.submit(leader, "j2")
	c.awaitCompleted(leader, "j2")
	if got := leader.events.workersOf(event.TaskPlaced); !slices.Contains(got, "i-1") {
		t.Errorf("tasks were placed on %q", got)
	}
}

// FuzzWorkerRecords applies records with odd keys and values between good ones to the list of
// workers, and checks that exactly the good ones and those that can be decoded are listed.
func FuzzWorkerRecords(f *testing.F) {
	for _, key := range oddWorkerKeys() {
		f.Add(key, []byte("{}"), false)
	}
	for _, value := range oddWorkerValues() {
		f.Add("odd", value, false)
	}
	f.Add("good-1", []byte("x"), false)
	f.Add("", []byte(nil), true)
	n := New(Options{Topics: PlatformTopics{DecodeWorker: decodeTestWorker}, Clock: &event.Clock{}})
	f.Fuzz(func(t *testing.T, key string, value []byte, malformed bool) {
		l := &leaderTerm{node: n, inbox: make(chan func(time.Time), inboxSize), ctx: t.Context()}
		l.ctl = controller.New(1, controller.Timing{}, func(event.Event) {})
		list := &workerList{term: l, listed: map[string]bool{}, reported: map[string]bool{}}
		good := workerValue(t, "good")
		odd := stream.Record{Key: key, Value: value, Malformed: malformed}
		list.apply([]stream.Record{{Key: "good-1", Value: good}, odd, {Key: "good-2", Value: good}})
		l.runQueued()
		want := map[string]bool{"good-1": true, "good-2": true}
		if _, err := list.decode(&odd); err == nil && len(value) > 0 {
			want[key] = true
		} else if key == "good-1" {
			delete(want, key)
		}
		if !maps.Equal(list.listed, want) && key != "good-2" {
			t.Fatalf("listed %v, want %v", list.listed, want)
		}
		if len(value) > 0 && l.ctl.WorkerCount() < len(want) {
			t.Fatalf("the controller has %d workers, want %v", l.ctl.WorkerCount(), want)
		}
	})
}
