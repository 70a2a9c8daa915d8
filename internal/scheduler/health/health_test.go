package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestRetryBudgetBoundsAStorm(t *testing.T) {
	var b RetryBudget
	retries := 0
	for i := range 1000 { // ten seconds in which every attempt fails
		now := after(time.Duration(i) * 10 * time.Millisecond)
		b.Deposit(now)
		for range 3 {
			if b.TryWithdraw(now) {
				retries++
			}
		}
	}
	if retries < 50 || retries > 120 {
		t.Errorf("%d retries for 1000 requests, want about a tenth and the reserve", retries)
	}
}

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	var b Breaker
	for range breakerFailures {
		if !b.Allow(start) {
			t.Fatal("opened too early")
		}
		b.RecordFailure(start)
	}
	if b.Allow(start) {
		t.Fatal("still closed")
	}
	later := after(breakerLeast)
	if !b.Allow(later) || b.Allow(later) {
		t.Fatal("want a single probe")
	}
	b.RecordFailure(later)
	if b.Allow(later.Add(breakerLeast)) || !b.Allow(later.Add(2*breakerLeast)) {
		t.Fatal("the wait did not double")
	}
	b.RecordSuccess()
	if b.IsOpen() || !b.Allow(later) {
		t.Fatal("a success did not close it")
	}
}

func TestWorkerThatFailsWhatSucceedsElsewhere(t *testing.T) {
	tr := NewTracker()
	tr.SetUsableWorkers(10)
	var changes []StatusChange
	for i := range 4 {
		job := fmt.Sprint("j", i)
		changes = append(changes, tr.RecordFailure(start, job, "bad")...)
		changes = append(changes, tr.RecordSuccess(start, job, "good")...)
	}
	if len(changes) != 1 || changes[0] != (StatusChange{Worker: "bad", Probation: true}) {
		t.Fatalf("changes %+v", changes)
	}
	if len(tr.ProbesDue(start)) != 0 {
		t.Fatal("a probe is due at once")
	}
	now := after(probeLeast)
	if due := tr.ProbesDue(now); len(due) != 1 || due[0] != "bad" {
		t.Fatalf("due %v", due)
	}
	tr.RecordFailure(now, "j0", "bad") // started before the probation
	tr.RecordProbeSent("bad")
	tr.RecordFailure(now, "j0", "bad")
	if len(tr.ProbesDue(now.Add(probeLeast))) != 0 || len(tr.ProbesDue(now.Add(2*probeLeast))) != 1 {
		t.Fatal("the wait did not double")
	}
	tr.RecordProbeSent("bad")
	tr.RecordSuccess(now, "j1", "bad")
	tr.RecordProbeSent("bad")
	if got := tr.RecordSuccess(now, "j2", "bad"); len(got) != 1 || got[0] != (StatusChange{Worker: "bad"}) || tr.OnProbation("bad") {
		t.Fatalf("after two good probes: %+v", got)
	}
}

func TestJobThatFailsEverywhereIsParkedAndBlamesNobody(t *testing.T) {
	tr := NewTracker()
	tr.SetUsableWorkers(10)
	var changes []StatusChange
	for i := range 5 {
		worker := fmt.Sprint("w", i)
		tr.RecordSuccess(start, "fine", worker)
		for range 3 {
			changes = append(changes, tr.RecordFailure(start, "broken", worker)...)
		}
	}
	if len(changes) != 1 || changes[0] != (StatusChange{Job: "broken"}) || !tr.JobParked("broken") {
		t.Fatalf("changes %+v", changes)
	}
}

// TestBadWorkersDoNotParkGoodJobs lets three of twenty workers fail everything fast,
// so that they draw most tasks, and checks that they end on probation and that no
// job is parked.
func TestBadWorkersDoNotParkGoodJobs(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 0))
		tr := NewTracker()
		tr.SetUsableWorkers(20)
		for i := range 2000 {
			job := fmt.Sprint("j", i%40)
			w := rng.IntN(20)
			if rng.IntN(2) == 0 {
				w = rng.IntN(3)
			}
			worker := fmt.Sprint("w", w)
			if tr.OnProbation(worker) {
				continue
			}
			if w < 3 {
				tr.RecordFailure(start, job, worker)
			} else {
				tr.RecordSuccess(start, job, worker)
			}
			if tr.JobParked(job) {
				t.Fatalf("seed %d: %s was parked after %d results", seed, job, i)
			}
		}
		for w := range 20 {
			if got := tr.OnProbation(fmt.Sprint("w", w)); got != (w < 3) {
				t.Errorf("seed %d: w%d on probation: %v", seed, w, got)
			}
		}
	}
}

func TestProbationIsBoundedWhenEverythingFails(t *testing.T) {
	tr := NewTracker()
	tr.SetUsableWorkers(12)
	for i := range 600 {
		tr.RecordFailure(start, fmt.Sprint("j", i%50), fmt.Sprint("w", i%12))
	}
	on := 0
	for w := range 12 {
		if tr.OnProbation(fmt.Sprint("w", w)) {
			on++
		}
	}
	if on != 3 {
		t.Errorf("%d of 12 workers on probation, want the bound of 3", on)
	}
	if got := len(tr.WorkersToAvoid("j0")); got > 6 {
		t.Errorf("a job avoids %d of 12 workers", got)
	}
}

func TestPickerAvoidsSlowAndFailingEndpoints(t *testing.T) {
	p := NewPicker(rand.New(rand.NewPCG(1, 1)))
	for i := range 10 {
		p.Upsert(fmt.Sprint("w", i), 8)
	}
	counts := make(map[string]int)
	now := start
	for i := range 5000 {
		now = after(time.Duration(i) * time.Millisecond)
		e := p.Pick(now)
		counts[e.ID]++
		switch e.ID {
		case "w0":
			p.Done(now, e.ID, 100*time.Millisecond, 10*time.Millisecond, AttemptAnswered)
		case "w1":
			p.Done(now, e.ID, time.Millisecond, 10*time.Millisecond, AttemptFailed)
		default:
			p.Done(now, e.ID, 10*time.Millisecond, 10*time.Millisecond, AttemptAnswered)
		}
	}
	if counts["w0"] > 100 || counts["w1"] > 50 || counts["w2"] < 400 {
		t.Errorf("picks %v", counts)
	}
	for range 3 { // answers that were under way
		p.Done(now, "w0", 100*time.Millisecond, 10*time.Millisecond, AttemptAnswered)
	}
	if !p.Endpoint("w0").Slow() || p.Endpoint("w2").Slow() || p.Slots() != 8*8+1 {
		t.Errorf("w0 slow: %v, %d slots", p.Endpoint("w0").Slow(), p.Slots())
	}
	p.Remove("w2")
	for range 100 {
		if e := p.Pick(now, "w3"); e != nil && (e.ID == "w2" || e.ID == "w3") {
			t.Fatalf("picked %s", e.ID)
		}
	}
}

func TestSlownessOfAllEndpointsShutsNoneOut(t *testing.T) {
	p := NewPicker(rand.New(rand.NewPCG(1, 1)))
	for i := range 8 {
		p.Upsert(fmt.Sprint("w", i), 8)
	}
	for i := range 400 {
		now := after(time.Duration(i) * time.Millisecond)
		if e := p.Pick(now); e != nil {
			p.Done(now, e.ID, time.Second, 10*time.Millisecond, AttemptAnswered)
		}
	}
	if got := p.Slots(); got != 6*8+2 {
		t.Errorf("%d slots, want all but two endpoints in full", got)
	}
}

// BenchmarkPick measures the choice of an endpoint and its end.
func BenchmarkPick(b *testing.B) {
	for _, endpoints := range []int{50, 2000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			p := NewPicker(rand.New(rand.NewPCG(1, 1)))
			for i := range endpoints {
				p.Upsert(fmt.Sprint("w", i), 8)
			}
			b.ReportAllocs()
			for b.Loop() {
				e := p.Pick(start)
				p.Done(start, e.ID, time.Millisecond, time.Millisecond, AttemptAnswered)
			}
		})
	}
}

func TestHeldSlotIsNotPicked(t *testing.T) {
	p := NewPicker(rand.New(rand.NewPCG(1, 1)))
	p.Upsert("a", 1)
	p.AddUnresolved("a")
	if e := p.Pick(time.Unix(1, 0)); e != nil {
		t.Fatal("picked an endpoint whose only slot is held")
	}
	p.RemoveUnresolved("a")
	if e := p.Pick(time.Unix(1, 0)); e == nil {
		t.Fatal("the slot is still held")
	}
}
