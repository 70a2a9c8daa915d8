package health

import "time"

const (
	// riseShift and fallShift are the weights of a new sample in the slowness as
	// powers of two: rises count more, so that an endpoint that turns slow is left
	// quickly (after the peak-sensitive average of Finagle's load balancer).
	riseShift = 2
	fallShift = 3
	// slowLimit is the slowness above which an endpoint gets one request at a
	// time, fastLimit that below which it gets all its slots again.
	slowLimit = 4.0
	fastLimit = 2.0
	// forgetTime is the time after which an endpoint that gets no request is given
	// half its excess slowness back, so that it is tried again.
	forgetTime = 10 * time.Second
)

// Endpoint is what an entry knows of one worker's endpoint.
type Endpoint struct {
	ID string
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Usable is false while no request may go there.
	Usable  bool
	Breaker Breaker

	inFlight int
	// slowness is the moving ratio of the time taken to the time expected of the
	// class over all endpoints.
	slowness float64
	slow     bool
	last     time.Time
}

// InFlight returns the number of requests under way.
func (e *Endpoint) InFlight() int { return e.inFlight }

// Slow reports whether the endpoint gets one request at a time since it takes several
// times as long as others.
func (e *Endpoint) Slow() bool { return e.slow }

// limit returns the number of requests that may be under way.
func (e *Endpoint) limit() int {
	if e.slow {
		return min(e.Slots, 1)
	}
	return e.Slots
}

// ready reports whether a request could be sent now.
func (e *Endpoint) ready(now time.Time) bool {
	return e.Usable && e.inFlight < e.limit() && e.Breaker.WouldAllow(now)
}

// observe adds a sample.
func (e *Endpoint) observe(now time.Time, ratio float64) {
	e.last = now
	shift := fallShift
	if ratio > e.slowness {
		shift = riseShift
	}
	e.slowness += (ratio - e.slowness) / float64(int(1)<<shift)
}

// load is the expected time to answer one more request relative to an idle endpoint
// of usual speed.
func (e *Endpoint) load(now time.Time) float64 {
	slowness := e.slowness
	if slowness > 1 {
		idle := now.Sub(e.last).Seconds() / forgetTime.Seconds()
		slowness = 1 + (slowness-1)/(1+idle)
	}
	return slowness * float64(e.inFlight+1)
}
