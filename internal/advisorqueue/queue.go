// Package advisorqueue schedules the calls to the placement advisor. It models, for each entry through
// which the advisor may be called, the calls in flight there, their known work and the time that a call
// spends outside the advisor. It decides to which entry a call goes and how many calls are in flight.
// It does no I/O and reads no clock.
package advisorqueue

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/workload"
)

// The advisor serves one call at a time for each calling machine, in order of arrival. It refuses a call with 429
// when 32 calls of that machine wait.
const (
	// MaxInFlight is the largest number of short calls in flight through one entry. A call spends several
	// times its work in transit, so that three calls keep the advisor busy. Further ones would only wait.
	MaxInFlight = 3
	// shortWork is the largest work of a short call, which may wait behind other short calls.
	shortWork = 40 * time.Millisecond
	// longWork is the work from which a call leaves some entries to short calls.
	longWork = 100 * time.Millisecond
)

// Length classifies calls by their work.
type Length int

// The lengths of calls.
const (
	// Short calls share an entry with other short calls, but not with longer ones.
	Short Length = iota
	// Medium calls use an entry in which nothing is in flight.
	Medium
	// Long calls are like Medium ones, but leave some entries to the others.
	Long
)

// LengthOf returns the length of a call with an amount of work.
func LengthOf(work time.Duration) Length {
	switch {
	case work <= shortWork:
		return Short
	case work < longWork:
		return Medium
	default:
		return Long
	}
}

// Units returns the share of an entry that a call takes, in parts of MaxInFlight.
func (l Length) Units() int {
	if l == Short {
		return 1
	}
	return MaxInFlight
}

// Call is a call in flight.
type Call struct {
	ID    int64
	Entry string
	Step  workload.StepID
	Class string
	Sent  time.Time
	// EndsAt is when the answer is expected.
	EndsAt time.Time

	length   Length
	servedAt time.Time // when the advisor is expected to have done the work
	// atAdvisor is the expected time between the call's arrival at the advisor and servedAt.
	atAdvisor time.Duration
	// overdue is true once the call's answer is so late that it is not waited for. It may still come.
	overdue   bool
	overdueAt time.Time
}

// entry is the model of one entry.
type entry struct {
	name    string
	calls   []*Call // in the order of their sending
	transit transitTime
	// listed is false once the entry is gone. It is kept until its calls have ended.
	listed bool
	// failures counts the refused and failed calls since the last answer.
	failures     int
	backoffUntil time.Time
}

// Queue is the model of all entries. It is not safe for concurrent use.
type Queue struct {
	entries []*entry // in the order of their names
	byID    map[int64]*entry
	lastID  int64
	units   map[string]int // by class, of calls in flight that are not overdue
	window  window
	// overdueAt is the time before which no call becomes overdue, for TakeOverdue.
	overdueAt time.Time
}

// New returns a queue without entries.
func New() *Queue {
	return &Queue{byID: map[int64]*entry{}, units: map[string]int{}, window: newWindow()}
}

// SetEntries sets the entries through which the advisor may be called.
func (q *Queue) SetEntries(names []string) {
	for _, e := range q.entries {
		e.listed = false
	}
	for _, name := range names {
		i, found := q.find(name)
		if !found {
			q.entries = slices.Insert(q.entries, i, &entry{name: name, transit: newTransitTime()})
		}
		q.entries[i].listed = true
	}
	for _, e := range q.entries {
		for _, c := range e.calls {
			if !e.listed {
				c.overdueAt = time.Time{}
				q.overdueAt = time.Time{}
			}
		}
	}
	q.dropGone()
}

// find returns the index of an entry, or where to insert it.
func (q *Queue) find(name string) (int, bool) {
	return slices.BinarySearchFunc(q.entries, name, func(e *entry, name string) int { return cmp.Compare(e.name, name) })
}

// dropGone drops the entries that are not listed and have no calls.
func (q *Queue) dropGone() {
	q.entries = slices.DeleteFunc(q.entries, func(e *entry) bool { return !e.listed && len(e.calls) == 0 })
}

// Entries returns the number of entries.
func (q *Queue) Entries() int {
	n := 0
	for _, e := range q.entries {
		if e.listed {
			n++
		}
	}
	return n
}

// InFlight returns the number of calls in flight through listed entries that are not overdue.
func (q *Queue) InFlight() int {
	n := 0
	for _, e := range q.entries {
		if e.listed {
			n += e.awaited()
		}
	}
	return n
}

// Limit returns the largest number of calls in flight.
func (q *Queue) Limit() int { return q.window.limit(q.Entries()) }

// awaited returns the number of calls that are not overdue.
func (e *entry) awaited() int {
	n := 0
	for _, c := range e.calls {
		if !c.overdue {
			n++
		}
	}
	return n
}

// Units returns what the calls in flight of a class take, in parts of MaxInFlight of an entry.
func (q *Queue) Units(class string) int { return q.units[class] }

// Room is the number of calls of each length that may be sent now, if no call of another length is.
type Room [Long + 1]int

// Any reports whether some call may be sent.
func (r Room) Any() bool { return r != Room{} }

// Room returns the number of calls that may be sent now.
func (q *Queue) Room(now time.Time) Room {
	var r Room
	withoutLong := 0
	inFlight, listed, working := 0, 0, 0
	for _, e := range q.entries {
		if !e.listed {
			continue
		}
		listed++
		inFlight += e.awaited()
		if e.failures == 0 {
			working++
		}
		if !e.usable(now) {
			continue
		}
		if len(e.calls) == 0 {
			r[Medium]++
		}
		if e.takesShort() {
			withoutLong++
			r[Short] += e.maxInFlight() - len(e.calls)
		}
	}
	r[Long] = min(r[Medium], withoutLong-keptForShort(working))
	left := q.window.limit(listed) - inFlight
	for i := range r {
		r[i] = max(0, min(r[i], left))
	}
	return r
}

// keptForShort returns the number of entries that long calls must leave to short ones, of those that have not failed
// last. Entries that fail would else leave no others to long calls.
func keptForShort(entries int) int {
	if entries <= 1 {
		return 0
	}
	return 1 + entries/8
}

// usable reports whether calls may be sent through the entry. One with an overdue call may be down.
func (e *entry) usable(now time.Time) bool {
	return e.listed && !now.Before(e.backoffUntil) && e.awaited() == len(e.calls)
}

// maxInFlight is 1 until an entry that has failed answers again.
func (e *entry) maxInFlight() int {
	if e.failures > 0 {
		return 1
	}
	return MaxInFlight
}

// takesShort reports whether no call in flight through the entry keeps a short one waiting for long.
func (e *entry) takesShort() bool {
	return len(e.calls) < e.maxInFlight() && !slices.ContainsFunc(e.calls, func(c *Call) bool { return c.length != Short })
}

// Send adds a call to the entry where it ends first. It returns nil if there is no room for a call of that length.
func (q *Queue) Send(step workload.StepID, class string, length Length, work time.Duration, now time.Time) *Call {
	if q.Room(now)[length] <= 0 {
		return nil
	}
	var best *entry
	if length == Short {
		best = q.entryForShort(work, now)
	} else {
		best = q.entryForLong(now)
	}
	if best == nil {
		return nil
	}
	q.lastID++
	served := best.servedAt(work, now)
	c := &Call{
		ID: q.lastID, Entry: best.name, Step: step, Class: class, EndsAt: served.Add(best.transit.fromAdvisor()),
		length: length, Sent: now, servedAt: served, atAdvisor: served.Sub(now.Add(best.transit.toAdvisor())),
	}
	c.overdueAt = c.EndsAt.Add(minOverdue + overdueDelays*q.window.delay + time.Duration(overdueShare*float64(c.atAdvisor)))
	if q.overdueAt.IsZero() || c.overdueAt.Before(q.overdueAt) {
		q.overdueAt = c.overdueAt
	}
	best.calls = append(best.calls, c)
	q.byID[c.ID] = best
	q.units[class] += length.Units()
	return c
}

// servedAt returns when the advisor has done the work of a call that is sent through the entry now.
func (e *entry) servedAt(work time.Duration, now time.Time) time.Time {
	begin := now.Add(e.transit.toAdvisor())
	for _, c := range e.calls {
		if c.servedAt.After(begin) {
			begin = c.servedAt
		}
	}
	return begin.Add(work)
}

// emptyEntryReserve is how much later a short call may end in an entry with other short calls for an empty entry to
// be left to longer calls, once less than half of the entries are empty.
const emptyEntryReserve = 20 * time.Millisecond

// entryForShort returns the entry in which a short call ends first.
func (q *Queue) entryForShort(work time.Duration, now time.Time) *entry {
	empty, listed := 0, 0
	for _, e := range q.entries {
		if e.listed {
			listed++
		}
		if e.usable(now) && len(e.calls) == 0 {
			empty++
		}
	}
	var best *entry
	var bestEnd time.Time
	for _, e := range q.entries {
		if !e.usable(now) || !e.takesShort() {
			continue
		}
		end := e.servedAt(work, now).Add(e.transit.fromAdvisor())
		if len(e.calls) == 0 && 2*empty <= listed {
			end = end.Add(emptyEntryReserve)
		}
		if best == nil || end.Before(bestEnd) || end.Equal(bestEnd) && len(e.calls) < len(best.calls) {
			best, bestEnd = e, end
		}
	}
	return best
}

// longTransitTolerance is how much longer than the shortest the transit time of an entry may be for a long call to use
// it, so that the entries with a short transit time are left to short calls.
const longTransitTolerance = 50 * time.Millisecond

// entryForLong returns an entry for a call that uses it alone: of the empty entries in which it ends almost first, the
// one with the longest transit time.
func (q *Queue) entryForLong(now time.Time) *entry {
	shortest := time.Duration(-1)
	for _, e := range q.entries {
		if transit := e.transit.total(); e.usable(now) && len(e.calls) == 0 && (shortest < 0 || transit < shortest) {
			shortest = transit
		}
	}
	var best *entry
	for _, e := range q.entries {
		if !e.usable(now) || len(e.calls) > 0 || e.transit.total() > shortest+longTransitTolerance {
			continue
		}
		if best == nil || e.transit.total() > best.transit.total() {
			best = e
		}
	}
	return best
}

// A call is overdue once its answer is later than expected by the sum of minOverdue, overdueDelays times the mean time
// that calls spend outside the advisor, which grows while the controller lacks processor time, and overdueShare of the
// expected time at the advisor, since work and waiting are only estimates.
const (
	minOverdue    = 100 * time.Millisecond
	overdueDelays = 2
	overdueShare  = 0.2
)

// HasOverdue reports whether TakeOverdue may return a call.
func (q *Queue) HasOverdue(now time.Time) bool { return len(q.byID) > 0 && !now.Before(q.overdueAt) }

// TakeOverdue returns the calls that have become overdue, each once: those without an answer long after their expected
// end, and those through entries that are gone. What they ask may be asked through another entry.
func (q *Queue) TakeOverdue(now time.Time) []*Call {
	if !q.HasOverdue(now) {
		return nil
	}
	var out []*Call
	q.overdueAt = time.Time{}
	for _, e := range q.entries {
		for _, c := range e.calls {
			switch {
			case c.overdue:
			case !now.Before(c.overdueAt):
				c.overdue = true
				q.releaseUnits(c)
				out = append(out, c)
			case q.overdueAt.IsZero() || c.overdueAt.Before(q.overdueAt):
				q.overdueAt = c.overdueAt
			}
		}
	}
	if q.overdueAt.IsZero() {
		q.overdueAt = now.Add(minOverdue)
	}
	return out
}

// releaseUnits no longer counts a call among those in flight of its class.
func (q *Queue) releaseUnits(c *Call) {
	if q.units[c.Class] -= c.length.Units(); q.units[c.Class] <= 0 {
		delete(q.units, c.Class)
	}
}

// Outcome is the result of a call.
type Outcome int

// The outcomes of a call.
const (
	// Answered means that the advisor has decided.
	Answered Outcome = iota
	// Overloaded means that the advisor has refused the call since too many calls of the entry's machine wait.
	Overloaded
	// Failed means that there is no answer.
	Failed
)

// Backoff of an entry. A failed call says that its machine may be down, so that it takes longer at first.
const (
	overloadBackoff = 100 * time.Millisecond
	failureBackoff  = 400 * time.Millisecond
	maxBackoff      = 3200 * time.Millisecond
)

// Done removes a call. It returns whether the call was still awaited, and when its entry may be used again, zero if the
// entry has no backoff. A call that is not known changes nothing.
func (q *Queue) Done(id int64, outcome Outcome, now time.Time) (awaited bool, backoffUntil time.Time) {
	e := q.byID[id]
	if e == nil {
		return false, time.Time{}
	}
	inFlight := q.InFlight()
	i := slices.IndexFunc(e.calls, func(c *Call) bool { return c.ID == id })
	c := e.calls[i]
	e.calls = slices.Delete(e.calls, i, i+1)
	delete(q.byID, id)
	if !c.overdue {
		q.releaseUnits(c)
	}
	defer q.dropGone()
	if outcome == Answered {
		e.failures = 0
		e.backoffUntil = time.Time{}
		outside := now.Sub(c.Sent) - c.atAdvisor
		e.transit.add(outside)
		q.window.answered(outside, inFlight, now)
		return !c.overdue, time.Time{}
	}
	e.backOff(outcome, now)
	return !c.overdue, e.backoffUntil
}

// backOff lengthens the entry's backoff after a refused or failed call, but not for one that was sent before the
// backoff began.
func (e *entry) backOff(outcome Outcome, now time.Time) {
	if now.Before(e.backoffUntil) {
		return
	}
	backoff := failureBackoff
	if outcome == Overloaded {
		backoff = overloadBackoff
	}
	for range e.failures {
		backoff = min(2*backoff, maxBackoff)
	}
	e.failures++
	e.backoffUntil = now.Add(backoff)
}

// Transit returns the mean time that calls spend outside the advisor.
func (q *Queue) Transit() time.Duration { return q.window.delay }
