package cell

import (
	"hash/fnv"
	"sync"
	"time"

	"dotterelhitch/internal/event"
)

// pace measures how fast this machine runs, by the time of a fixed piece of work: a
// machine that runs slow hands the controller's office on and claims it later.
type pace struct {
	mu     sync.Mutex
	buf    [paceBytes]byte
	best   time.Duration
	recent [paceReadings]time.Duration
	n      int
}

const (
	// paceBytes is the size of the work: some tens of microseconds.
	paceBytes = 32 << 10
	// paceReadings is the number of readings of which the fastest counts, so that a
	// reading during which another thread ran does not.
	paceReadings = 3
	// pacePeriod is that of readings.
	pacePeriod = 150 * time.Millisecond
	// slowBy is how many times as long the work must take for the machine to count as
	// slow.
	slowBy = 3
	// handOverPause is the least time between two hand-overs to a fitter member, and
	// between the begin of a term and the first.
	handOverPause = 3 * time.Second
	// muchLess is the share of the strongest member's processor time that a controller
	// may lack.
	muchLess = 0.4
)

// measure takes one reading.
func (p *pace) measure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := time.Now()
	h := fnv.New64a()
	_, _ = h.Write(p.buf[:])
	p.buf[0] = byte(h.Sum64())
	p.add(time.Since(began))
}

// add takes a reading.
func (p *pace) add(took time.Duration) {
	p.recent[p.n%paceReadings] = took
	p.n++
	if p.best == 0 || took < p.best {
		p.best = took
	}
}

// slow reports whether the last readings were all far above the best.
func (p *pace) slow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.n < paceReadings || p.best <= 0 {
		return false
	}
	fastest := p.recent[0]
	for _, d := range p.recent {
		fastest = min(fastest, d)
	}
	return float64(fastest) > slowBy*float64(p.best)
}

// keepPace measures, and hands the office on when another member is fitter for it.
func (n *Node) keepPace() {
	var handed time.Time
	for n.sleep(pacePeriod) {
		n.pace.measure()
		l := n.lead.Load()
		if l == nil || !l.ready.Load() {
			handed = time.Now()
			continue
		}
		now := time.Now()
		why := n.whyUnfit(now)
		if why == "" || now.Sub(handed) < handOverPause {
			continue
		}
		handed = now
		n.record(event.Event{Type: event.LeaderHandover, Member: n.self.Boot, Epoch: l.epoch, Detail: why})
		l.handOver()
	}
}

// whyUnfit returns why another member is fitter as controller, empty if none is.
func (n *Node) whyUnfit(now time.Time) string {
	fresh := now.Add(-membersFresh)
	switch {
	case n.pace.slow() && n.view.fastOthers(fresh) > 0:
		return "this machine runs slow"
	case n.lacks(fresh) > muchLess:
		return "another machine has far more processor time"
	default:
		return ""
	}
}
