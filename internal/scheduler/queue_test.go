package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

var epoch = time.Unix(1_700_000_000, 0)

// item returns an item of one task with a slack at epoch.
func item(job string, slack time.Duration) QueuedJob {
	return QueuedJob{Job: job, PendingTasks: 1, Size: size(1, 1, 0), AcceptedAt: epoch, LatestStart: epoch.Add(slack)}
}

// drain starts every item in one round and returns the order.
func drain(q *Queue, now time.Time) []string {
	var order []string
	r := q.BeginRound(now)
	for i, ok := r.Next(); ok; i, ok = r.Next() {
		order = append(order, i.Job)
		r.MarkStarted(i.PendingTasks)
	}
	r.End()
	return order
}

func TestQueueOrdersBySlack(t *testing.T) {
	q := NewQueue()
	for job, slack := range map[string]time.Duration{"batch": time.Hour, "urgent": time.Second, "gang": time.Minute} {
		q.Push(item(job, slack))
	}
	if got := fmt.Sprint(drain(q, epoch)); got != "[urgent gang batch]" {
		t.Errorf("order %s", got)
	}
	if q.Len() != 0 || q.Tasks() != 0 {
		t.Errorf("%d jobs and %d tasks left", q.Len(), q.Tasks())
	}
}

func TestLateWorkGetsEveryFourthPick(t *testing.T) {
	q := NewQueue()
	for i := range 8 {
		q.Push(item(fmt.Sprintf("late%d", i), -time.Duration(i+1)*time.Minute))
		q.Push(item(fmt.Sprintf("good%d", i), time.Duration(i+1)*time.Minute))
	}
	got := fmt.Sprint(drain(q, epoch)[:9])
	if got != "[good0 good1 good2 late7 good3 good4 good5 late6 good6]" {
		t.Errorf("order %s", got)
	}
}

// TestNothingStarves offers more urgent work than can start and checks that an old
// job with much slack, and one that is late already, still start.
func TestNothingStarves(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 0))
		q := NewQueue()
		q.Push(item("batch", 10*time.Second))
		q.Push(item("late", -time.Hour))
		started := make(map[string]int)
		for step := range 2000 {
			now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
			for range 1 + rng.IntN(2) {
				i := item(fmt.Sprintf("u%d-%d", step, q.Len()), 0)
				i.LatestStart = now.Add(1100 * time.Millisecond)
				q.Push(i)
			}
			r := q.BeginRound(now)
			if i, ok := r.Next(); ok {
				r.MarkStarted(1)
				started[i.Job] = step
			}
			r.End()
		}
		for _, job := range []string{"batch", "late"} {
			if _, ok := started[job]; !ok {
				t.Errorf("seed %d: %s never started", seed, job)
			}
		}
	}
}

// TestBlockedItemHoldsAfterAPartOfItsTime lets a stream of small tasks pass a gang and
// checks that workers are to be held for it from half of its time on, neither before
// nor later, and that a job that was removed and came back is not the holder.
func TestBlockedItemHoldsAfterAPartOfItsTime(t *testing.T) {
	q := NewQueue()
	gang := item("gang", 40*time.Second)
	gang.PendingTasks = 20
	q.Push(gang)
	for second := range 40 {
		now := epoch.Add(time.Duration(second) * time.Second)
		small := item(fmt.Sprintf("s%d", second), 0)
		small.AcceptedAt = now
		small.LatestStart = now.Add(5 * time.Second)
		q.Push(small)
		r := q.BeginRound(now)
		for i, ok := r.Next(); ok; i, ok = r.Next() {
			if i.Job == "gang" {
				r.MarkBlocked(BlockedByOther)
				continue
			}
			r.MarkStarted(1)
		}
		if holder, got := r.End(); got != (second >= 20) || got && holder.Job != "gang" {
			t.Fatalf("after %d s: holder %q, %v", second, holder.Job, got)
		}
	}
	q.Remove("gang")
	q.Push(gang)
	if _, ok := q.ReservationCandidate(); ok {
		t.Error("a job that was removed and came back is still the holder")
	}
}

func TestRoundSkipsWhatASmallerBlockedItemRulesOut(t *testing.T) {
	q := NewQueue()
	q.Push(item("small", time.Second))
	big := item("big", time.Minute)
	big.Size = size(2, 2, 0)
	q.Push(big)
	narrow := item("narrow", time.Hour)
	narrow.Size = structs.Resources{CPUMilli: 100, MemoryMiB: 1}
	q.Push(narrow)
	var tried []string
	r := q.BeginRound(epoch)
	for i, ok := r.Next(); ok; i, ok = r.Next() {
		tried = append(tried, i.Job)
		r.MarkBlocked(BlockedBySize)
	}
	r.End()
	if fmt.Sprint(tried) != "[small narrow]" || q.Len() != 3 {
		t.Errorf("tried %v, %d jobs left", tried, q.Len())
	}
}

func TestRoundSkipsLargerGangsButNotOneWithHeldWorkers(t *testing.T) {
	q := NewQueue()
	for i, tasks := range []int{8, 4, 9, 20} {
		g := item(fmt.Sprint("g", tasks), time.Duration(i)*time.Second)
		g.Kind = structs.KindGang
		g.PendingTasks = tasks
		q.Push(g)
	}
	q.SetHasReservation("g20", true)
	var tried []string
	r := q.BeginRound(epoch)
	for i, ok := r.Next(); ok; i, ok = r.Next() {
		tried = append(tried, i.Job)
		r.MarkBlocked(BlockedByGangSize)
	}
	r.End()
	if fmt.Sprint(tried) != "[g8 g4 g20]" {
		t.Errorf("tried %v", tried)
	}
}

func TestQueueRemoveParkAndReplaceKeepCounts(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := NewQueue()
		want := make(map[string]int)
		for step := range 3000 {
			job := fmt.Sprintf("j%d", rng.IntN(300))
			switch rng.IntN(5) {
			case 0, 1:
				i := item(job, time.Duration(rng.IntN(100)-50)*time.Second)
				i.PendingTasks = 1 + rng.IntN(3)
				q.Push(i)
				want[job] = i.PendingTasks
			case 2:
				q.Remove(job)
				delete(want, job)
			case 3:
				q.Park(job)
			case 4:
				q.Unpark(job)
			}
			if step%100 == 0 {
				r := q.BeginRound(epoch)
				if i, ok := r.Next(); ok {
					q.Remove(i.Job)
					r.MarkStarted(1)
					delete(want, i.Job)
				}
				r.End()
			}
		}
		tasks := 0
		for job, n := range want {
			q.Unpark(job)
			tasks += n
		}
		if q.Len() != len(want) || q.Tasks() != tasks {
			t.Fatalf("seed %d: %d jobs and %d tasks, want %d and %d", seed, q.Len(), q.Tasks(), len(want), tasks)
		}
		if got := len(drain(q, epoch)); got != len(want) {
			t.Fatalf("seed %d: drained %d of %d", seed, got, len(want))
		}
	}
}

func TestLatestStart(t *testing.T) {
	second := func(n int) structs.Duration { return structs.Duration(time.Duration(n) * time.Second) }
	for _, c := range []struct {
		target structs.Target
		run    time.Duration
		want   time.Duration
	}{
		{structs.Target{StartWithin: second(10)}, time.Hour, 10 * time.Second},
		{structs.Target{FinishWithin: second(60)}, 20 * time.Second, 40 * time.Second},
		{structs.Target{StartWithin: second(10), FinishWithin: second(60)}, 55 * time.Second, 5 * time.Second},
		{structs.Target{FinishWithin: second(60)}, time.Hour, 0},
		{structs.Target{AnswerWithin: second(1)}, 0, DefaultStartWithin},
	} {
		if got := LatestStart(epoch, c.target, c.run).Sub(epoch); got != c.want {
			t.Errorf("%+v, run %v: %v, want %v", c.target, c.run, got, c.want)
		}
	}
}

func TestForecastTellsLateClassesBeforeTheyAreLate(t *testing.T) {
	waiting := []WaitingTasks{
		{Class: "c", Count: 10, LatestStart: epoch.Add(time.Minute)},
		{Class: "a", Count: 3, LatestStart: epoch.Add(-time.Second)},
		{Class: "b", Count: 10, LatestStart: epoch.Add(time.Second)},
	}
	got := fmt.Sprint(ForecastLateTasks(waiting, epoch, 4))
	if got != "[{a 3 0} {b 0 6}]" {
		t.Errorf("forecast %s", got)
	}
	if got := fmt.Sprint(ForecastLateTasks(waiting, epoch, 0)); got != "[{a 3 0}]" {
		t.Errorf("without a rate: %s", got)
	}
}
