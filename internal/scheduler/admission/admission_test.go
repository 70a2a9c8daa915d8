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

// newTrainedController returns a controller whose service time estimate is 20 ms.
func newTrainedController(slots int) *Controller {
	c := NewController()
	c.SetSlots(slots)
	for range 100 {
		c.ServiceTime("lookup").Record(20 * time.Millisecond)
	}
	return c
}

func TestAdmitRunsThenQueuesThenRefuses(t *testing.T) {
	c := newTrainedController(2)
	counts := make(map[Verdict]int)
	for i := range 100 {
		d := c.Admit(start, request(fmt.Sprint(i), 200))
		counts[d.Verdict]++
		if d.Verdict == Refuse && d.RetryAfter < 100*time.Millisecond {
			t.Errorf("retry after %v", d.RetryAfter)
		}
	}
	// 90% of 200 ms may be used: 20 ms of service time and 10 ms for each earlier request.
	if counts[Run] != 2 || counts[Wait] < 14 || counts[Wait] > 16 {
		t.Errorf("%d requests run and %d wait", counts[Run], counts[Wait])
	}
}

func TestNextFollowsDeadlineOrder(t *testing.T) {
	c := newTrainedController(1)
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

func TestDropsRequestsThatMissDeadline(t *testing.T) {
	c := newTrainedController(1)
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
		t.Fatal("Next returned a request that can't meet its deadline")
	}
	if c.NumWaiting() != 0 || len(c.TakeDropped(at(195))) != 1 {
		t.Fatal("the expired request was not reported as dropped")
	}
}

func TestNextOmitsRemovedRequest(t *testing.T) {
	c := newTrainedController(1)
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

// TestEstimateRecoversAfterSlowPeriod checks that a class is not refused forever after its
// service time estimate has exceeded its target.
func TestEstimateRecoversAfterSlowPeriod(t *testing.T) {
	c := newTrainedController(4)
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
		t.Errorf("mean %v, want it back below the target of 200ms", got)
	}
}

// BenchmarkAdmit measures the admission, start and end of a request while many others
// wait.
func BenchmarkAdmit(b *testing.B) {
	for _, waiting := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := newTrainedController(waiting)
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

// TestShortPeakIsNotRefused checks that no request of a short peak above capacity is
// refused if its target leaves time to wait, and that a lasting overload is cut back to a
// small backlog.
func TestShortPeakIsNotRefused(t *testing.T) {
	c := newTrainedController(2)
	admit := func(from, to, every int) (refused int) {
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
	if n := admit(0, 4000, 10) + admit(4000, 4040, 4); n > 0 {
		t.Errorf("refused %d requests in a short peak", n)
	}
	admit(4040, 8000, 4)
	if backlog := c.backlog(); backlog > 100*time.Millisecond {
		t.Errorf("backlog %v under lasting overload, want at most 100ms", backlog)
	}
}

// TestSuddenOverloadKeepsBacklogBounded checks that the backlog stays below half of the
// target even before the usual rates show the overload.
func TestSuddenOverloadKeepsBacklogBounded(t *testing.T) {
	const limit = 500 * time.Millisecond
	c := newTrainedController(2)
	var maxBacklog time.Duration
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
		maxBacklog = max(maxBacklog, c.backlog())
	}
	// Shares are recomputed only once per fairRefreshInterval, in which the slots run that
	// much work; the backlog may exceed the limit by a part of it.
	if maxBacklog > limit+fairRefreshInterval/2 {
		t.Errorf("the backlog reached %v", maxBacklog)
	}
}
