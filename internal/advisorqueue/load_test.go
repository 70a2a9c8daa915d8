package advisorqueue

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// simulation makes calls to a stand-in of the advisor, in simulated time. The advisor serves one call at a time for
// each entry, in order of arrival, and refuses a call when 32 calls wait there.
type simulation struct {
	q       *Queue
	now     time.Time
	seq     int
	events  events
	transit time.Duration
	backlog map[string][]*request // by class
	// requests are those for which calls were made, by the calls' IDs.
	requests map[int64]*request
	// busyUntil is when the advisor has done all work of an entry, waiting the number of calls that it has not.
	busyUntil map[string]time.Time
	waiting   map[string]int
	// answerCost is the controller's processor time for an answer, controllerBusy when it has processed all answers.
	answerCost     time.Duration
	controllerBusy time.Time
	// down are the entries whose calls are never answered, refusing those that answer 429.
	down, refusing map[string]bool
	latencies      map[string][]time.Duration // by class: from the request to the answer
	sentThrough    map[string]int
	maxInFlight    int
	maxWaiting     int
}

// request is a call that is wanted.
type request struct {
	class string
	work  time.Duration
	since time.Time
}

type timedEvent struct {
	at  time.Time
	seq int
	f   func()
}

type events []timedEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(timedEvent)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entryNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("entry-%03d", i))
	}
	return names
}

func newSimulation(entries int) *simulation {
	b := &simulation{
		q: New(), now: simulationStart, transit: 48 * time.Millisecond, backlog: map[string][]*request{}, requests: map[int64]*request{},
		busyUntil: map[string]time.Time{}, waiting: map[string]int{}, down: map[string]bool{}, refusing: map[string]bool{},
		latencies: map[string][]time.Duration{}, sentThrough: map[string]int{},
	}
	b.q.SetEntries(entryNames(entries))
	return b
}

func (b *simulation) at(t time.Time, f func()) {
	b.seq++
	heap.Push(&b.events, timedEvent{at: t, seq: b.seq, f: f})
}

// run processes the events of a time.
func (b *simulation) run(d time.Duration) {
	end := b.now.Add(d)
	for len(b.events) > 0 && !b.events[0].at.After(end) {
		e := heap.Pop(&b.events).(timedEvent)
		b.now = e.at
		e.f()
		b.send()
	}
	b.now = end
}

// arrivals requests calls of a class at equal distances.
func (b *simulation) arrivals(class string, perSecond float64, work, d time.Duration) {
	for i := range int(perSecond * d.Seconds()) {
		at := b.now.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		b.at(at, func() { b.backlog[class] = append(b.backlog[class], &request{class: class, work: work, since: b.now}) })
	}
}

// renewals keeps a number of calls of a class wanted: each that is answered is wanted again.
func (b *simulation) renewals(class string, n int, work time.Duration) {
	for range n {
		b.backlog[class] = append(b.backlog[class], &request{class: class, work: work, since: b.now})
	}
}

var benchClasses = []string{"urgent", "gangs", "batch", "renewals"} // in the order of their urgency

func (b *simulation) send() {
	for _, c := range b.q.TakeOverdue(b.now) {
		r := b.requests[c.ID]
		b.backlog[r.class] = slices.Insert(b.backlog[r.class], 0, r)
	}
	for _, class := range benchClasses {
		for len(b.backlog[class]) > 0 {
			r := b.backlog[class][0]
			c := b.q.Send(workload.StepID{}, class, LengthOf(r.work), r.work, b.now)
			if c == nil {
				break
			}
			b.backlog[class] = b.backlog[class][1:]
			b.requests[c.ID] = r
			b.sentThrough[c.Entry]++
			b.maxInFlight = max(b.maxInFlight, b.q.InFlight())
			b.carry(r, c)
		}
	}
}

// carry brings a call to the advisor, and its answer back.
func (b *simulation) carry(r *request, c *Call) {
	if b.down[c.Entry] {
		b.at(b.now.Add(r.work+1500*time.Millisecond), func() { b.done(r, c, Failed) })
		return
	}
	b.at(b.now.Add(b.transit/2), func() {
		if b.refusing[c.Entry] || b.waiting[c.Entry] > 32 {
			b.at(b.now.Add(b.transit/2), func() { b.done(r, c, Overloaded) })
			return
		}
		begin := b.now
		if t := b.busyUntil[c.Entry]; t.After(begin) {
			begin = t
		}
		served := begin.Add(r.work)
		b.busyUntil[c.Entry] = served
		b.waiting[c.Entry]++
		b.maxWaiting = max(b.maxWaiting, b.waiting[c.Entry])
		b.at(served, func() { b.waiting[c.Entry]-- })
		b.at(served.Add(b.transit/2), func() { b.answered(r, c) })
	})
}

// answered has the controller process an answer once it has processed those before it.
func (b *simulation) answered(r *request, c *Call) {
	if b.controllerBusy.Before(b.now) {
		b.controllerBusy = b.now
	}
	b.controllerBusy = b.controllerBusy.Add(b.answerCost)
	b.at(b.controllerBusy, func() { b.done(r, c, Answered) })
}

func (b *simulation) done(r *request, c *Call, outcome Outcome) {
	awaited, at := b.q.Done(c.ID, outcome, b.now)
	if !at.IsZero() {
		b.at(at, func() {})
	}
	switch {
	case !awaited:
		return
	case outcome != Answered:
		b.backlog[r.class] = slices.Insert(b.backlog[r.class], 0, r)
		return
	case r.class == "renewals":
		b.renewals(r.class, 1, r.work)
	}
	b.latencies[r.class] = append(b.latencies[r.class], b.now.Sub(r.since))
}

// quantile returns the time within which a share of a class's calls were answered.
func (b *simulation) quantile(class string, share float64) time.Duration {
	l := slices.Sorted(slices.Values(b.latencies[class]))
	if len(l) == 0 {
		return 0
	}
	return l[min(int(share*float64(len(l))), len(l)-1)]
}

// Work of the calls: an urgent step asks about 12 workers, a gang about 100, a batch step about 50.
const (
	urgentWork = 13 * time.Millisecond
	gangWork   = 1050 * time.Millisecond
	batchWork  = 210 * time.Millisecond
)

// TestUrgentBurstAmongGangs simulates a burst of urgent calls while gangs and batch steps ask for more than the entries
// can serve. It guards against urgent calls that wait behind long ones, or for an entry without one.
func TestUrgentBurstAmongGangs(t *testing.T) {
	for _, entries := range []int{6, 9, 36} {
		b := newSimulation(entries)
		b.renewals("renewals", 2*entries, gangWork)
		b.arrivals("batch", 10, batchWork, 12*time.Second)
		b.arrivals("urgent", 2*float64(entries), urgentWork, 4*time.Second)
		b.run(4 * time.Second)
		b.arrivals("urgent", 5*float64(entries), urgentWork, 6*time.Second)
		b.run(8 * time.Second)
		if n, want := len(b.latencies["urgent"]), 38*entries; n != want {
			t.Errorf("%d entries: %d of %d urgent calls were answered", entries, n, want)
		}
		// A call that waits for nothing takes 61 ms.
		if got := b.quantile("urgent", 0.99); got > 110*time.Millisecond {
			t.Errorf("%d entries: 99%% of the urgent calls took up to %v", entries, got)
		}
		if len(b.latencies["renewals"]) < 4*entries {
			t.Errorf("%d entries: only %d long calls were answered", entries, len(b.latencies["renewals"]))
		}
		if b.maxWaiting > MaxInFlight {
			t.Errorf("%d entries: %d calls waited at the advisor for one entry", entries, b.maxWaiting)
		}
	}
}

// TestManyGangsThatRenew has 200 gangs renew their tickets without a pause. It guards against long calls that share
// an entry, and against their taking all entries.
func TestManyGangsThatRenew(t *testing.T) {
	b := newSimulation(36)
	b.renewals("renewals", 200, gangWork)
	b.run(time.Millisecond)
	b.at(b.now, func() {})
	b.run(5 * time.Second)
	for _, e := range b.q.entries {
		if len(e.calls) > 1 {
			t.Errorf("entry %s has %d long calls in flight", e.name, len(e.calls))
		}
	}
	if got, want := b.q.InFlight(), 36-keptForShort(36); got != want {
		t.Errorf("%d long calls are in flight, want %d", got, want)
	}
	if room := b.q.Room(b.now); room[Short] != keptForShort(36)*MaxInFlight || room[Long] != 0 {
		t.Errorf("there is room for %v", room)
	}
}

// TestHalfOfTheEntriesGone loses half of the entries without notice, later the list of members says so. The calls
// must go through the other half, and the lost ones must not be tried again and again.
func TestHalfOfTheEntriesGone(t *testing.T) {
	b := newSimulation(36)
	names := entryNames(36)
	b.arrivals("urgent", 100, urgentWork, 10*time.Second)
	b.arrivals("gangs", 4, gangWork, 10*time.Second)
	b.run(2 * time.Second)
	for _, name := range names[:18] {
		b.down[name] = true
	}
	clear(b.sentThrough)
	b.latencies = map[string][]time.Duration{}
	b.run(2 * time.Second)
	lost := 0
	for _, name := range names[:18] {
		lost += b.sentThrough[name]
	}
	if lost > 18*2*MaxInFlight {
		t.Errorf("%d calls went through the lost entries", lost)
	}
	// A call that is lost is repeated once it is overdue.
	if got := b.quantile("urgent", 1); got > 700*time.Millisecond {
		t.Errorf("an urgent call took %v while half of the entries were lost", got)
	}
	b.q.SetEntries(names[18:])
	b.run(2 * time.Second)
	b.latencies = map[string][]time.Duration{}
	b.run(2 * time.Second)
	if got := b.quantile("urgent", 1); got > 110*time.Millisecond {
		t.Errorf("an urgent call took %v with half of the entries", got)
	}
	if b.q.Entries() != 18 {
		t.Errorf("%d entries are left", b.q.Entries())
	}
}

// TestOneEntryAnswers429 has one entry refuse its calls. It must be left alone for growing times, the others must
// serve, and it must be used again once it answers.
func TestOneEntryAnswers429(t *testing.T) {
	b := newSimulation(6)
	b.refusing["entry-000"] = true
	b.arrivals("urgent", 60, urgentWork, 10*time.Second)
	b.run(10 * time.Second)
	// Backoffs of 0.1, 0.2, 0.4, 0.8, 1.6 and 3.2 s leave room for eight calls and those sent before the first refusal.
	if got := b.sentThrough["entry-000"]; got > 8+MaxInFlight {
		t.Errorf("%d calls went through the entry that refuses them", got)
	}
	if got := len(b.latencies["urgent"]); got < 590 {
		t.Errorf("%d of 600 urgent calls were answered", got)
	}
	b.refusing["entry-000"] = false
	before := b.sentThrough["entry-000"]
	b.arrivals("urgent", 60, urgentWork, 5*time.Second)
	b.run(6 * time.Second)
	if got := b.sentThrough["entry-000"] - before; got < 10 {
		t.Errorf("%d calls went through the entry once it answers again", got)
	}
}

// TestMoreThanTheControllerCanTake has 300 entries and a controller that processes 200 answers a second, where 700 a
// second are wanted. The calls in flight must stay near what it can use, so that an answer does not wait long.
func TestMoreThanTheControllerCanTake(t *testing.T) {
	b := newSimulation(300)
	b.answerCost = 5 * time.Millisecond
	b.renewals("renewals", 700, batchWork)
	b.arrivals("urgent", 100, urgentWork, 20*time.Second)
	b.run(8 * time.Second)
	b.latencies = map[string][]time.Duration{}
	b.maxInFlight = 0
	b.run(10 * time.Second)
	if b.maxInFlight > 130 {
		t.Errorf("%d calls were in flight at a time", b.maxInFlight)
	}
	if got := b.quantile("urgent", 0.9); got > 450*time.Millisecond {
		t.Errorf("90%% of the urgent calls took up to %v", got)
	}
	if got := len(b.latencies["renewals"]); got < 850 {
		t.Errorf("%d other calls were answered: the controller was idle", got)
	}
	t.Logf("in flight at most %d, urgent median %v, 0.9: %v, window %.0f", b.maxInFlight, b.quantile("urgent", 0.5), b.quantile("urgent", 0.9), b.q.window.size)
}
