package cell

import (
	"sync"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/timeofday"
)

const (
	// clockReadingRetention is how long the most exact reading of the controller's clock counts.
	clockReadingRetention = 10 * time.Second
	// timeOfDayPeriod is the period at which the controller compares the clocks.
	timeOfDayPeriod = 250 * time.Millisecond
	// timeOfDayWait is how long a controller that does not know the time of day waits for the other members'
	// clocks before it goes by its own.
	timeOfDayWait = time.Second
)

// memberClock is what this member knows of its clock.
type memberClock struct {
	// read returns what this member's clock shows, clock.Now if it is nil.
	read func() time.Time

	mu sync.Mutex
	// leaderBoot is the controller's process whose clock was read last, reading how far this member's clock is
	// ahead of it, readAt when it was read.
	leaderBoot string
	reading    timeofday.Reading
	readAt     time.Time
	// ahead is how far the cell's time of day is ahead of this member's clock.
	ahead time.Duration
	known bool
}

// now returns what this member's clock shows.
func (m *memberClock) now() time.Time {
	if m.read != nil {
		return m.read()
	}
	return clock.Now()
}

// recordLeaderClock records the clock in a controller's answer, which came now, to a call that was sent at sent, both by
// this member's clock.
func (m *memberClock) recordLeaderClock(resp *cellv1.HelloResponse, sent, now time.Time) {
	if resp.TimeMs == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	reading := timeofday.Measure(sent, now, time.UnixMilli(resp.TimeMs))
	boot := resp.From.GetBoot()
	if boot != m.leaderBoot || reading.MaxError <= m.reading.MaxError || now.Sub(m.readAt) > clockReadingRetention {
		m.leaderBoot, m.reading, m.readAt = boot, reading, now
	}
	if resp.TimeOfDayAheadMs != nil && m.reading.Usable() {
		m.ahead = time.Duration(*resp.TimeOfDayAheadMs)*time.Millisecond - m.reading.Ahead
		m.known = true
	}
}

// difference returns the reading of the clock of the controller with a boot for a heartbeat, nil if there is
// none.
func (m *memberClock) difference(leaderBoot string) *cellv1.ClockDifference {
	m.mu.Lock()
	defer m.mu.Unlock()
	if leaderBoot == "" || leaderBoot != m.leaderBoot {
		return nil
	}
	return &cellv1.ClockDifference{AheadMs: m.reading.Ahead.Milliseconds(), MaxErrorMs: m.reading.MaxError.Milliseconds() + 1}
}

// setTimeOfDay sets how far the cell's time of day is ahead of this member's clock.
func (m *memberClock) setTimeOfDay(ahead time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ahead, m.known = ahead, true
}

// timeOfDay returns how far the cell's time of day is ahead of this member's clock, false if that is not
// known.
func (m *memberClock) timeOfDay() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ahead, m.known
}

// correction returns what is to be added to this member's clock, zero if its difference from the cell's time of day is
// small.
func (m *memberClock) correction() (time.Duration, bool) {
	ahead, known := m.timeOfDay()
	if ahead.Abs() <= timeofday.MaxDifference {
		ahead = 0
	}
	return ahead, known
}

// offsetSeconds returns how far this member's clock is ahead of the cell's time of day for a metric, zero if
// that is not known.
func (m *memberClock) offsetSeconds() float64 {
	ahead, _ := m.timeOfDay()
	return -ahead.Seconds()
}

// reportedClock is a member's clock as its heartbeats report it to the controller.
type reportedClock struct {
	boot  string
	ahead time.Duration // of the controller's clock
}

// recordClock records the clock that a member's heartbeat of an epoch reports. The clock of an earlier process on
// its machine does not count, nor does a difference from the clock of another epoch's controller.
func (l *leaderTerm) recordClock(from Member, epoch int64, difference *cellv1.ClockDifference) {
	if l.clocks[from.Node].boot != from.Boot {
		delete(l.clocks, from.Node)
	}
	if difference == nil || epoch != l.epoch {
		return
	}
	reading := timeofday.Reading{
		Ahead:    time.Duration(difference.AheadMs) * time.Millisecond,
		MaxError: time.Duration(difference.MaxErrorMs) * time.Millisecond,
	}
	if reading.Usable() {
		l.clocks[from.Node] = reportedClock{boot: from.Boot, ahead: reading.Ahead}
	}
}

// inheritTimeOfDay has the controller go by the time of day that its predecessor went by. If this member does not know
// it, recurring jobs wait until the members' clocks are compared.
func (l *leaderTerm) inheritTimeOfDay(now time.Time) {
	ahead, known := l.node.clock.correction()
	switch {
	case known:
		l.timeOfDayAhead = ahead
		l.ctl.SetTimeOfDay(ahead, now)
	case l.node.view.knownNodeCount() > 0:
		l.awaitsTimeOfDay = true
		l.ctl.AwaitTimeOfDay()
	}
}

// updateTimeOfDay compares the members' clocks if that is due. The result counts if it rests on more than half of
// the known members. While nothing else is known of the time of day, fewer do after timeOfDayWait.
func (l *leaderTerm) updateTimeOfDay(now time.Time) {
	if now.Before(l.timeOfDayDueAt) {
		return
	}
	l.timeOfDayDueAt = now.Add(timeOfDayPeriod)
	fresh := l.freshMembers(now)
	ahead := l.clockDifferences(fresh)
	known := max(l.node.view.knownNodeCount(), len(fresh)) + 1
	isMajority := 2*len(ahead) > known
	hasWaited := l.awaitsTimeOfDay && now.Sub(l.startedAt) >= timeOfDayWait
	if !isMajority && !hasWaited {
		return
	}
	l.awaitsTimeOfDay = false
	l.timeOfDayAhead = timeofday.Agree(ahead, l.timeOfDayAhead)
	if len(ahead) > 1 {
		l.node.clock.setTimeOfDay(l.timeOfDayAhead)
		l.recordWrongClocks(fresh)
	}
	l.ctl.SetTimeOfDay(l.timeOfDayAhead, now)
}

// clockDifferences returns how far the reported clocks of some members, and this one, are ahead of this one.
func (l *leaderTerm) clockDifferences(nodes []string) []time.Duration {
	ahead := []time.Duration{0}
	for _, node := range nodes {
		if reported, ok := l.clocks[node]; ok {
			ahead = append(ahead, reported.ahead)
		}
	}
	return ahead
}

// The states of event.ClockOff.
const (
	clockWrong = "off"
	clockRight = "right"
)

// recordWrongClocks records which clocks, those of some members and this one, have begun or ceased to differ from the
// cell's time of day.
func (l *leaderTerm) recordWrongClocks(nodes []string) {
	l.recordWrongClock(l.node.self.Node, 0)
	for _, node := range nodes {
		if reported, ok := l.clocks[node]; ok {
			l.recordWrongClock(node, reported.ahead)
		}
	}
}

// recordWrongClock records whether a clock that is ahead of this one's has begun or ceased to differ from the cell's
// time of day.
func (l *leaderTerm) recordWrongClock(node string, ahead time.Duration) {
	difference := ahead - l.timeOfDayAhead
	wrong := difference.Abs() > timeofday.MaxDifference
	if wrong == l.wrongClocks[node] {
		return
	}
	l.wrongClocks[node] = wrong
	state := clockRight
	if wrong {
		state = clockWrong
	}
	l.node.record(event.Event{
		Type: event.ClockOff, Member: node, Epoch: l.epoch, State: state, AgeMs: difference.Milliseconds(),
	})
}

// fillTimeOfDay adds the cell's time of day to the controller's answer to a heartbeat.
func (n *Node) fillTimeOfDay(resp *cellv1.HelloResponse) {
	if ahead, known := n.clock.timeOfDay(); known {
		ms := ahead.Milliseconds()
		resp.TimeOfDayAheadMs = &ms
	}
}
