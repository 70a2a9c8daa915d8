package load

import (
	"math/rand/v2"
	"time"

	"dotterelhitch/internal/structs"
)

// arrival is one piece of work that is to be sent at a time after the start.
type arrival struct {
	number int
	after  time.Duration
	// target is the index of the entry to which it goes first.
	target int
	// salt makes the body differ from every other.
	salt uint64
}

// newSource returns the random source of a stream: a function of the seed and
// the stream's position alone.
func newSource(seed uint64, stream int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(stream)+1))
}

// schedule draws all arrivals of a window in order.
func schedule(w Window, targets int, src *rand.Rand) []arrival {
	var out []arrival
	add := func(after time.Duration) {
		out = append(out, arrival{
			number: len(out),
			after:  after,
			target: src.IntN(targets),
			salt:   src.Uint64(),
		})
	}
	if w.Arrivals == AtOnce {
		for range w.Count {
			add(w.From.AsDuration())
		}
		return out
	}
	at := w.From.AsDuration() + gap(w, src)
	for at < w.Until.AsDuration() && len(out) < maxArrivals {
		add(at)
		at += gap(w, src)
	}
	return out
}

// faultStream is the first stream position of random faults, past those of work.
const faultStream = 1 << 32

// faultSteps returns the scripted and the random faults.
func (e *Experiment) faultSteps() []FaultStep {
	steps := append([]FaultStep(nil), e.Faults...)
	for i, f := range e.RandomFaults {
		w := Window{Arrivals: Poisson, Rate: f.Rate, Until: e.Duration}
		for _, a := range schedule(w, 1, newSource(e.Seed, faultStream+i)) {
			begin := structs.Duration(a.after)
			steps = append(steps, FaultStep{At: begin, URL: f.URL, Body: f.BeginBody})
			if f.EndBody != "" {
				steps = append(steps, FaultStep{At: begin + f.Duration, URL: f.URL, Body: f.EndBody})
			}
		}
	}
	return steps
}

// gap draws the time to the next arrival.
func gap(w Window, src *rand.Rand) time.Duration {
	mean := float64(time.Second) / w.Rate
	if w.Arrivals == Uniform {
		return time.Duration(mean)
	}
	return time.Duration(src.ExpFloat64() * mean)
}
