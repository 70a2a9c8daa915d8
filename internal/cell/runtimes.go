package cell

import (
	"time"

	"dotterelhitch/internal/runtimes"
)

// runTimesPeriod is the period at which what the controller has learned of run times is published.
const runTimesPeriod = 2 * time.Second

// publishRunTimes publishes what was learned of run times to the other goroutines, and adds metrics for each new class.
// The controller bounds the number of classes.
func (l *leaderTerm) publishRunTimes(now time.Time) {
	if now.Before(l.runTimesDueAt) {
		return
	}
	l.runTimesDueAt = now.Add(runTimesPeriod)
	summaries := l.ctl.LearnedRunTimes()
	out := make(map[string]runtimes.Summary, len(summaries))
	for _, s := range summaries {
		out[s.Class] = s
		l.node.stats.registerRunTimes(s.Class, l.node.learnedRunTimes)
	}
	l.runTimes.Store(&out)
}

// learnedRunTimes returns what this member has learned of a class as the controller; it is zero on other members.
func (n *Node) learnedRunTimes(class string) runtimes.Summary {
	l := n.term.Load()
	if l == nil {
		return runtimes.Summary{}
	}
	published := l.runTimes.Load()
	if published == nil {
		return runtimes.Summary{}
	}
	return (*published)[class]
}

// registerRunTimes adds the metrics of a class if they are missing.
func (s *nodeStats) registerRunTimes(class string, read func(class string) runtimes.Summary) {
	s.registerClassGauge("hitch_cell_run_time_ratio_median", class, func() float64 { return read(class).Median })
	s.registerClassGauge("hitch_cell_run_time_ratio_p90", class, func() float64 { return read(class).P90 })
	s.registerClassGauge("hitch_cell_run_time_samples", class, func() float64 { return float64(read(class).Samples) })
}
