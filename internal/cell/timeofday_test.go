package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/timeofday"
)

// awaitTimeOfDay waits until a node knows that the time of day is ahead of its clock by about a time.
func (c *testCell) awaitTimeOfDay(n *testNode, want time.Duration) {
	c.t.Helper()
	var got time.Duration
	known := false
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got, known = n.clock.timeOfDay(); known && (got-want).Abs() < timeofday.MaxDifference {
			return
		}
	}
	c.t.Fatalf("%s takes the time of day to be %v ahead of its clock (known: %v), want %v", n.opts.Self.Node, got, known, want)
}

// termTimeOfDay returns whether recurring jobs wait for the time of day, and by how much it is ahead of the
// controller's clock.
func (c *testCell) termTimeOfDay(leader *testNode) (awaits bool, ahead time.Duration) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	l := leader.term.Load()
	_, err := callControl(ctx, l, func(time.Time) bool {
		awaits, ahead = l.awaitsTimeOfDay, l.timeOfDayAhead
		return true
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return awaits, ahead
}

// TestWrongClockIsOutvoted guards against scheduled times that count by the clock of a controller whose machine's time of
// day is off (ORDER), and against one that a single wrong clock of another member changes.
func TestWrongClockIsOutvoted(t *testing.T) {
	for _, off := range []time.Duration{150 * time.Second, -time.Hour} {
		for leaderIsOff := range 2 {
			t.Run(fmt.Sprint(off, " leader ", leaderIsOff == 1), func(t *testing.T) {
				c := newEmptyTestCell(t)
				if leaderIsOff == 1 {
					c.clockAhead = off
				}
				leader := c.addNode("node-0")
				c.awaitLeader(10 * time.Second)
				c.clockAhead = 0
				for i := 1; i < 4; i++ {
					c.addNode(fmt.Sprintf("node-%d", i))
				}
				wrong := leader
				if leaderIsOff == 0 {
					c.clockAhead = off
					wrong = c.addNode("node-4")
				}
				c.awaitTimeOfDay(wrong, -off)
				for _, n := range c.nodes {
					if n != wrong {
						c.awaitTimeOfDay(n, 0)
					}
				}
				for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
					lines := leader.events.ofType(event.ClockOff)
					if len(lines) > 0 && lines[0].Member == wrong.opts.Self.Node && lines[0].State == clockWrong {
						break
					}
					if time.Now().After(end) {
						t.Fatalf("the wrong clock was not recorded: %+v", lines)
					}
				}
			})
		}
	}
}

// TestSuccessorInheritsTheTimeOfDay guards against a controller that goes by its own wrong clock until it has heard the
// others, although its predecessor has told it the time of day.
func TestSuccessorInheritsTheTimeOfDay(t *testing.T) {
	c := newEmptyTestCell(t)
	for i := range 2 {
		c.addNode(fmt.Sprintf("node-%d", i))
	}
	leader := c.awaitLeader(10 * time.Second)
	c.clockAhead = time.Hour
	wrong := c.addNode("node-2")
	c.awaitTimeOfDay(wrong, -time.Hour)
	c.otherThan(leader).kill()
	leader.kill()
	if next := c.awaitLeader(20 * time.Second); next != wrong {
		t.Fatalf("%s is the controller", next.opts.Self.Node)
	}
	if awaits, ahead := c.termTimeOfDay(wrong); awaits || (ahead+time.Hour).Abs() > timeofday.MaxDifference {
		t.Errorf("waits for the time of day: %v; it is %v ahead, want -1h", awaits, ahead)
	}
}

// TestLateAnswersTellNoTime guards against a clock that counts as wrong because answers are late.
func TestLateAnswersTellNoTime(t *testing.T) {
	var m memberClock
	now := time.UnixMilli(1_000_000)
	answer := func(boot string, sent, received, remote time.Time, ahead *int64) {
		resp := &cellv1.HelloResponse{From: &cellv1.Member{Boot: boot}, TimeMs: remote.UnixMilli(), TimeOfDayAheadMs: ahead}
		m.recordLeaderClock(resp, sent, received)
	}
	zero := int64(0)
	answer("a", now, now.Add(2*time.Second), now.Add(2*time.Second), &zero)
	if _, known := m.timeOfDay(); known {
		t.Error("an answer after 2 s tells the time of day")
	}
	answer("a", now.Add(2*time.Second), now.Add(2004*time.Millisecond), now.Add(2002*time.Millisecond), &zero)
	answer("a", now.Add(3*time.Second), now.Add(5*time.Second), now.Add(5*time.Second), &zero)
	if ahead, known := m.timeOfDay(); !known || ahead.Abs() > 10*time.Millisecond {
		t.Errorf("the time of day is %v ahead (known: %v) after a late answer", ahead, known)
	}
	if m.difference("b") != nil {
		t.Error("the reading of another process's clock is reported")
	}
	answer("b", now.Add(6*time.Second), now.Add(6004*time.Millisecond), now.Add(-time.Hour), nil)
	if got := m.difference("b"); got == nil || (time.Duration(got.AheadMs)*time.Millisecond-time.Hour-6*time.Second).Abs() > 10*time.Millisecond {
		t.Errorf("the reported difference is %v", got)
	}
}

// TestAnswerOfAnEarlierProgramTellsNoTime guards against an absent clock that is taken for the year 1970.
func TestAnswerOfAnEarlierProgramTellsNoTime(t *testing.T) {
	var m memberClock
	now := time.Now()
	m.recordLeaderClock(&cellv1.HelloResponse{From: &cellv1.Member{Boot: "a"}}, now, now)
	if _, known := m.timeOfDay(); known || m.difference("a") != nil {
		t.Error("an answer without a clock tells the time")
	}
}
