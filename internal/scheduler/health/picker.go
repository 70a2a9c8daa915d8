package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pickTries is the number of random draws before the whole list is read.
	pickTries = 6
	// slowShare bounds the endpoints treated as slow to one in so many, so that a
	// slowness that all of them share does not shut most of them out.
	slowShare = 4
)

// Picker chooses endpoints for requests by two random choices (Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing", 2001), compared by slowness
// times requests in flight. Endpoints that take several times as long as expected get
// one request at a time.
type Picker struct {
	rng  *rand.Rand
	list []*Endpoint
	byID map[string]*Endpoint
	slow int
}

// NewPicker returns an empty picker that draws from rng.
func NewPicker(rng *rand.Rand) *Picker {
	return &Picker{rng: rng, byID: make(map[string]*Endpoint)}
}

// Upsert returns the endpoint of a name, adding it if it is new.
func (p *Picker) Upsert(id string, slots int) *Endpoint {
	e := p.byID[id]
	if e == nil {
		e = &Endpoint{ID: id, Usable: true, slowness: 1}
		p.byID[id] = e
		p.list = append(p.list, e)
	}
	e.Slots = slots
	return e
}

// Remove drops an endpoint.
func (p *Picker) Remove(id string) {
	e := p.byID[id]
	if e == nil {
		return
	}
	p.setSlow(e, false)
	delete(p.byID, id)
	p.list = slices.DeleteFunc(p.list, func(o *Endpoint) bool { return o == e })
}

// Endpoint returns the endpoint of a name, nil if there is none.
func (p *Picker) Endpoint(id string) *Endpoint { return p.byID[id] }

// Slots returns the number of requests that may be under way at a time over all
// endpoints.
func (p *Picker) Slots() int {
	slots := 0
	for _, e := range p.list {
		if e.Usable && !e.Breaker.IsOpen() {
			slots += e.limit()
		}
	}
	return slots
}

// Pick chooses an endpoint with a free slot and counts a request on it; nil if there
// is none. Endpoints in avoid are left out. The caller tells the end by Done.
func (p *Picker) Pick(now time.Time, avoid ...string) *Endpoint {
	best := p.draw(now, avoid)
	if best == nil {
		best = p.scan(now, avoid)
	}
	if best == nil || !best.Breaker.Allow(now) {
		return nil
	}
	best.inFlight++
	return best
}

// draw compares two endpoints that random draws find ready.
func (p *Picker) draw(now time.Time, avoid []string) *Endpoint {
	var best *Endpoint
	for range pickTries {
		if len(p.list) == 0 {
			return nil
		}
		e := p.list[p.rng.IntN(len(p.list))]
		if e == best || !e.ready(now) || slices.Contains(avoid, e.ID) {
			continue
		}
		if best != nil {
			return p.better(now, best, e)
		}
		best = e
	}
	return best
}

// scan reads all endpoints from a random one on.
func (p *Picker) scan(now time.Time, avoid []string) *Endpoint {
	if len(p.list) == 0 {
		return nil
	}
	var best *Endpoint
	first := p.rng.IntN(len(p.list))
	for i := range p.list {
		e := p.list[(first+i)%len(p.list)]
		if !e.ready(now) || slices.Contains(avoid, e.ID) {
			continue
		}
		if best == nil {
			best = e
			continue
		}
		best = p.better(now, best, e)
	}
	return best
}

// better returns the one with the smaller load.
func (p *Picker) better(now time.Time, a, b *Endpoint) *Endpoint {
	if b.load(now) < a.load(now) {
		return b
	}
	return a
}

// AttemptResult is how an attempt at an endpoint ended.
type AttemptResult uint8

const (
	// AttemptAnswered is a whole answer.
	AttemptAnswered AttemptResult = iota + 1
	// AttemptFailed is an error, a timeout or a cut connection.
	AttemptFailed
	// AttemptRefused is a refusal that tells nothing of the endpoint's health.
	AttemptRefused
)

// Done ends a request that Pick counted. Expected is the time that requests of its
// class take on average over all endpoints.
func (p *Picker) Done(now time.Time, id string, took, expected time.Duration, result AttemptResult) {
	e := p.byID[id]
	if e == nil {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	ratio := 1.0
	if expected > 0 {
		ratio = float64(took) / float64(expected)
	}
	switch result {
	case AttemptAnswered:
		e.Breaker.RecordSuccess()
		e.observe(now, ratio)
	case AttemptFailed:
		e.Breaker.RecordFailure(now)
		e.observe(now, max(ratio, e.slowness))
	default:
		e.Breaker.AbandonProbe()
	}
	p.judge(e)
}

// AddUnresolved counts a request whose end is not known, as after an attempt that was given up,
// and Unhold takes it off. The endpoint may still be running it: without the count it
// would look free, be chosen first and refuse.
func (p *Picker) AddUnresolved(id string) {
	if e := p.byID[id]; e != nil {
		e.inFlight++
	}
}

// RemoveUnresolved ends a Hold.
func (p *Picker) RemoveUnresolved(id string) {
	if e := p.byID[id]; e != nil {
		e.inFlight = max(e.inFlight-1, 0)
	}
}

// judge decides whether an endpoint counts as slow.
func (p *Picker) judge(e *Endpoint) {
	switch {
	case e.slow && e.slowness < fastLimit:
		p.setSlow(e, false)
	case !e.slow && e.slowness > slowLimit && (p.slow+1)*slowShare <= max(len(p.list), slowShare):
		p.setSlow(e, len(p.list) > 1)
	}
}

// setSlow keeps the count of slow endpoints.
func (p *Picker) setSlow(e *Endpoint, slow bool) {
	if e.slow == slow {
		return
	}
	e.slow = slow
	if slow {
		p.slow++
	} else {
		p.slow--
	}
}
