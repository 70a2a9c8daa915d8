package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// stepAdvice is what the placement advisor has said about a step. Which workers may run a
// step does not change; tickets expire.
type stepAdvice struct {
	verdicts map[*worker]verdict
	// ticketsUntil is when the last ticket got expires.
	ticketsUntil  time.Time
	callsInFlight int // calls under way
	retryAt       time.Time
}

// verdict is the advisor's word on one worker.
type verdict struct {
	boot    int64
	allowed bool
	ticket  string
	expires time.Time
}

// ticketMargin is how long before its end a ticket is not used any more: the time of a
// start on its way.
const ticketMargin = 60 * time.Millisecond

// ticket returns the ticket for a step on a worker, and whether the step may be started
// there now.
func (s *step) ticket(w *worker, now time.Time) (string, bool) {
	if s.job().class.Advisor == nil {
		return "", true
	}
	v, ok := s.verdict(w)
	if !ok || !v.allowed || !now.Before(v.expires.Add(-ticketMargin)) {
		return "", false
	}
	return v.ticket, true
}

// hasTickets reports whether some ticket of a step may still be used, or none is needed.
func (s *step) hasTickets(now time.Time) bool {
	if s.job().class.Advisor == nil {
		return true
	}
	return s.advice != nil && now.Before(s.advice.ticketsUntil.Add(-ticketMargin))
}

func (s *step) verdict(w *worker) (verdict, bool) {
	if s.advice == nil {
		return verdict{}, false
	}
	v, ok := s.advice.verdicts[w]
	return v, ok && v.boot == w.boot
}

// mayUse reports whether the advisor has not ruled a worker out.
func (s *step) mayUse(w *worker) bool {
	if s.job().class.Advisor == nil {
		return true
	}
	v, ok := s.verdict(w)
	return ok && v.allowed
}

// dropTicket forgets a ticket that a worker refused.
func (s *step) dropTicket(w *worker) {
	if v, ok := s.verdict(w); ok {
		v.expires = time.Time{}
		s.advice.verdicts[w] = v
	}
}

// advisorEntry is a way to the advisor: it serves the calls of each entry one at a time.
type advisorEntry struct {
	name     string
	busy     bool
	callSent time.Time
	call     *AdvisorCall
	// backoffUntil is until when the lane is not used after a call that failed.
	backoffUntil time.Time
}

// advisorEntryBackoff is how long a lane rests after a call that failed: its member may be away.
const advisorEntryBackoff = 400 * time.Millisecond

// SetAdvisorEntries tells which entries may ask the advisor.
func (c *Controller) SetAdvisorEntries(names []string) {
	for name, entry := range c.advisorEntries {
		if !slices.Contains(names, name) && !entry.busy {
			delete(c.advisorEntries, name)
		}
	}
	for _, name := range names {
		if c.advisorEntries[name] == nil {
			c.advisorEntries[name] = &advisorEntry{name: name}
		}
	}
}

// allowedShare is the learnt share of workers that the advisor allows for a class.
type allowedShare struct{ asked, allowed float64 }

const (
	// assumedAllowedShare is what is assumed before anything was learnt.
	assumedAllowedShare = 0.5
	// assumedShareWeight is the number of answers that the assumption counts as, and
	// maxShareWeight the number after which older answers fade.
	assumedShareWeight = 20
	maxShareWeight     = 400
)

func (c *Controller) allowedShareOf(class string) *allowedShare {
	g := c.allowedShares[class]
	if g == nil {
		g = &allowedShare{asked: assumedShareWeight, allowed: assumedShareWeight * assumedAllowedShare}
		c.allowedShares[class] = g
	}
	return g
}

func (g *allowedShare) value() float64 { return max(g.allowed/g.asked, 0.05) }

func (g *allowedShare) add(asked, allowed int) {
	g.asked += float64(asked)
	g.allowed += float64(allowed)
	if g.asked > maxShareWeight {
		g.allowed *= maxShareWeight / g.asked
		g.asked = maxShareWeight
	}
}

// longDecisionTime is the time of a decision from which calls may not take the last lanes, which
// are kept for short ones.
const longDecisionTime = 100 * time.Millisecond

// callAdvisor asks about steps that wait for tickets, the most urgent first.
func (c *Controller) callAdvisor(steps []*step, pool []*worker, now time.Time) {
	idleEntries := c.idleAdvisorEntries(now)
	for _, s := range steps {
		if len(idleEntries) == 0 {
			return
		}
		class := s.job().class
		if class.Advisor == nil {
			continue
		}
		if class.Advisor.DecisionTime >= longDecisionTime && len(idleEntries) <= c.entriesKeptForShortCalls() {
			continue
		}
		workers := c.workersToAskAbout(s, pool, now)
		if len(workers) == 0 {
			continue
		}
		c.sendAdvisorCall(idleEntries[0], s, workers, now)
		idleEntries = idleEntries[1:]
	}
}

// entriesKeptForShortCalls is the number of lanes that long calls leave free.
func (c *Controller) entriesKeptForShortCalls() int {
	if len(c.advisorEntries) <= 1 {
		return 0
	}
	return 1 + len(c.advisorEntries)/8
}

// idleAdvisorEntries returns the lanes without a call, in the order of their names.
func (c *Controller) idleAdvisorEntries(now time.Time) []*advisorEntry {
	var idle []*advisorEntry
	for _, entry := range c.advisorEntries {
		if !entry.busy && !now.Before(entry.backoffUntil) {
			idle = append(idle, entry)
		}
	}
	slices.SortFunc(idle, func(a, b *advisorEntry) int { return cmp.Compare(a.name, b.name) })
	return idle
}

const (
	// maxWorkersPerCall is the number of workers that one call may name.
	maxWorkersPerCall = 100
	// taskCapacitySurplus is how many times the needed room a call asks for.
	taskCapacitySurplus = 2.0
)

// workersToAskAbout returns the workers to ask about for a step: enough that those allowed
// hold what waits. It returns nil while a call is under way or tickets suffice.
func (c *Controller) workersToAskAbout(s *step, pool []*worker, now time.Time) []*worker {
	if s.advice == nil {
		s.advice = &stepAdvice{verdicts: map[*worker]verdict{}}
	}
	a := s.advice
	need := len(s.startableTasks(now))
	if a.callsInFlight > 0 || now.Before(a.retryAt) || need == 0 {
		return nil
	}
	if s.gang == nil {
		return c.workersForTasks(s, pool, need, now)
	}
	if s.gang.attempt != 0 || need < len(s.tasks) {
		return nil
	}
	return c.workersForGang(s, pool, need, now)
}

const (
	// gangCapacitySurplus is how many times the needed room on allowed workers a gang looks
	// for, so that it finds workers that come free soon.
	gangCapacitySurplus = 3.0
	// minGangWorkersAsked is the least number of workers that a gang asks about first: the time
	// of a call is mostly that of its decision.
	minGangWorkersAsked = 24
)

// workersForGang returns the workers to ask about for a gang, whatever room they have now:
// first those of which nothing is known, until enough are allowed; then, when the gang is
// about to fit, those with room whose tickets have expired.
func (c *Controller) workersForGang(s *step, pool []*worker, need int, now time.Time) []*worker {
	share := c.allowedShareOf(s.job().class.Name).value()
	want := gangCapacitySurplus * float64(need)
	allowed := 0.0
	var unknown []*worker
	for _, w := range pool {
		fits := countFits(w.info.Capacity, s.size)
		if fits == 0 || !s.matchesWorker(w) {
			continue
		}
		v, known := s.verdict(w)
		switch {
		case !known:
			unknown = append(unknown, w)
		case v.allowed:
			allowed += float64(fits)
		}
	}
	if allowed >= want && s.enoughAllowedSince.IsZero() {
		s.enoughAllowedSince = now
	}
	want *= s.surplusFactor(now)
	if allowed < want && len(unknown) > 0 {
		slices.SortStableFunc(unknown, func(a, b *worker) int {
			return cmp.Compare(remainingShare(b, structs.Resources{}), remainingShare(a, structs.Resources{}))
		})
		return firstWithCapacity(s, unknown, (want-allowed)/share)
	}
	return c.workersForTicketRenewal(s, pool, now)
}

// surplusGrowthPeriod is how long a gang waits for room on the workers that it may use until it
// looks for as much room again: others may be empty.
const surplusGrowthPeriod = 1500 * time.Millisecond

// surplusFactor is 1 for a gang that has just found enough workers that may hold it, and grows
// while it waits for room on them.
func (s *step) surplusFactor(now time.Time) float64 {
	if s.enoughAllowedSince.IsZero() {
		return 1
	}
	return 1 + float64(now.Sub(s.enoughAllowedSince))/float64(surplusGrowthPeriod)
}

// firstWithCapacity returns the first workers that hold so many tasks of a step when empty, but
// no few.
func firstWithCapacity(s *step, workers []*worker, tasks float64) []*worker {
	for i, w := range workers {
		tasks -= float64(countFits(w.info.Capacity, s.size))
		if tasks <= 0 && i+1 >= minGangWorkersAsked || i+1 == maxWorkersPerCall {
			return workers[:i+1]
		}
	}
	return workers
}

// ticketLead is how long before a gang is expected to fit its tickets are asked for, beyond
// the time of the call: the expectation is rough.
const ticketLead = 700 * time.Millisecond

// workersForTicketRenewal returns the workers that a gang may use if it is about to fit and those with
// room for it lack tickets. All are asked about in one call, for room comes free on others
// meanwhile.
func (c *Controller) workersForTicketRenewal(s *step, pool []*worker, now time.Time) []*worker {
	if s.startAt.IsZero() {
		return nil
	}
	var out []*worker
	fits := 0
	for _, w := range pool {
		if !s.matchesWorker(w) || !s.mayUse(w) || countFits(w.info.Capacity, s.size) == 0 {
			continue
		}
		out = append(out, w)
		if v, _ := s.verdict(w); v.expires.After(s.startAt.Add(ticketMargin)) {
			fits += max(countFits(c.availableFor(s, w, now), s.size), countFits(c.reservedFor(s, w), s.size))
		}
	}
	lead := s.job().class.Advisor.CallTime(len(out)) + ticketLead
	if fits >= len(s.tasks) || s.startAt.Sub(now) > lead {
		return nil
	}
	return out[:min(len(out), maxWorkersPerCall)]
}

// workersForTasks returns the workers with room to ask about for tasks that run each by itself.
func (c *Controller) workersForTasks(s *step, pool []*worker, need int, now time.Time) []*worker {
	share := c.allowedShareOf(s.job().class.Name).value()
	expected := 0.0
	want := taskCapacitySurplus * float64(need)
	var out []*worker
	for _, cand := range c.candidates(s, pool, false, now) {
		v, known := s.verdict(cand.w)
		if known && !v.allowed {
			continue
		}
		if known && now.Before(v.expires.Add(-ticketMargin)) {
			expected += float64(cand.fit)
			continue
		}
		if expected >= want || len(out) >= maxWorkersPerCall {
			break
		}
		if known {
			expected += float64(cand.fit)
		} else {
			expected += share * float64(cand.fit)
		}
		out = append(out, cand.w)
	}
	return out
}

// sendAdvisorCall sends a call through a lane.
func (c *Controller) sendAdvisorCall(entry *advisorEntry, s *step, workers []*worker, now time.Time) {
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.info.ID
	}
	call := AdvisorCall{
		Entry:    entry.name,
		Step:     s.id(),
		Workers:  ids,
		Sent:     now,
		Expected: s.job().class.Advisor.CallTime(len(ids)),
	}
	entry.busy = true
	entry.callSent = now
	entry.call = &call
	s.advice.callsInFlight++
	c.orders.AdvisorCalls = append(c.orders.AdvisorCalls, call)
}

// AdvisorCallDone takes the advisor's answer to a call; err is nil if it answered.
func (c *Controller) AdvisorCallDone(call *AdvisorCall, allowed []workload.Ticket, validity time.Duration, err error, now time.Time) {
	if entry := c.advisorEntries[call.Entry]; entry != nil && entry.busy && entry.call.Step == call.Step && entry.callSent.Equal(call.Sent) {
		entry.busy = false
		entry.call = nil
		if err != nil {
			entry.backoffUntil = now.Add(advisorEntryBackoff)
			c.wakeups.add(entry.backoffUntil)
		}
	}
	c.requestPlacement(now)
	s := c.findStep(call.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.advice.callsInFlight--
	if err != nil {
		s.advice.retryAt = now.Add(advisorRetryPause)
		c.wakeups.add(s.advice.retryAt)
		c.recordAdvisorCall(event.AdviceFailed, s, call, len(allowed), now)
		return
	}
	c.applyVerdicts(s, call, allowed, validity, now)
	c.recordAdvisorCall(event.AdviceGot, s, call, len(allowed), now)
}

// advisorRetryPause is the pause after a call that failed.
const advisorRetryPause = 10 * time.Millisecond

func (c *Controller) applyVerdicts(s *step, call *AdvisorCall, allowed []workload.Ticket, validity time.Duration, now time.Time) {
	if validity <= 0 {
		validity = s.job().class.Advisor.TicketValidity
	}
	tickets := make(map[string]string, len(allowed))
	for _, t := range allowed {
		tickets[t.Worker] = t.Ticket
	}
	// The ticket is valid from the advisor's answer on, which left at the latest now
	// and at the earliest after the decision; half of the way back is not known.
	expires := now.Add(validity)
	if len(allowed) > 0 {
		s.advice.ticketsUntil = expires
	}
	newVerdicts := 0
	newAllowed := 0
	for _, id := range call.Workers {
		w := c.workers[id]
		if w == nil {
			continue
		}
		ticket, ok := tickets[id]
		if _, known := s.verdict(w); !known {
			newVerdicts++
			if ok {
				newAllowed++
			}
		}
		s.advice.verdicts[w] = verdict{boot: w.boot, allowed: ok, ticket: ticket, expires: expires}
	}
	c.allowedShareOf(s.job().class.Name).add(newVerdicts, newAllowed)
}

// findStep returns a step of an open occurrence, nil if there is none.
func (c *Controller) findStep(id workload.StepID) *step {
	t := c.findTask(workload.TaskID{StepID: id})
	if t == nil {
		return nil
	}
	return t.step
}
