package health

import "time"

const (
	// latencyShift is the weight of a new sample in the latency as a power of two.
	latencyShift = 3
	// latencyFloor keeps the load of an idle fast endpoint from being zero.
	latencyFloor = 100 * time.Microsecond
	// latencyHalfLife is the time after which an endpoint that gets no request is
	// given half the distance back to the fleet's latency.
	latencyHalfLife = 10 * time.Second
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
	latency  time.Duration
	last     time.Time
}

// InFlight returns the number of requests under way.
func (e *Endpoint) InFlight() int { return e.inFlight }

// Latency returns the moving latency.
func (e *Endpoint) Latency() time.Duration { return e.latency }

// ready reports whether a request could be sent now.
func (e *Endpoint) ready(now time.Time) bool {
	return e.Usable && e.inFlight < e.Slots && e.Breaker.Ready(now)
}

// observe adds a latency sample. Rises count at once and falls slowly (peak EWMA, as
// in Finagle's load balancer), so that an endpoint that turns slow is left quickly.
func (e *Endpoint) observe(now time.Time, took time.Duration) {
	e.last = now
	if took > e.latency {
		e.latency += (took - e.latency) / 2
		return
	}
	e.latency += (took - e.latency) >> latencyShift
}

// load is the expected time to answer one more request, in nanoseconds.
func (e *Endpoint) load(now time.Time, typical time.Duration) float64 {
	latency := e.latency
	if latency == 0 {
		latency = typical
	}
	if latency > typical && typical > 0 {
		idle := min(now.Sub(e.last).Seconds()/latencyHalfLife.Seconds(), maxHalfLives)
		latency = typical + time.Duration(float64(latency-typical)/(1+idle))
	}
	return float64(max(latency, latencyFloor)) * float64(e.inFlight+1)
}

// maxHalfLives bounds the decay of an idle endpoint's latency.
const maxHalfLives = 1e3
