package sizing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

var start = time.Unix(1_700_000_000, 0)

func amount(cpu, mem int64) structs.Resources {
	return structs.Resources{CPUMilli: cpu, MemoryMiB: mem}
}

func TestGrantIsDeclaredThenLearnt(t *testing.T) {
	s := NewSizer()
	rng := rand.New(rand.NewPCG(1, 1))
	declared := structs.Resources{CPUMilli: 4000, MemoryMiB: 8000, Accelerators: 1}
	kind := Population{"c", declared}
	limit := amount(16000, 64000)
	for i := range 200 {
		if i == minTasks-1 && s.Grant(kind, limit) != declared {
			t.Fatal("learnt from too few tasks")
		}
		task := structs.NewTaskID("j", i)
		for range 3 {
			s.RecordUsage(start, kind, task, amount(800+rng.Int64N(200), 1500+rng.Int64N(500)), false)
		}
		s.TaskEnded(task, true)
	}
	got := s.Grant(kind, limit)
	if got.CPUMilli < 900 || got.CPUMilli > 1100 || got.MemoryMiB < 1850 || got.MemoryMiB > 2200 || got.Accelerators != 1 {
		t.Errorf("grant %+v", got)
	}
	if got := s.Grant(kind, amount(500, 600)); got.CPUMilli != 500 || got.MemoryMiB != 600 {
		t.Errorf("grant %+v passes the largest worker", got)
	}
	if got := s.Grant(Population{"other", declared}, limit); got != declared {
		t.Errorf("grant of an unknown class %+v", got)
	}
}

func TestCutShortAndUnreportedTasksTeachNothing(t *testing.T) {
	s := NewSizer()
	for i := range 100 {
		task := structs.NewTaskID("j", i)
		s.RecordUsage(start, Population{Class: "c"}, task, amount(1, 1), false)
		s.TaskEnded(task, false)
		s.RecordUsage(start, Population{Class: "c"}, task, amount(0, 0), false)
		s.TaskEnded(task, true)
	}
	if s.HasLearntGrant(Population{Class: "c"}) || len(s.tasks) != 0 {
		t.Error("learnt from tasks that were cut short or not reported")
	}
}

func TestLongRunningTasksTeach(t *testing.T) {
	s := NewSizer()
	for h := range 3 {
		for i := range minTasks {
			s.RecordUsage(start.Add(time.Duration(h)*time.Hour), Population{Class: "svc"}, structs.NewTaskID("s", i), amount(100, 200), false)
		}
	}
	if !s.HasLearntGrant(Population{Class: "svc"}) {
		t.Error("services never end and taught nothing")
	}
}

func TestGuard(t *testing.T) {
	size := amount(16000, 64000)
	use := func(id string, granted, used structs.Resources) TaskUsage {
		return TaskUsage{Task: structs.TaskID(id), Granted: granted, Used: used}
	}
	service := use("service", amount(1000, 1000), amount(1000, 34000))
	service.IsService = true
	patient := use("patient", amount(1000, 10000), amount(1000, 10000))
	patient.Slack = time.Hour
	throttled := use("throttled", amount(1000, 100), amount(1000, 100))
	throttled.ThrottlePercent = 100
	for name, c := range map[string]struct {
		tasks []TaskUsage
		want  string
	}{
		"calm":      {[]TaskUsage{use("a", amount(1000, 1000), amount(900, 900))}, "[]"},
		"processor": {[]TaskUsage{use("a", amount(8000, 1), amount(12000, 1)), use("b", amount(8000, 1), amount(4000, 1))}, "[{1 a 0 99}]"},
		"lifted":    {[]TaskUsage{throttled}, "[{2 throttled 0 0}]"},
		"memory takes the overuser": {
			[]TaskUsage{service, patient, use("greedy", amount(1, 1000), amount(1, 20000))}, "[{3 greedy 0 0}]",
		},
		"memory takes the patient one, not the service": {
			[]TaskUsage{service, patient, use("a", amount(1, 20000), amount(1, 20000))}, "[{3 patient 0 0}]",
		},
	} {
		if got := fmt.Sprint(NewShortageGuard().Actions(start, "w", size, c.tasks)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

func TestGuardWaitsForReportsAfterAStop(t *testing.T) {
	g := NewShortageGuard()
	full := []TaskUsage{{Task: "a", Used: amount(0, 990)}, {Task: "b", Used: amount(0, 9)}}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {stopAgainAfter - 1, 0}, {stopAgainAfter, 1}} {
		if got := g.Actions(start.Add(c.after), "w", amount(1000, 1000), full); len(got) != c.want {
			t.Errorf("after %v: %d stops, want %d", c.after, len(got), c.want)
		}
	}
}

func TestExcessCountsSettledTasksOnly(t *testing.T) {
	tasks := []TaskUsage{
		{Granted: amount(0, 100), Used: amount(0, 150), Age: time.Hour},
		{Granted: amount(0, 100), Used: amount(0, 80), Age: time.Hour},
		{Granted: amount(0, 100), Used: amount(0, 1), Age: time.Second},
	}
	if got := ExcessMemory(tasks).MemoryMiB; got != 30 {
		t.Errorf("excess %d MiB, want 30", got)
	}
}

// TestGrantsDoNotFeedBack lets tasks that are held back to their grants be learnt from,
// generation after generation. By that no grant may fall, and none may rise: a class that
// uses just what it declares fills its workers, and must fit them again.
func TestGrantsDoNotFeedBack(t *testing.T) {
	const want = 1000
	limit := amount(16000, 64000)
	for _, declared := range []int64{want / 5, want, want * 5} {
		kind := Population{"c", amount(declared, 100)}
		s := NewSizer()
		teach := func(i int, heldBack bool) {
			used := int64(want)
			if heldBack {
				used = min(s.Grant(kind, limit).CPUMilli, want)
			}
			task := structs.NewTaskID("j", i)
			s.RecordUsage(start, kind, task, amount(used, 100), heldBack)
			s.TaskEnded(task, true)
		}
		for i := range 400 {
			teach(i, true)
		}
		if got := s.Grant(kind, limit).CPUMilli; got != declared {
			t.Errorf("declared %d: granted %d by tasks that were held back", declared, got)
		}
		for i := range minTasks {
			teach(1000+i, false)
		}
		for i := range 3000 {
			teach(2000+i, true)
		}
		if got := s.Grant(kind, limit).CPUMilli; got != want {
			t.Errorf("declared %d: granted %d, want %d as free tasks used", declared, got, want)
		}
	}
}

func TestWhatMembersTellCountsOnce(t *testing.T) {
	limit := amount(16000, 64000)
	kind := Population{"c", amount(5000, 5000)}
	teach := func(s *Sizer, from, cpu int64) {
		for i := range minTasks / 2 {
			task := structs.NewTaskID("j", int(from)+i)
			s.RecordUsage(start, kind, task, amount(cpu, 100), false)
			s.TaskEnded(task, true)
		}
	}
	a, b := NewSizer(), NewSizer()
	teach(a, 0, 400)
	teach(b, 100, 600)
	for range 5 {
		a.SetMemberUsage("b", b.UsageToShare(8, true))
		b.SetMemberUsage("a", a.UsageToShare(8, true))
	}
	for name, s := range map[string]*Sizer{"a": a, "b": b} {
		if u := s.use(kind).Processor; u.Count != minTasks || u.Mean != 500 || u.StdDev != 100 {
			t.Errorf("%s knows %+v, want %d tasks of 500 and 100", name, u, minTasks)
		}
	}
	if a.Grant(kind, limit) != b.Grant(kind, limit) || !a.HasLearntGrant(kind) {
		t.Error("the members grant unlike sizes")
	}
	a.ForgetMember("b")
	if a.HasLearntGrant(kind) {
		t.Error("a member that is no more still counts")
	}
}

func TestShareTakesTurnsAndKindsAreBounded(t *testing.T) {
	s := NewSizer()
	for i := range maxKinds + 5 {
		task := structs.NewTaskID("j", i)
		s.RecordUsage(start, Population{"c", amount(int64(i+1), 1)}, task, amount(1, 1), false)
		s.TaskEnded(task, true)
	}
	if len(s.kinds) != maxKinds || s.kinds[Population{"c", amount(5, 1)}] != nil {
		t.Errorf("%d kinds are kept, want the latest %d", len(s.kinds), maxKinds)
	}
	seen := map[Population]bool{}
	for range maxKinds / 8 {
		for _, u := range s.UsageToShare(8, false) {
			seen[u.Population] = true
		}
	}
	if len(seen) != maxKinds {
		t.Errorf("%d of %d kinds were told of in one turn", len(seen), maxKinds)
	}
	if again := s.UsageToShare(8, false); len(again) != 0 {
		t.Errorf("%d kinds were told of again with nothing new", len(again))
	}
	if again := s.UsageToShare(8, true); len(again) != 8 {
		t.Errorf("%d kinds were told of in turn, want 8", len(again))
	}
}

func TestKillsRaiseGrantsBeforeTasksHaveEnded(t *testing.T) {
	s := NewSizer()
	kind := Population{"c", amount(500, 900)}
	limit := amount(16000, 64000)
	end := func(i int, used int64, killed bool) {
		task := structs.NewTaskID("j", i)
		s.RecordUsage(start, kind, task, amount(400, used), false)
		if killed {
			s.TaskKilledForMemory(kind, task, amount(400, used))
			return
		}
		s.TaskEnded(task, true)
	}
	for i := range minTasks {
		end(i, 2000, true)
	}
	if got := s.Grant(kind, limit); got != amount(500, 3000) {
		t.Errorf("granted %+v after %d kills at 2000 MiB, want 3000 MiB", got, minTasks)
	}
	for i := range minTasks {
		end(100+i, 2500, false)
	}
	if got := s.Grant(kind, limit); got != amount(400, 2500) {
		t.Errorf("granted %+v, want 2500 MiB as tasks that ended used", got)
	}
}
