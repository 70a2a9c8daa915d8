package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxDraws is the number of random draws after which all endpoints are examined
	// instead.
	maxDraws = 6
	// maxSlowDivisor bounds the share of endpoints treated as slow to 1/maxSlowDivisor,
	// so that slowness common to all endpoints does not exclude most of them.
	maxSlowDivisor = 4
)

// Picker chooses endpoints for requests by the better of two random choices
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). It
// compares them by slowness times requests in flight. Endpoints that take several times
// as long as expected get one request at a time.
type Picker struct {
	rng       *rand.Rand
	endpoints []*Endpoint
	byID      map[string]*Endpoint
	slowCount int
}

// NewPicker returns a picker without endpoints that uses rng for its choices.
func NewPicker(rng *rand.Rand) *Picker {
	return &Picker{rng: rng, byID: make(map[string]*Endpoint)}
}

// Upsert sets the slots of an endpoint, adds the endpoint if it is new, and returns it.
func (p *Picker) Upsert(id string, slots int) *Endpoint {
	e := p.byID[id]
	if e == nil {
		e = &Endpoint{ID: id, Usable: true, slowness: 1}
		p.byID[id] = e
		p.endpoints = append(p.endpoints, e)
	}
	e.Slots = slots
	return e
}

// Remove removes an endpoint.
func (p *Picker) Remove(id string) {
	e := p.byID[id]
	if e == nil {
		return
	}
	p.setSlow(e, false)
	delete(p.byID, id)
	p.endpoints = slices.DeleteFunc(p.endpoints, func(o *Endpoint) bool { return o == e })
}

// Endpoint returns the endpoint with the given ID, nil if there is none.
func (p *Picker) Endpoint(id string) *Endpoint { return p.byID[id] }

// Slots returns the number of requests that may be in flight over all endpoints.
func (p *Picker) Slots() int {
	slots := 0
	for _, e := range p.endpoints {
		if e.Usable && !e.Breaker.IsOpen() {
			slots += e.maxInFlight()
		}
	}
	return slots
}

// Pick chooses an endpoint with a free slot and counts a request in flight to it. It
// returns nil if there is none. Endpoints in avoid are excluded. The caller reports the
// end of the request by Done.
func (p *Picker) Pick(now time.Time, avoid ...string) *Endpoint {
	best := p.pickRandom(now, avoid)
	if best == nil {
		best = p.scan(now, avoid)
	}
	if best == nil || !best.Breaker.Allow(now) {
		return nil
	}
	best.inFlight++
	return best
}

// pickRandom returns the less loaded of the first two ready endpoints found by random
// draws.
func (p *Picker) pickRandom(now time.Time, avoid []string) *Endpoint {
	var best *Endpoint
	for range maxDraws {
		if len(p.endpoints) == 0 {
			return nil
		}
		e := p.endpoints[p.rng.IntN(len(p.endpoints))]
		if e == best || !e.ready(now) || slices.Contains(avoid, e.ID) {
			continue
		}
		if best != nil {
			return p.lessLoaded(now, best, e)
		}
		best = e
	}
	return best
}

// scan returns the least loaded ready endpoint. It starts at a random endpoint, which
// breaks ties at random.
func (p *Picker) scan(now time.Time, avoid []string) *Endpoint {
	if len(p.endpoints) == 0 {
		return nil
	}
	var best *Endpoint
	first := p.rng.IntN(len(p.endpoints))
	for i := range p.endpoints {
		e := p.endpoints[(first+i)%len(p.endpoints)]
		if !e.ready(now) || slices.Contains(avoid, e.ID) {
			continue
		}
		if best == nil {
			best = e
			continue
		}
		best = p.lessLoaded(now, best, e)
	}
	return best
}

// lessLoaded returns the endpoint with the smaller load.
func (p *Picker) lessLoaded(now time.Time, a, b *Endpoint) *Endpoint {
	if b.load(now) < a.load(now) {
		return b
	}
	return a
}

// AttemptResult is the result of an attempt to send a request to an endpoint.
type AttemptResult uint8

const (
	// AttemptAnswered is a complete answer.
	AttemptAnswered AttemptResult = iota + 1
	// AttemptFailed is an error, a timeout or a broken connection.
	AttemptFailed
	// AttemptRefused is a refusal that says nothing about the endpoint's health.
	AttemptRefused
)

// Done ends a request that Pick counted. took is the time of the attempt, and expected
// the average time of requests of its class over all endpoints.
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
		e.recordSlowness(now, ratio)
	case AttemptFailed:
		e.Breaker.RecordFailure(now)
		e.recordSlowness(now, max(ratio, e.slowness))
	default:
		e.Breaker.AbandonProbe()
	}
	p.updateSlow(e)
}

// AddUnresolved counts a request whose end is unknown, as after an abandoned attempt;
// RemoveUnresolved subtracts it. The endpoint may still be running the request. If it
// were not counted, the endpoint would appear to be free, be preferred and refuse.
func (p *Picker) AddUnresolved(id string) {
	if e := p.byID[id]; e != nil {
		e.inFlight++
	}
}

// RemoveUnresolved undoes AddUnresolved once the end of the request is known.
func (p *Picker) RemoveUnresolved(id string) {
	if e := p.byID[id]; e != nil {
		e.inFlight = max(e.inFlight-1, 0)
	}
}

// updateSlow updates whether an endpoint is treated as slow.
func (p *Picker) updateSlow(e *Endpoint) {
	switch {
	case e.slow && e.slowness < recoveredThreshold:
		p.setSlow(e, false)
	case !e.slow && e.slowness > slowThreshold && (p.slowCount+1)*maxSlowDivisor <= max(len(p.endpoints), maxSlowDivisor):
		p.setSlow(e, len(p.endpoints) > 1)
	}
}

// setSlow sets whether an endpoint is treated as slow and updates the count of those.
func (p *Picker) setSlow(e *Endpoint, slow bool) {
	if e.slow == slow {
		return
	}
	e.slow = slow
	if slow {
		p.slowCount++
	} else {
		p.slowCount--
	}
}
