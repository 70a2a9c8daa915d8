package advisorqueue

import "time"

// wayTime estimates the time that a call spends outside the advisor: on the network, at the entry, and until the
// controller has processed the answer.
type wayTime struct{ estimate time.Duration }

const (
	// assumedWay is the estimate before the first answer.
	assumedWay = 20 * time.Millisecond
	// wayWeight is the part of the difference by which an answer moves the estimate.
	wayWeight = 0.2
	// maxWay bounds the estimate, so that an entry that was slow once is used again.
	maxWay = 500 * time.Millisecond
)

func newWayTime() wayTime { return wayTime{estimate: assumedWay} }

func (w *wayTime) add(observed time.Duration) {
	observed = min(max(observed, 0), maxWay)
	w.estimate += time.Duration(wayWeight * float64(observed-w.estimate))
}

func (w *wayTime) total() time.Duration { return w.estimate }

// there and back are the parts of the way before and after the advisor's work.
func (w *wayTime) there() time.Duration { return w.estimate / 2 }
func (w *wayTime) back() time.Duration  { return w.estimate - w.estimate/2 }
