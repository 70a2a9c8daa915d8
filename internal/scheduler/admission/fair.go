package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fairPeriod is how often the classes' parts of the slots are worked out anew.
	fairPeriod = 100 * time.Millisecond
	// fairPercent is the part of the slots that is dealt out, in percent: a little
	// more than all, so that no slot idles; deadlines trim the rest.
	fairPercent = 105
)

// fairness deals the slots out to classes under overload by max-min fairness of
// work: a class that asks for less than an even part gets all it asks for, the
// others share the rest. So a flood of one class takes nothing from a modest one,
// and no class with a long target crowds out one with a short target.
type fairness struct {
	last time.Time
}

// demand counts the work that a request of the line asks for, in slots.
func (l *line) demand(now time.Time) {
	l.asked.Add(now, 1)
}

// refresh works out the share of its requests that each class may have admitted.
func (f *fairness) refresh(now time.Time, lines []*line, slots int) {
	if now.Sub(f.last) < fairPeriod {
		return
	}
	f.last = now
	order := slices.Clone(lines)
	for _, l := range order {
		l.work = l.asked.PerSecond(now) * l.service.Mean().Seconds()
	}
	slices.SortStableFunc(order, func(a, b *line) int { return cmp.Compare(a.work, b.work) })
	left := float64(slots) * fairPercent / 100
	for i, l := range order {
		part := min(l.work, left/float64(len(order)-i))
		left -= part
		l.admit = 1
		if l.work > 0 {
			l.admit = part / l.work
		}
	}
}

// deal takes the right to admit one request and reports whether there was one. The
// rights of a class come evenly spaced.
func (l *line) deal() bool {
	l.credit = min(l.credit+l.admit, maxCredit)
	if l.credit < 1 {
		return false
	}
	l.credit--
	return true
}

// maxCredit bounds the rights saved up while all are admitted.
const maxCredit = 2
