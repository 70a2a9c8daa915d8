package admission

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func request(id string, dueMs int) Request {
	return Request{ID: id, Class: "lookup", Deadline: at(dueMs), Target: 200 * time.Millisecond}
}

// trained returns a controller that has seen requests of 20 ms.
func trained(slots int) *Controller {
	c := NewController()
	c.SetSlots(slots)
	for range 100 {
		c.ServiceTime("lookup").Record(20 * time.Millisecond)
	}
	return c
}

func TestRunsWaitsThenRefusesEarly(t *testing.T) {
	c := trained(2)
	counts := make(map[Verdict]int)
	for i := range 100 {
		d := c.Admit(start, request(fmt.Sprint(i), 200))
		counts[d.Verdict]++
		if d.Verdict == Refuse && d.RetryAfter < 100*time.Millisecond {
			t.Errorf("retry after %v", d.RetryAfter)
		}
	}
	// 180 ms may be filled: 20 ms of its own and 10 ms for each one before it.
	if counts[Run] != 2 || counts[Wait] < 14 || counts[Wait] > 16 {
		t.Errorf("ran %d and kept %d waiting", counts[Run], counts[Wait])
	}
}

func TestLineIsInOrderOfDeadlines(t *testing.T) {
	c := trained(1)
	c.Admit(start, request("first", 200))
	for _, due := range []int{190, 120, 150} {
		c.Admit(start, Request{ID: fmt.Sprint(due), Class: fmt.Sprint("c", due%100), Deadline: at(due)})
	}
	for _, want := range []string{"120", "150", "190"} {
		c.Done(at(20), "lookup", 20*time.Millisecond)
		r, ok := c.Next(at(20))
		if !ok || r.ID != want {
			t.Fatalf("next %q, want %s", r.ID, want)
		}
	}
}

func TestDropsWhatCannotBeAnsweredInTime(t *testing.T) {
	c := trained(1)
	c.Admit(start, request("a", 200))
	c.Admit(start, request("b", 100))
	c.Admit(start, request("c", 200))
	c.DropExpired(at(90))
	dropped := c.TakeDropped(at(90))
	if len(dropped) != 1 || dropped[0].ID != "b" || dropped[0].RetryAfter == 0 {
		t.Fatalf("dropped %+v", dropped)
	}
	c.Done(at(195), "lookup", 0)
	if _, ok := c.Next(at(195)); ok {
		t.Fatal("started a request that can't meet its deadline")
	}
	if c.NumWaiting() != 0 || len(c.TakeDropped(at(195))) != 1 {
		t.Fatal("the late request is not reported as dropped")
	}
}

func TestRemovedRequestNeverComesBack(t *testing.T) {
	c := trained(1)
	c.Admit(start, request("a", 200))
	c.Admit(start, request("b", 200))
	if !c.Remove("b") || c.Remove("b") || c.NumWaiting() != 0 {
		t.Fatal("Remove")
	}
	c.Done(at(20), "lookup", 20*time.Millisecond)
	if r, ok := c.Next(at(20)); ok {
		t.Fatalf("got %q", r.ID)
	}
}

// TestRecoversFromASlowPeriod checks that an estimate above the target does not shut
// a class out for ever.
func TestRecoversFromASlowPeriod(t *testing.T) {
	c := trained(4)
	for range 300 {
		c.ServiceTime("lookup").Record(2 * time.Second)
	}
	for i := range 200 {
		now := at(i * 100)
		r := request(fmt.Sprint(i), i*100+200)
		if c.Admit(now, r).Verdict == Run {
			c.Done(now.Add(20*time.Millisecond), "lookup", 20*time.Millisecond)
		}
	}
	if got := c.ServiceTime("lookup").Mean(); got > 200*time.Millisecond {
		t.Errorf("mean still %v", got)
	}
}

// BenchmarkOffer measures an offer and its end with a full line of waiting requests.
func BenchmarkOffer(b *testing.B) {
	for _, waiting := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := trained(waiting)
			for i := range 2 * waiting {
				c.Admit(start, request(fmt.Sprint("w", i), 100_000+i))
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Admit(start, request("x", 90_000))
				c.Done(start, "lookup", 20*time.Millisecond)
				if r, ok := c.Next(start); !ok || r.ID != "x" {
					b.Fatalf("next %q", r.ID)
				}
			}
		})
	}
}

// TestChancePeakIsNotRefused checks that a short peak above capacity waits if its
// target leaves room, and that a lasting one is cut back to a short line.
func TestChancePeakIsNotRefused(t *testing.T) {
	c := trained(2)
	offer := func(from, to, every int) (refused int) {
		for ms := from; ms < to; ms += every {
			for c.NumRunning() > 0 && ms%20 == 0 {
				c.Done(at(ms), "lookup", 20*time.Millisecond)
			}
			for {
				if _, ok := c.Next(at(ms)); !ok {
					break
				}
			}
			if c.Admit(at(ms), request(fmt.Sprint(ms), ms+200)).Verdict == Refuse {
				refused++
			}
		}
		return refused
	}
	if n := offer(0, 4000, 10) + offer(4000, 4040, 4); n > 0 {
		t.Errorf("refused %d in a short peak", n)
	}
	offer(4040, 8000, 4)
	if backlog := c.backlog(); backlog > 100*time.Millisecond {
		t.Errorf("the line takes %v under lasting overload", backlog)
	}
}

// TestSuddenFloodDoesNotFillTheLine checks that the line is bounded by half of the target
// also before the usual rates show the flood.
func TestSuddenFloodDoesNotFillTheLine(t *testing.T) {
	const limit = 500 * time.Millisecond
	c := trained(2)
	var most time.Duration
	for ms := 0; ms < 1000; ms += 4 {
		for c.NumRunning() > 0 && ms%20 == 0 {
			c.Done(at(ms), "lookup", 20*time.Millisecond)
		}
		for {
			if _, ok := c.Next(at(ms)); !ok {
				break
			}
		}
		c.Admit(at(ms), Request{ID: fmt.Sprint(ms), Class: "lookup", Deadline: at(ms + 1000), Target: time.Second})
		most = max(most, c.backlog())
	}
	// The parts are worked out anew each fairPeriod, in which the slots do as much work.
	if most > limit+fairPeriod/2 {
		t.Errorf("the line took %v", most)
	}
}
