package health

import "time"

const (
	// riseWeightShift and fallWeightShift give the weight of a new sample in the
	// slowness as 1/2^shift. Samples above the average weigh more, so that an endpoint
	// that becomes slow is avoided quickly (after the peak-sensitive average of
	// Finagle's load balancer).
	riseWeightShift = 2
	fallWeightShift = 3
	// slowThreshold is the slowness above which an endpoint is limited to one request
	// at a time. Below recoveredThreshold it gets all its slots again.
	slowThreshold      = 4.0
	recoveredThreshold = 2.0
	// slownessHalfTime is the time without requests after which the part of an
	// endpoint's slowness above 1 is halved, so that the endpoint is tried again.
	slownessHalfTime = 10 * time.Second
)

// Endpoint is the state that an entry maintains for the endpoint of one worker.
type Endpoint struct {
	ID string
	// Slots is the number of requests that the endpoint can run concurrently.
	Slots int
	// Usable is false while no request may be sent to the endpoint.
	Usable  bool
	Breaker Breaker

	inFlight int
	// slowness is the moving average of the ratio of a request's time at this endpoint
	// to the average of its class over all endpoints.
	slowness   float64
	slow       bool
	lastSample time.Time
}

// InFlight returns the number of requests in flight.
func (e *Endpoint) InFlight() int { return e.inFlight }

// Slow reports whether the endpoint is limited to one request at a time because it
// takes several times as long as others.
func (e *Endpoint) Slow() bool { return e.slow }

// maxInFlight returns the number of requests that may be in flight.
func (e *Endpoint) maxInFlight() int {
	if e.slow {
		return min(e.Slots, 1)
	}
	return e.Slots
}

// ready reports whether a request may be sent now.
func (e *Endpoint) ready(now time.Time) bool {
	return e.Usable && e.inFlight < e.maxInFlight() && e.Breaker.WouldAllow(now)
}

// recordSlowness adds a sample to the slowness.
func (e *Endpoint) recordSlowness(now time.Time, ratio float64) {
	e.lastSample = now
	shift := fallWeightShift
	if ratio > e.slowness {
		shift = riseWeightShift
	}
	e.slowness += (ratio - e.slowness) / float64(int(1)<<shift)
}

// load returns the expected time to answer one more request, relative to that of an
// idle endpoint of average speed.
func (e *Endpoint) load(now time.Time) float64 {
	slowness := e.slowness
	if slowness > 1 {
		idle := now.Sub(e.lastSample).Seconds() / slownessHalfTime.Seconds()
		slowness = 1 + (slowness-1)/(1+idle)
	}
	return slowness * float64(e.inFlight+1)
}
