package controller

import (
	"cmp"
	"slices"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// advice is what the placement advisor has said about a step. Which workers may run a
// step does not change; tickets expire.
type advice struct {
	known map[*worker]verdict
	// until is when the last ticket got expires.
	until   time.Time
	asking  int // calls under way
	retryAt time.Time
}

// verdict is the advisor's word on one worker.
type verdict struct {
	boot    int64
	good    bool
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
	if !ok || !v.good || !now.Before(v.expires.Add(-ticketMargin)) {
		return "", false
	}
	return v.ticket, true
}

// hasTickets reports whether some ticket of a step may still be used, or none is needed.
func (s *step) hasTickets(now time.Time) bool {
	if s.job().class.Advisor == nil {
		return true
	}
	return s.advice != nil && now.Before(s.advice.until.Add(-ticketMargin))
}

func (s *step) verdict(w *worker) (verdict, bool) {
	if s.advice == nil {
		return verdict{}, false
	}
	v, ok := s.advice.known[w]
	return v, ok && v.boot == w.boot
}

// mayUse reports whether the advisor has not ruled a worker out.
func (s *step) mayUse(w *worker) bool {
	if s.job().class.Advisor == nil {
		return true
	}
	v, ok := s.verdict(w)
	return ok && v.good
}

// dropTicket forgets a ticket that a worker refused.
func (s *step) dropTicket(w *worker) {
	if v, ok := s.verdict(w); ok {
		v.expires = time.Time{}
		s.advice.known[w] = v
	}
}

// lane is a way to the advisor: it serves the calls of each entry one at a time.
type lane struct {
	name string
	busy bool
	at   time.Time
	ask  *AdvisorCall
	// restTo is until when the lane is not used after a call that failed.
	restTo time.Time
}

// laneRest is how long a lane rests after a call that failed: its member may be away.
const laneRest = 400 * time.Millisecond

// SetAdvisorEntries tells which entries may ask the advisor.
func (c *Controller) SetAdvisorEntries(names []string) {
	for name, l := range c.lanes {
		if !slices.Contains(names, name) && !l.busy {
			delete(c.lanes, name)
		}
	}
	for _, name := range names {
		if c.lanes[name] == nil {
			c.lanes[name] = &lane{name: name}
		}
	}
}

// goodShare is the learnt share of workers that the advisor allows for a class.
type goodShare struct{ asked, good float64 }

const (
	// shareStart is what is assumed before anything was learnt.
	shareStart = 0.5
	// shareWeight is the number of answers that the assumption counts as, and
	// shareMemory the number after which older answers fade.
	shareWeight = 20
	shareMemory = 400
)

func (c *Controller) share(class string) *goodShare {
	g := c.shares[class]
	if g == nil {
		g = &goodShare{asked: shareWeight, good: shareWeight * shareStart}
		c.shares[class] = g
	}
	return g
}

func (g *goodShare) value() float64 { return max(g.good/g.asked, 0.05) }

func (g *goodShare) add(asked, good int) {
	g.asked += float64(asked)
	g.good += float64(good)
	if g.asked > shareMemory {
		g.good *= shareMemory / g.asked
		g.asked = shareMemory
	}
}

// longCall is the time of a decision from which calls may not take the last lanes, which
// are kept for short ones.
const longCall = 100 * time.Millisecond

// askAdvice asks about steps that wait for tickets, the most urgent first.
func (c *Controller) askAdvice(steps []*step, pool []*worker, now time.Time) {
	idle := c.idleLanes(now)
	for _, s := range steps {
		if len(idle) == 0 {
			return
		}
		class := s.job().class
		if class.Advisor == nil {
			continue
		}
		if class.Advisor.DecisionTime >= longCall && len(idle) <= c.keptLanes() {
			continue
		}
		workers := c.worthAsking(s, pool, now)
		if len(workers) == 0 {
			continue
		}
		c.ask(idle[0], s, workers, now)
		idle = idle[1:]
	}
}

// keptLanes is the number of lanes that long calls leave free.
func (c *Controller) keptLanes() int {
	if len(c.lanes) <= 1 {
		return 0
	}
	return 1 + len(c.lanes)/8
}

// idleLanes returns the lanes without a call, in the order of their names.
func (c *Controller) idleLanes(now time.Time) []*lane {
	var idle []*lane
	for _, l := range c.lanes {
		if !l.busy && !now.Before(l.restTo) {
			idle = append(idle, l)
		}
	}
	slices.SortFunc(idle, func(a, b *lane) int { return cmp.Compare(a.name, b.name) })
	return idle
}

const (
	// maxAsked is the number of workers that one call may name.
	maxAsked = 100
	// askSurplus is how many times the needed room a call asks for.
	askSurplus = 2.0
)

// worthAsking returns the workers to ask about for a step: enough that those allowed
// hold what waits. It returns nil while a call is under way or tickets suffice.
func (c *Controller) worthAsking(s *step, pool []*worker, now time.Time) []*worker {
	if s.advice == nil {
		s.advice = &advice{known: map[*worker]verdict{}}
	}
	a := s.advice
	need := len(s.startable(now))
	if a.asking > 0 || now.Before(a.retryAt) || need == 0 {
		return nil
	}
	if s.gang == nil {
		return c.chooseAsked(s, pool, need, now)
	}
	if s.gang.number != 0 || need < len(s.tasks) {
		return nil
	}
	return c.chooseForGang(s, pool, need, now)
}

const (
	// gangSurplus is how many times the needed room on allowed workers a gang looks
	// for, so that it finds workers that come free soon.
	gangSurplus = 3.0
	// gangAsked is the least number of workers that a gang asks about first: the time
	// of a call is mostly that of its decision.
	gangAsked = 24
)

// chooseForGang returns the workers to ask about for a gang, whatever room they have now:
// first those of which nothing is known, until enough are allowed; then, when the gang is
// about to fit, those with room whose tickets have expired.
func (c *Controller) chooseForGang(s *step, pool []*worker, need int, now time.Time) []*worker {
	share := c.share(s.job().class.Name).value()
	want := gangSurplus * float64(need)
	allowed := 0.0
	var unknown []*worker
	for _, w := range pool {
		most := times(w.info.Capacity, s.size)
		if most == 0 || !s.suits(w) {
			continue
		}
		v, known := s.verdict(w)
		switch {
		case !known:
			unknown = append(unknown, w)
		case v.good:
			allowed += float64(most)
		}
	}
	if allowed >= want && s.knowsSince.IsZero() {
		s.knowsSince = now
	}
	want *= s.impatience(now)
	if allowed < want && len(unknown) > 0 {
		slices.SortStableFunc(unknown, func(a, b *worker) int {
			return cmp.Compare(leftShare(b, structs.Resources{}), leftShare(a, structs.Resources{}))
		})
		return firstWorth(s, unknown, (want-allowed)/share)
	}
	return c.renewTickets(s, pool, now)
}

// surplusWait is how long a gang waits for room on the workers that it may use until it
// looks for as much room again: others may be empty.
const surplusWait = 1500 * time.Millisecond

// impatience is 1 for a gang that has just found enough workers that may hold it, and grows
// while it waits for room on them.
func (s *step) impatience(now time.Time) float64 {
	if s.knowsSince.IsZero() {
		return 1
	}
	return 1 + float64(now.Sub(s.knowsSince))/float64(surplusWait)
}

// firstWorth returns the first workers that hold so many tasks of a step when empty, but
// no few.
func firstWorth(s *step, workers []*worker, tasks float64) []*worker {
	for i, w := range workers {
		tasks -= float64(times(w.info.Capacity, s.size))
		if tasks <= 0 && i+1 >= gangAsked || i+1 == maxAsked {
			return workers[:i+1]
		}
	}
	return workers
}

// ticketLead is how long before a gang is expected to fit its tickets are asked for, beyond
// the time of the call: the expectation is rough.
const ticketLead = 700 * time.Millisecond

// renewTickets returns the workers that a gang may use if it is about to fit and those with
// room for it lack tickets. All are asked about in one call, for room comes free on others
// meanwhile.
func (c *Controller) renewTickets(s *step, pool []*worker, now time.Time) []*worker {
	if s.startAt.IsZero() {
		return nil
	}
	var out []*worker
	fits := 0
	for _, w := range pool {
		if !s.suits(w) || !s.mayUse(w) || times(w.info.Capacity, s.size) == 0 {
			continue
		}
		out = append(out, w)
		if v, _ := s.verdict(w); v.expires.After(s.startAt.Add(ticketMargin)) {
			fits += max(times(c.roomFor(s, w, now), s.size), times(c.heldFor(s, w), s.size))
		}
	}
	lead := s.job().class.Advisor.CallTime(len(out)) + ticketLead
	if fits >= len(s.tasks) || s.startAt.Sub(now) > lead {
		return nil
	}
	return out[:min(len(out), maxAsked)]
}

// chooseAsked returns the workers with room to ask about for tasks that run each by itself.
func (c *Controller) chooseAsked(s *step, pool []*worker, need int, now time.Time) []*worker {
	share := c.share(s.job().class.Name).value()
	expected := 0.0
	want := askSurplus * float64(need)
	var out []*worker
	for _, cand := range c.candidates(s, pool, false, now) {
		v, known := s.verdict(cand.w)
		if known && !v.good {
			continue
		}
		if known && now.Before(v.expires.Add(-ticketMargin)) {
			expected += float64(cand.fit)
			continue
		}
		if expected >= want || len(out) >= maxAsked {
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

// ask sends a call through a lane.
func (c *Controller) ask(l *lane, s *step, workers []*worker, now time.Time) {
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.info.ID
	}
	ask := AdvisorCall{
		Entry:            l.name,
		Step:             s.id(),
		Workers:          ids,
		Sent:             now,
		ExpectedDuration: s.job().class.Advisor.CallTime(len(ids)),
	}
	l.busy = true
	l.at = now
	l.ask = &ask
	s.advice.asking++
	c.orders.AdvisorCalls = append(c.orders.AdvisorCalls, ask)
}

// AdvisorCallDone takes the advisor's answer to a call; err is nil if it answered.
func (c *Controller) AdvisorCallDone(ask *AdvisorCall, good []workload.Ticket, validity time.Duration, err error, now time.Time) {
	if l := c.lanes[ask.Entry]; l != nil && l.busy && l.ask.Step == ask.Step && l.at.Equal(ask.Sent) {
		l.busy = false
		l.ask = nil
		if err != nil {
			l.restTo = now.Add(laneRest)
			c.wakes.add(l.restTo)
		}
	}
	c.needPlan(now)
	s := c.step(ask.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.advice.asking--
	if err != nil {
		s.advice.retryAt = now.Add(adviceRetry)
		c.wakes.add(s.advice.retryAt)
		c.recordAsk(event.AdviceFailed, s, ask, len(good), now)
		return
	}
	c.takeVerdicts(s, ask, good, validity, now)
	c.recordAsk(event.AdviceReceived, s, ask, len(good), now)
}

// adviceRetry is the pause after a call that failed.
const adviceRetry = 10 * time.Millisecond

func (c *Controller) takeVerdicts(s *step, ask *AdvisorCall, good []workload.Ticket, validity time.Duration, now time.Time) {
	if validity <= 0 {
		validity = s.job().class.Advisor.TicketValidity
	}
	tickets := make(map[string]string, len(good))
	for _, g := range good {
		tickets[g.Worker] = g.Ticket
	}
	// The ticket is valid from the advisor's answer on, which left at the latest now
	// and at the earliest after the decision; half of the way back is not known.
	expires := now.Add(validity)
	if len(good) > 0 {
		s.advice.until = expires
	}
	fresh := 0
	freshGood := 0
	for _, id := range ask.Workers {
		w := c.workers[id]
		if w == nil {
			continue
		}
		ticket, ok := tickets[id]
		if _, known := s.verdict(w); !known {
			fresh++
			if ok {
				freshGood++
			}
		}
		s.advice.known[w] = verdict{boot: w.boot, good: ok, ticket: ticket, expires: expires}
	}
	c.share(s.job().class.Name).add(fresh, freshGood)
}

// step returns a step of an open occurrence, nil if there is none.
func (c *Controller) step(id workload.StepID) *step {
	t := c.task(workload.TaskID{StepID: id})
	if t == nil {
		return nil
	}
	return t.step
}
