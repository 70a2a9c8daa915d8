package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fairPeriod is how often the classes' parts of the slots are worked out anew.
	fairPeriod = 100 * time.Millisecond
	// minDealt is the least part of the slots that is dealt out while the line is
	// worked off to its limit.
	minDealt = 0.5
	// recentWindow is the time constant of the rates that parts go by, if they are
	// above the usual ones: a flood that begins at once must not fill the line first.
	recentWindow = 200 * time.Millisecond
	// crowdedShare is the part of the shortest target that the line may fill before
	// parts are enforced while no more is asked for than the slots can do.
	crowdedShare = 0.5
)

// fairness deals the slots out to classes under overload by max-min fairness of
// work: a class that asks for less than an even part gets all it asks for, the
// others share the rest. So a flood of one class takes nothing from a modest one,
// and no class with a long target crowds out one with a short target. Parts are
// enforced only while the line is crowded: the rates that they come from vary by
// chance, so that at a load just below capacity they would refuse what there is time
// for.
type fairness struct {
	last time.Time
	// limit is the time to work off the line above which it is crowded.
	limit time.Duration
}

// dealt is the part of the slots that is dealt out: all at the limit of a crowded
// line, less above it, so that the line gets shorter. No slot idles meanwhile.
func (f *fairness) dealt(backlog time.Duration) float64 {
	if backlog <= f.limit {
		return 1
	}
	return max(float64(f.limit)/float64(backlog), minDealt)
}

// demand counts the work that a request of the line asks for, in slots.
func (l *line) demand(now time.Time) {
	l.asked.Add(now, 1)
	l.recent.Add(now, 1)
}

// refresh works out the share of its requests that each class may have admitted, with
// the time that the line takes to work off.
func (f *fairness) refresh(now time.Time, lines []*line, slots int, backlog time.Duration) {
	if now.Sub(f.last) < fairPeriod {
		return
	}
	f.last = now
	order := slices.Clone(lines)
	for _, l := range order {
		l.work = l.asked.PerSecond(now) * l.service.Mean().Seconds()
		l.sudden = max(l.work, l.recent.PerSecond(now)*l.service.Mean().Seconds())
	}
	f.limit = crowdedLimit(lines, slots)
	slices.SortStableFunc(order, func(a, b *line) int { return cmp.Compare(a.sudden, b.sudden) })
	left := float64(slots) * f.dealt(backlog)
	for i, l := range order {
		part := min(l.sudden, left/float64(len(order)-i))
		left -= part
		l.admit = 1
		if l.sudden > 0 {
			l.admit = part / l.sudden
		}
	}
}

// crowdedLimit is a part of the shortest target of the classes that ask for work.
// It falls with the square of the overload: a line is refilled at once then, and a
// longer one would add to the waits but not to the rate of answers.
func crowdedLimit(lines []*line, slots int) time.Duration {
	var shortest time.Duration
	asked := 0.0
	for _, l := range lines {
		asked += l.work
		if l.work > 0 && (shortest == 0 || l.within < shortest) {
			shortest = l.within
		}
	}
	overload := max(asked/float64(max(slots, 1)), 1)
	return time.Duration(crowdedShare * float64(shortest) / (overload * overload))
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
