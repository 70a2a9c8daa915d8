package controller

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"dotterelhitch/internal/advisorqueue"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// stepAdvice holds the advisor's answers about a step. Whether a worker may run a step does
// not change, but tickets expire.
type stepAdvice struct {
	verdicts map[*worker]verdict
	// ticketsUntil is when the most recent tickets expire.
	ticketsUntil  time.Time
	callsInFlight int
	retryAt       time.Time
}

// verdict is the advisor's answer about one worker. It applies to one boot of the worker.
type verdict struct {
	boot      int64
	allowed   bool
	ticket    string
	expiresAt time.Time
}

// ticketMargin is how long before its expiry a ticket is no longer used. It covers the
// delivery of a start order.
const ticketMargin = 60 * time.Millisecond

// ticket returns the ticket for a step on a worker, and whether the step may be started there
// now.
func (s *step) ticket(w *worker, now time.Time) (string, bool) {
	if s.job().class.Advisor == nil {
		return "", true
	}
	v, ok := s.verdict(w)
	if !ok || !v.allowed || !now.Before(v.expiresAt.Add(-ticketMargin)) {
		return "", false
	}
	return v.ticket, true
}

// ticketExpiry returns when the ticket of a start on a worker expires, zero without a ticket.
func (s *step) ticketExpiry(w *worker, ticket string) time.Time {
	if ticket == "" {
		return time.Time{}
	}
	v, _ := s.verdict(w)
	return v.expiresAt
}

// hasTickets reports whether some ticket of a step is still valid, or none is needed.
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

// mayUse reports whether the advisor allows a worker for the step, or is not needed for the
// step's class.
func (s *step) mayUse(w *worker) bool {
	if s.job().class.Advisor == nil {
		return true
	}
	v, ok := s.verdict(w)
	return ok && v.allowed
}

// dropTicket invalidates a ticket that a worker refused.
func (s *step) dropTicket(w *worker) {
	if v, ok := s.verdict(w); ok {
		v.expiresAt = time.Time{}
		s.advice.verdicts[w] = v
	}
}

// SetAdvisorEntries sets the entries through which the advisor may be called.
func (c *Controller) SetAdvisorEntries(names []string) { c.advisorQueue.SetEntries(names) }

// allowedShare estimates the share of workers that the advisor allows for a class, or the share that still has room
// when it answers.
type allowedShare struct{ asked, allowed float64 }

const (
	// assumedAllowedShare is the estimate before the first answer.
	assumedAllowedShare = 0.5
	// assumedShareWeight is the number of answers that the initial estimate counts for.
	// Beyond maxShareWeight answers, older ones lose weight.
	assumedShareWeight = 20
	maxShareWeight     = 400
)

func (c *Controller) allowedShareOf(class string) *allowedShare {
	share := c.allowedShares[class]
	if share == nil {
		share = &allowedShare{asked: assumedShareWeight, allowed: assumedShareWeight * assumedAllowedShare}
		c.allowedShares[class] = share
	}
	return share
}

func (s *allowedShare) value() float64 { return max(s.allowed/s.asked, 0.05) }

func (s *allowedShare) add(asked, allowed int) {
	s.asked += float64(asked)
	s.allowed += float64(allowed)
	if s.asked > maxShareWeight {
		s.allowed *= maxShareWeight / s.asked
		s.asked = maxShareWeight
	}
}

// callAdvisor calls the advisor for steps that need tickets, the most urgent first. Steps of classes
// that use more than their part of the entries come after the others.
func (c *Controller) callAdvisor(steps []*step, pool []*worker, now time.Time) {
	c.giveUpOverdueCalls(now)
	pass := &advisorPass{ctl: c, pool: pool, now: now, room: c.advisorQueue.Room(now), shares: c.newAdvisorShares(steps)}
	var deferred []*step
	for _, s := range steps {
		if !pass.room.Any() {
			return
		}
		class := s.job().class
		if class.Advisor == nil {
			continue
		}
		left := pass.shares.left(class.Name, callLength(class))
		if left == 0 {
			deferred = append(deferred, s)
			continue
		}
		pass.ask(s, left)
	}
	for _, s := range deferred {
		if !pass.room.Any() {
			return
		}
		pass.ask(s, pass.room[callLength(s.job().class)])
	}
}

// giveUpOverdueCalls stops waiting for overdue calls, so that the advisor is asked about their steps again. Answers
// that arrive nevertheless are used.
func (c *Controller) giveUpOverdueCalls(now time.Time) {
	for _, overdue := range c.advisorQueue.TakeOverdue(now) {
		if s := c.findStep(overdue.Step); s != nil && s.advice != nil {
			s.advice.callsInFlight--
			c.recordOverdueCall(s, overdue, now)
		}
	}
}

// AdvisorCalls returns the number of calls to the advisor in flight, and the largest number that may be.
func (c *Controller) AdvisorCalls() (inFlight, limit int) {
	return c.advisorQueue.InFlight(), c.advisorQueue.Limit()
}

// callLength returns the length of the calls for a class.
func callLength(class *workload.Class) advisorqueue.Length {
	return advisorqueue.LengthOf(class.Advisor.CallTime(assumedWorkersPerCall))
}

// advisorPass is one pass of calls to the advisor.
type advisorPass struct {
	ctl    *Controller
	pool   []*worker
	now    time.Time
	room   advisorqueue.Room
	shares *advisorShares
}

// ask makes at most maxCalls calls for a step if it needs tickets.
func (p *advisorPass) ask(s *step, maxCalls int) {
	usable := min(p.room[callLength(s.job().class)], maxCalls)
	if usable <= 0 {
		return
	}
	workers := p.ctl.workersToAskAbout(s, p.pool, p.now)
	for _, asked := range splitCall(workers, p.ctl.parallelCalls(usable)) {
		p.ctl.sendAdvisorCall(s, asked, p.now)
	}
	if len(workers) > 0 {
		p.room = p.ctl.advisorQueue.Room(p.now)
	}
}

const (
	// entriesPerParallelCall is the number of entries of the cell for each call that one step
	// may have in flight at the same time.
	entriesPerParallelCall = 8
	// workersPerParallelCall is the number of workers up to which a call is not split.
	workersPerParallelCall = 40
)

// parallelCalls returns the number of calls that one step may make at the same time while there is
// room for some.
func (c *Controller) parallelCalls(room int) int {
	return max(1, min(room, c.advisorQueue.Entries()/entriesPerParallelCall))
}

// splitCall splits the workers to ask about into at most maxCalls calls of similar size. Workers
// beyond the largest size of these calls are left out.
func splitCall(workers []*worker, maxCalls int) [][]*worker {
	if len(workers) == 0 {
		return nil
	}
	calls := min((len(workers)+workersPerParallelCall-1)/workersPerParallelCall, maxCalls)
	size := min((len(workers)+calls-1)/calls, maxWorkersPerCall)
	workers = workers[:min(len(workers), calls*size)]
	return slices.Collect(slices.Chunk(workers, size))
}

const (
	// maxWorkersPerCall is the largest number of workers in one call, maxWorkersAsked in the
	// calls that are made at the same time for one step.
	maxWorkersPerCall = 100
	maxWorkersAsked   = 400
)

// workersToAskAbout returns the workers to ask about for a step, so that those allowed have
// enough capacity for the pending tasks. It returns nil while a call is in flight or if the
// tickets suffice.
func (c *Controller) workersToAskAbout(s *step, pool []*worker, now time.Time) []*worker {
	if s.advice == nil {
		s.advice = &stepAdvice{verdicts: map[*worker]verdict{}}
	}
	a := s.advice
	need := c.quotaRoom(s, s.startableCount(now))
	if a.callsInFlight > 0 || now.Before(a.retryAt) || need == 0 {
		return nil
	}
	if s.gang == nil {
		return c.workersForTasks(s, need, now)
	}
	if s.gang.attempt != 0 || need < len(s.tasks) {
		return nil
	}
	return c.workersForGang(s, pool, need, now)
}

const (
	// gangCapacitySurplus is the capacity of allowed workers that a gang searches for, as a
	// multiple of the capacity needed, so that some of these workers become free soon.
	gangCapacitySurplus = 6.0
	// minGangWorkersAsked is the least number of workers in a gang's first call, since the
	// duration of a call depends mostly on the decision time and not on the number of
	// workers.
	minGangWorkersAsked = 24
)

// workersForGang returns the workers to ask about for a gang, regardless of their free
// capacity. First come workers without a verdict, until enough are allowed. Later, when the
// gang is about to fit, come the allowed workers, to renew expired tickets.
func (c *Controller) workersForGang(s *step, pool []*worker, need int, now time.Time) []*worker {
	share := c.allowedShareOf(s.job().class.Name).value()
	want := gangCapacitySurplus * float64(need)
	allowed := c.allowedSlots(s)
	if allowed >= want && s.enoughAllowedSince.IsZero() {
		s.enoughAllowedSince = now
	}
	want *= s.surplusFactor(now)
	if allowed >= want {
		return c.workersForTicketRenewal(s, pool, now)
	}
	if unknown := s.withoutVerdict(pool); len(unknown) > 0 {
		slices.SortStableFunc(unknown, func(a, b *worker) int {
			return cmp.Compare(remainingShare(b, structs.Resources{}), remainingShare(a, structs.Resources{}))
		})
		return firstWithCapacity(s, unknown, (want-allowed)/share)
	}
	return c.workersForTicketRenewal(s, pool, now)
}

// allowedSlots returns how many tasks of a step fit, when they are empty, on the usable workers that the advisor has
// allowed. The verdicts are far fewer than the workers.
func (c *Controller) allowedSlots(s *step) float64 {
	total := 0
	for w, v := range s.advice.verdicts {
		if v.allowed && v.boot == w.boot && w.lastPass == c.passes && s.matchesWorker(w) {
			total += countFits(w.info.Capacity, s.size)
		}
	}
	return float64(total)
}

// withoutVerdict returns the workers of a pool that are large enough for a step and on which the advisor has not
// given its verdict.
func (s *step) withoutVerdict(pool []*worker) []*worker {
	var out []*worker
	for _, w := range pool {
		if countFits(w.info.Capacity, s.size) == 0 || !s.matchesWorker(w) {
			continue
		}
		if _, known := s.verdict(w); !known {
			out = append(out, w)
		}
	}
	return out
}

// surplusGrowthPeriod is the time in which a waiting gang's surplus grows by the initial
// amount, since workers that were not asked about may be empty.
const surplusGrowthPeriod = 1500 * time.Millisecond

// surplusFactor is 1 for a gang that has just found enough allowed workers, and grows while
// the gang waits for free capacity on them.
func (s *step) surplusFactor(now time.Time) float64 {
	if s.enoughAllowedSince.IsZero() {
		return 1
	}
	return 1 + float64(now.Sub(s.enoughAllowedSince))/float64(surplusGrowthPeriod)
}

// firstWithCapacity returns the first workers that have capacity, when empty, for a number of
// tasks of a step, but at least minGangWorkersAsked workers if there are as many.
func firstWithCapacity(s *step, workers []*worker, tasks float64) []*worker {
	for i, w := range workers {
		tasks -= float64(countFits(w.info.Capacity, s.size))
		if tasks <= 0 && i+1 >= minGangWorkersAsked || i+1 == maxWorkersAsked {
			return workers[:i+1]
		}
	}
	return workers
}

// ticketLead, plus the duration of the call, is how long before a gang's expected start its
// tickets are renewed. It is long because the expected start is only a rough estimate.
const ticketLead = 700 * time.Millisecond

// renewalSurplus is the capacity for which a gang renews tickets as a multiple of the capacity
// needed, since some of it is gone when the tickets arrive.
const renewalSurplus = 1.5

// workersForTicketRenewal returns the workers that are allowed for a gang if the gang is
// about to fit and too many of them lack valid tickets. Those with the most room for the gang
// come first.
func (c *Controller) workersForTicketRenewal(s *step, pool []*worker, now time.Time) []*worker {
	if s.startAt.IsZero() {
		return nil
	}
	var found []candidate
	ticketed := 0
	for _, w := range pool {
		if !s.matchesWorker(w) || !s.mayUse(w) || countFits(w.info.Capacity, s.size) == 0 {
			continue
		}
		fit := max(countFits(c.availableFor(s, w, now), s.size), countFits(c.reservedFor(s, w), s.size))
		found = append(found, candidate{w: w, fit: fit})
		if v, _ := s.verdict(w); v.expiresAt.After(s.startAt.Add(ticketMargin)) {
			ticketed += fit
		}
	}
	if ticketed >= len(s.tasks) {
		return nil
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(b.fit, a.fit) })
	out := firstWithRoom(found, renewalSurplus*float64(len(s.tasks)))
	lead := s.job().class.Advisor.CallTime(min(len(out), maxWorkersPerCall)) + c.advisorQueue.Transit() + ticketLead
	if s.startAt.Sub(now) > lead {
		return nil
	}
	return out
}

// firstWithRoom returns the workers of the first candidates that have room for a number of tasks
// now, but at least maxWorkersPerCall if there are as many, and at most maxWorkersAsked.
func firstWithRoom(found []candidate, tasks float64) []*worker {
	var out []*worker
	for i := range found {
		if len(out) == maxWorkersAsked || tasks <= 0 && len(out) >= maxWorkersPerCall {
			break
		}
		tasks -= float64(found[i].fit)
		out = append(out, found[i].w)
	}
	return out
}

// workersForTasks returns the workers with free capacity to ask about for a step that is not
// a gang.
func (c *Controller) workersForTasks(s *step, need int, now time.Time) []*worker {
	class := s.job().class
	share := c.allowedShareOf(class.Name).value()
	stillFree := c.stillFreeShareOf(class.Name).value()
	anotherCall := c.advisorQueue.Transit() + class.Advisor.DecisionTime + c.placementInterval()
	selection := advisorqueue.NewSelection(need, class.Advisor.TimePerWorker, anotherCall)
	var out []*worker
	if len(c.unsortedCandidates(s, false, now)) == 0 {
		return nil
	}
	found := &c.candidateBuffer
	heap.Init(found)
	for len(*found) > 0 {
		cand := found.takeBest()
		v, known := s.verdict(cand.w)
		if known && !v.allowed {
			continue
		}
		if known && now.Before(v.expiresAt.Add(-ticketMargin)) {
			selection.Add(cand.fit, 1)
			continue
		}
		probability := stillFree
		if !known {
			probability *= share
		}
		if len(out) >= maxWorkersAsked || !selection.WorthAdding(cand.fit, probability) {
			break
		}
		selection.Add(cand.fit, probability)
		out = append(out, cand.w)
	}
	return out
}

// stillFreeShareOf estimates the share of workers that still have room for a task of a class when the
// advisor answers, of those that had it when it was called.
func (c *Controller) stillFreeShareOf(class string) *allowedShare {
	share := c.stillFreeShares[class]
	if share == nil {
		share = &allowedShare{asked: assumedShareWeight, allowed: assumedShareWeight * assumedStillFreeShare}
		c.stillFreeShares[class] = share
	}
	return share
}

// assumedStillFreeShare is the estimate before the first answer.
const assumedStillFreeShare = 0.8

// learnStillFree learns from an answer how many of the workers in the call still have room.
func (c *Controller) learnStillFree(s *step, call *AdvisorCall, now time.Time) {
	if s.gang != nil {
		return
	}
	free := 0
	for _, id := range call.Workers {
		if w := c.workers[id]; w != nil && c.fitCount(s, w, now) > 0 {
			free++
		}
	}
	c.stillFreeShareOf(s.job().class.Name).add(len(call.Workers), free)
}

// sendAdvisorCall starts a call if there is room for it.
func (c *Controller) sendAdvisorCall(s *step, workers []*worker, now time.Time) {
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.info.ID
	}
	class := s.job().class
	work := class.Advisor.CallTime(len(ids))
	queued := c.advisorQueue.Send(s.id(), class.Name, callLength(class), work, now)
	if queued == nil {
		return
	}
	s.advice.callsInFlight++
	c.orders.AdvisorCalls = append(c.orders.AdvisorCalls, AdvisorCall{
		ID:               queued.ID,
		Entry:            queued.Entry,
		Step:             s.id(),
		Workers:          ids,
		Sent:             now,
		ExpectedDuration: work,
	})
}

// AdvisorCallDone processes the advisor's answer to a call; err is not nil if the call
// failed, with CodeOverload if the advisor refused it. With a validity of zero or less, tickets
// are valid for the time that the class states.
func (c *Controller) AdvisorCallDone(call *AdvisorCall, allowed []workload.Ticket, validity time.Duration, err error, now time.Time) {
	awaited, backoffUntil := c.advisorQueue.Done(call.ID, advisorOutcome(err), now)
	if !backoffUntil.IsZero() {
		c.wakeups.add(backoffUntil)
	}
	c.requestPlacement(now)
	s := c.findStep(call.Step)
	if s == nil || s.advice == nil {
		return
	}
	if awaited {
		s.advice.callsInFlight--
	}
	if err != nil {
		s.advice.retryAt = now.Add(advisorRetryPause)
		c.wakeups.add(s.advice.retryAt)
		c.recordAdvisorCall(event.AdviceFailed, s, call, len(allowed), err, now)
		return
	}
	c.learnStillFree(s, call, now)
	c.applyVerdicts(s, call, allowed, validity, now)
	c.recordAdvisorCall(event.AdviceReceived, s, call, len(allowed), nil, now)
}

// advisorOutcome returns the outcome of a call with an error or nil.
func advisorOutcome(err error) advisorqueue.Outcome {
	switch {
	case err == nil:
		return advisorqueue.Answered
	case structs.CodeOf(err) == structs.CodeOverload:
		return advisorqueue.Overloaded
	default:
		return advisorqueue.Failed
	}
}

// advisorRetryPause is the pause before a step is asked about again after a failed call.
const advisorRetryPause = 10 * time.Millisecond

func (c *Controller) applyVerdicts(s *step, call *AdvisorCall, allowed []workload.Ticket, validity time.Duration, now time.Time) {
	if validity <= 0 {
		validity = s.job().class.Advisor.TicketValidity
	}
	tickets := make(map[string]string, len(allowed))
	for _, t := range allowed {
		tickets[t.Worker] = t.Ticket
	}
	// The ticket is valid from the advisor's answer on. The answer was sent after the
	// decision and at the latest now; the time that it was on the network is not known.
	expiresAt := now.Add(validity)
	if len(allowed) > 0 {
		s.advice.ticketsUntil = expiresAt
	}
	newVerdicts := 0
	newAllowed := 0
	for _, id := range call.Workers {
		w := c.workers[id]
		if w == nil || w.bootSeenAt.After(call.Sent) {
			continue // the advisor may have judged another boot
		}
		ticket, ok := tickets[id]
		if _, known := s.verdict(w); !known {
			newVerdicts++
			if ok {
				newAllowed++
			}
		}
		s.advice.verdicts[w] = verdict{boot: w.boot, allowed: ok, ticket: ticket, expiresAt: expiresAt}
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
