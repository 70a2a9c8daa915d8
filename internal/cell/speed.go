package cell

import (
	"hash/fnv"
	"sync"
	"time"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/event"
)

// speedMonitor measures how fast this machine runs by timing a fixed piece of work. A slow
// machine hands over leadership if it is the controller, and delays its claims otherwise.
type speedMonitor struct {
	// sample takes one sample, nil for timeSample.
	sample func() time.Duration

	mu     sync.Mutex
	buf    [speedSampleBytes]byte
	best   time.Duration
	recent [speedSampleCount]time.Duration
	count  int
}

const (
	// speedSampleBytes is the amount of work of one sample, which takes some tens of
	// microseconds.
	speedSampleBytes = 32 << 10
	// speedSampleCount is the number of recent samples of which the fastest is used, so that a
	// sample that was interrupted by another thread has no effect.
	speedSampleCount  = 3
	speedSamplePeriod = 150 * time.Millisecond
	// slowFactor is the multiple of the best time above which the machine is considered slow.
	slowFactor = 3
	// minHandOverInterval is the minimum time between two hand-overs to a better suited
	// member, and between the start of a term and its first hand-over.
	minHandOverInterval = 3 * time.Second
	// maxCoresDeficit is the coresDeficit above which a controller hands over.
	maxCoresDeficit = 0.4
)

// measure takes one sample.
func (m *speedMonitor) measure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sample != nil {
		m.add(m.sample())
		return
	}
	m.add(m.timeSample())
}

// timeSample times the fixed piece of work.
func (m *speedMonitor) timeSample() time.Duration {
	began := time.Now()
	h := fnv.New64a()
	_, _ = h.Write(m.buf[:])
	m.buf[0] = byte(h.Sum64())
	return time.Since(began)
}

// add records a sample.
func (m *speedMonitor) add(took time.Duration) {
	m.recent[m.count%speedSampleCount] = took
	m.count++
	if m.best == 0 || took < m.best {
		m.best = took
	}
}

// isSlow reports whether all of the last speedSampleCount samples took more than slowFactor
// times as long as the best one.
func (m *speedMonitor) isSlow() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count < speedSampleCount || m.best <= 0 {
		return false
	}
	fastest := m.recent[0]
	for _, d := range m.recent {
		fastest = min(fastest, d)
	}
	return float64(fastest) > slowFactor*float64(m.best)
}

// monitorSpeed measures this machine's speed, and hands over leadership when another member is
// better suited to be the controller, or when the controller needs a new epoch.
func (n *Node) monitorSpeed() {
	var lastHandOver time.Time
	for n.sleep(speedSamplePeriod) {
		n.speed.measure()
		l := n.term.Load()
		if l == nil || !l.ready.Load() {
			lastHandOver = clock.Now()
			continue
		}
		now := clock.Now()
		reason := n.handOverReason(l, now)
		if reason == "" || now.Sub(lastHandOver) < minHandOverInterval {
			continue
		}
		lastHandOver = now
		n.record(event.Event{Type: event.LeaderHandover, Member: n.self.Boot, Epoch: l.epoch, Detail: reason})
		l.handOver()
	}
}

// handOverReason returns why a term should not go on: the controller needs a new epoch, or another
// member is better suited. It returns an empty string if the term should go on.
func (n *Node) handOverReason(l *leaderTerm, now time.Time) string {
	since := now.Add(-n.memberFreshness())
	switch {
	case l.needsNewEpoch.Load():
		return "the fencing tokens of the epoch are used up"
	case n.speed.isSlow() && n.view.fastMemberCount(since) > 0:
		return "this machine runs below its usual speed"
	case n.coresDeficit(since) > maxCoresDeficit:
		return "another member has far more processor time"
	default:
		return ""
	}
}
