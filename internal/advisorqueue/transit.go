package advisorqueue

import "time"

// transitTime estimates the time that a call spends outside the advisor: on the network, at the entry, and until the
// controller has processed the answer.
type transitTime struct{ estimate time.Duration }

const (
	// assumedTransit is the estimate before the first answer.
	assumedTransit = 20 * time.Millisecond
	// transitWeight is the part of the difference by which an answer moves the estimate.
	transitWeight = 0.2
	// maxTransit bounds the estimate, so that an entry that was slow once is used again.
	maxTransit = 500 * time.Millisecond
)

func newTransitTime() transitTime { return transitTime{estimate: assumedTransit} }

func (t *transitTime) add(observed time.Duration) {
	observed = min(max(observed, 0), maxTransit)
	t.estimate += time.Duration(transitWeight * float64(observed-t.estimate))
}

func (t *transitTime) total() time.Duration { return t.estimate }

// toAdvisor and fromAdvisor are the parts of the transit time before and after the advisor's work.
func (t *transitTime) toAdvisor() time.Duration   { return t.estimate / 2 }
func (t *transitTime) fromAdvisor() time.Duration { return t.estimate - t.estimate/2 }
