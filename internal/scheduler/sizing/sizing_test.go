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
	population := Population{"c", declared}
	limit := amount(16000, 64000)
	for i := range 200 {
		if i == minSamples-1 && s.Grant(population, limit) != declared {
			t.Fatal("a grant was learnt from too few tasks")
		}
		task := structs.NewTaskID("j", i)
		for range 3 {
			s.RecordUsage(start, population, task, amount(800+rng.Int64N(200), 1500+rng.Int64N(500)), false)
		}
		s.TaskEnded(task, true)
	}
	got := s.Grant(population, limit)
	if got.CPUMilli < 900 || got.CPUMilli > 1100 || got.MemoryMiB < 1850 || got.MemoryMiB > 2200 || got.Accelerators != 1 {
		t.Errorf("grant %+v", got)
	}
	if got := s.Grant(population, amount(500, 600)); got.CPUMilli != 500 || got.MemoryMiB != 600 {
		t.Errorf("grant %+v exceeds the largest worker", got)
	}
	if got := s.Grant(Population{"other", declared}, limit); got != declared {
		t.Errorf("grant of an unknown class %+v", got)
	}
}

func TestInterruptedAndUnreportedTasksAreNotRecorded(t *testing.T) {
	s := NewSizer()
	for i := range 100 {
		task := structs.NewTaskID("j", i)
		s.RecordUsage(start, Population{Class: "c"}, task, amount(1, 1), false)
		s.TaskEnded(task, false)
		s.RecordUsage(start, Population{Class: "c"}, task, amount(0, 0), false)
		s.TaskEnded(task, true)
	}
	if s.HasLearntGrant(Population{Class: "c"}) || len(s.runningTasks) != 0 {
		t.Error("a grant was learnt from tasks that were interrupted or not reported")
	}
}

func TestLongRunningTasksAreRecorded(t *testing.T) {
	s := NewSizer()
	for h := range 3 {
		for i := range minSamples {
			s.RecordUsage(start.Add(time.Duration(h)*time.Hour), Population{Class: "svc"}, structs.NewTaskID("s", i), amount(100, 200), false)
		}
	}
	if !s.HasLearntGrant(Population{Class: "svc"}) {
		t.Error("nothing was learnt from long-running tasks of a service")
	}
}

func TestShortageGuardActions(t *testing.T) {
	size := amount(16000, 64000)
	usageOf := func(id string, granted, used structs.Resources) TaskUsage {
		return TaskUsage{Task: structs.TaskID(id), Granted: granted, Used: used}
	}
	service := usageOf("service", amount(1000, 1000), amount(1000, 34000))
	service.IsService = true
	mostSlack := usageOf("patient", amount(1000, 10000), amount(1000, 10000))
	mostSlack.Slack = time.Hour
	throttled := usageOf("throttled", amount(1000, 100), amount(1000, 100))
	throttled.ThrottlePercent = 100
	for name, c := range map[string]struct {
		tasks []TaskUsage
		want  string
	}{
		"no shortage":        {[]TaskUsage{usageOf("a", amount(1000, 1000), amount(900, 900))}, "[]"},
		"processor shortage": {[]TaskUsage{usageOf("a", amount(8000, 1), amount(12000, 1)), usageOf("b", amount(8000, 1), amount(4000, 1))}, "[{1 a 0 99}]"},
		"limit removed":      {[]TaskUsage{throttled}, "[{2 throttled 0 0}]"},
		"memory stops the task above its grant": {
			[]TaskUsage{service, mostSlack, usageOf("greedy", amount(1, 1000), amount(1, 20000))}, "[{3 greedy 0 0}]",
		},
		"memory stops the task with the most slack, not the service": {
			[]TaskUsage{service, mostSlack, usageOf("a", amount(1, 20000), amount(1, 20000))}, "[{3 patient 0 0}]",
		},
	} {
		if got := fmt.Sprint(NewShortageGuard().Actions(start, "w", size, c.tasks)); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

func TestShortageGuardWaitsForReportsAfterStop(t *testing.T) {
	g := NewShortageGuard()
	full := []TaskUsage{{Task: "a", Used: amount(0, 990)}, {Task: "b", Used: amount(0, 9)}}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {minStopInterval - 1, 0}, {minStopInterval, 1}} {
		if got := g.Actions(start.Add(c.after), "w", amount(1000, 1000), full); len(got) != c.want {
			t.Errorf("after %v: %d stops, want %d", c.after, len(got), c.want)
		}
	}
}

func TestExcessMemoryCountsSettledTasksOnly(t *testing.T) {
	tasks := []TaskUsage{
		{Granted: amount(0, 100), Used: amount(0, 150), Age: time.Hour},
		{Granted: amount(0, 100), Used: amount(0, 80), Age: time.Hour},
		{Granted: amount(0, 100), Used: amount(0, 1), Age: time.Second},
	}
	if got := ExcessMemory(tasks).MemoryMiB; got != 30 {
		t.Errorf("excess %d MiB, want 30", got)
	}
}

// TestCPULimitedTasksDoNotShiftGrants records tasks whose processor is limited to their
// grants, generation after generation. That must neither lower nor raise the grants: the
// tasks of a class that uses exactly what it declares fill their workers, and the same
// number must fit again.
func TestCPULimitedTasksDoNotShiftGrants(t *testing.T) {
	const want = 1000
	limit := amount(16000, 64000)
	for _, declared := range []int64{want / 5, want, want * 5} {
		population := Population{"c", amount(declared, 100)}
		s := NewSizer()
		runTask := func(i int, cpuLimited bool) {
			used := int64(want)
			if cpuLimited {
				used = min(s.Grant(population, limit).CPUMilli, want)
			}
			task := structs.NewTaskID("j", i)
			s.RecordUsage(start, population, task, amount(used, 100), cpuLimited)
			s.TaskEnded(task, true)
		}
		for i := range 400 {
			runTask(i, true)
		}
		if got := s.Grant(population, limit).CPUMilli; got != declared {
			t.Errorf("declared %d: granted %d after tasks with limited processor", declared, got)
		}
		for i := range minSamples {
			runTask(1000+i, false)
		}
		for i := range 3000 {
			runTask(2000+i, true)
		}
		if got := s.Grant(population, limit).CPUMilli; got != want {
			t.Errorf("declared %d: granted %d, want %d as used by tasks without a limit", declared, got, want)
		}
	}
}

func TestUsageOfMembersCountsOnce(t *testing.T) {
	limit := amount(16000, 64000)
	population := Population{"c", amount(5000, 5000)}
	runTasks := func(s *Sizer, from, cpu int64) {
		for i := range minSamples / 2 {
			task := structs.NewTaskID("j", int(from)+i)
			s.RecordUsage(start, population, task, amount(cpu, 100), false)
			s.TaskEnded(task, true)
		}
	}
	a, b := NewSizer(), NewSizer()
	runTasks(a, 0, 400)
	runTasks(b, 100, 600)
	for range 5 {
		a.SetMemberUsage("b", b.UsageToShare(8, true))
		b.SetMemberUsage("a", a.UsageToShare(8, true))
	}
	for name, s := range map[string]*Sizer{"a": a, "b": b} {
		if u := s.combinedUsage(population).Processor; u.Count != minSamples || u.Mean != 500 || u.StdDev != 100 {
			t.Errorf("%s has %+v, want %d tasks with mean 500 and deviation 100", name, u, minSamples)
		}
	}
	if a.Grant(population, limit) != b.Grant(population, limit) || !a.HasLearntGrant(population) {
		t.Error("the members grant different sizes or have learnt none")
	}
	a.ForgetMember("b")
	if a.HasLearntGrant(population) {
		t.Error("the observations of a forgotten member are used")
	}
}

func TestUsageToShareRotatesAndPopulationsAreBounded(t *testing.T) {
	s := NewSizer()
	for i := range maxPopulations + 5 {
		task := structs.NewTaskID("j", i)
		s.RecordUsage(start, Population{"c", amount(int64(i+1), 1)}, task, amount(1, 1), false)
		s.TaskEnded(task, true)
	}
	if len(s.populations) != maxPopulations || s.populations[Population{"c", amount(5, 1)}] != nil {
		t.Errorf("%d populations are stored, want the latest %d", len(s.populations), maxPopulations)
	}
	seen := map[Population]bool{}
	for range maxPopulations / 8 {
		for _, u := range s.UsageToShare(8, false) {
			seen[u.Population] = true
		}
	}
	if len(seen) != maxPopulations {
		t.Errorf("%d of %d populations were shared in one cycle", len(seen), maxPopulations)
	}
	if again := s.UsageToShare(8, false); len(again) != 0 {
		t.Errorf("%d populations were shared again without new samples", len(again))
	}
	if again := s.UsageToShare(8, true); len(again) != 8 {
		t.Errorf("%d populations were shared in turn, want 8", len(again))
	}
}

func TestMemoryKillsRaiseGrantsBeforeTasksEnd(t *testing.T) {
	s := NewSizer()
	population := Population{"c", amount(500, 900)}
	limit := amount(16000, 64000)
	end := func(i int, used int64, killed bool) {
		task := structs.NewTaskID("j", i)
		s.RecordUsage(start, population, task, amount(400, used), false)
		if killed {
			s.TaskKilledForMemory(population, task, amount(400, used))
			return
		}
		s.TaskEnded(task, true)
	}
	for i := range minSamples {
		end(i, 2000, true)
	}
	if got := s.Grant(population, limit); got != amount(500, 3000) {
		t.Errorf("granted %+v after %d kills at 2000 MiB, want 3000 MiB", got, minSamples)
	}
	for i := range minSamples {
		end(100+i, 2500, false)
	}
	if got := s.Grant(population, limit); got != amount(400, 2500) {
		t.Errorf("granted %+v, want 2500 MiB as used by tasks that ended", got)
	}
}
