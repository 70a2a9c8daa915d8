package controller

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/usage"
	"dotterelhitch/internal/workload"
)

// setTeams has a new version of the configuration with some teams take effect.
func (sim *simulation) setTeams(teams ...workload.Team) {
	sim.t.Helper()
	cfg := *sim.config
	cfg.Version++
	cfg.Teams = &workload.Teams{}
	for i := range teams {
		if err := cfg.Teams.Add(&teams[i], []string{"key of " + teams[i].Name}); err != nil {
			sim.t.Fatal(err)
		}
	}
	sim.config = &cfg
	sim.noteRaisedQuotas()
	if sim.ctl != nil {
		sim.ctl.SetConfig(sim.config, sim.nowOf(sim.ctl))
		sim.carryOutOrders()
	}
}

// north returns the team of that name with a quota of processor time.
func north(cpu int64) workload.Team {
	return workload.Team{Name: "north", Quota: structs.Resources{CPUMilli: cpu}}
}

// submitFor submits a job of one step on behalf of a team.
func (sim *simulation) submitFor(team string, job *workload.Job) {
	sim.t.Helper()
	job.Team = team
	sim.submit(job)
}

// wantUsed checks the processor time that team north holds on the workers.
func (sim *simulation) wantUsed(when string, cpu int64) {
	sim.t.Helper()
	if got := sim.usedBy("north").CPUMilli; got != cpu {
		sim.t.Errorf("%s: team north has %d millicores running, want %d", when, got, cpu)
	}
}

// watchWaits returns the last event about why steps of a job wait.
func (sim *simulation) watchWaits(job string) *event.Event {
	last := &event.Event{}
	record := sim.record
	sim.record = func(e event.Event) {
		if e.Type == event.StepWaiting && e.Job == job {
			*last = e
		}
		record(e)
	}
	return last
}

// lasting has all tasks run for a time.
func (sim *simulation) lasting(d time.Duration) {
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) { return d, workload.EndDone }
}

// newSimulationWithQuota returns a simulation of workers with 8 cores each, whose team north has a quota.
func newSimulationWithQuota(t testing.TB, workers int, cpu int64) *simulation {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(workers, 8000)
	sim.setTeams(north(cpu), workload.Team{Name: "south"})
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	return sim
}

// TestWideStepStartsInWaves guards against a team that exceeds its quota with one wide step, and against a step
// that starts nothing or less than fits, since not all of it fits under the quota.
func TestWideStepStartsInWaves(t *testing.T) {
	sim := newSimulationWithQuota(t, 4, 3000)
	sim.submitFor("north", simpleJob("j1", "batch", 10, 1000, nil))
	for range 3 {
		sim.advance(500 * time.Millisecond)
		sim.wantUsed("during a wave", 3000)
		sim.advance(550 * time.Millisecond)
	}
	sim.advance(2 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
	if sim.quotaChecks != 10 {
		t.Errorf("%d starts were checked against the quota, want 10", sim.quotaChecks)
	}
}

// TestTaskLargerThanQuotaRunsAlone guards against a task that never runs since it is larger than the quota, and
// against two of them at once.
func TestTaskLargerThanQuotaRunsAlone(t *testing.T) {
	sim := newSimulationWithQuota(t, 4, 3000)
	sim.submitFor("north", simpleJob("j1", "batch", 3, 5000, nil))
	sim.advance(500 * time.Millisecond)
	sim.wantUsed("first", 5000)
	sim.advance(4 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestGangWaitsForItsWholeQuota guards against a gang that starts in part under a quota, and against one that keeps
// capacity, tickets or the room of other runs while only its quota is missing. The event names the quota.
func TestGangWaitsForItsWholeQuota(t *testing.T) {
	sim := newSimulationWithQuota(t, 2, 6000)
	sim.lasting(6 * time.Second)
	sim.submitFor("north", simpleJob("j1", "batch", 4, 1000, nil))
	sim.advance(200 * time.Millisecond)
	waits := sim.watchWaits("g1")
	sim.startController(true) // for the recorder
	sim.advance(200 * time.Millisecond)
	calls := 0
	record := sim.record
	sim.record = func(e event.Event) {
		if e.Type == event.AdviceReceived {
			calls++
		}
		record(e)
	}
	sim.submitFor("north", simpleJob("g1", "gang", 3, 1000, func(s *workload.Step) { s.Gang = true }))
	sim.advance(3 * time.Second)
	sim.wantUsed("while the gang waits", 4000)
	s := sim.ctl.findStep(workload.StepID{Job: "g1"})
	if got := sim.ctl.waitCauseOf(s, sim.now); got.reason != WaitQuota {
		t.Errorf("wait reason %q, want %q", got.reason, WaitQuota)
	}
	for _, part := range []string{"team north", "4000 millicores", "quota is 6000 millicores"} {
		if !strings.Contains(waits.Detail, part) {
			t.Errorf("the event %q does not name %q", waits.Detail, part)
		}
	}
	if calls > 0 || s.advice != nil && len(s.advice.verdicts) > 0 {
		t.Errorf("the advisor was called %d times for a gang that waits only for its quota", calls)
	}
	for _, reservations := range sim.ctl.reservations {
		if len(reservations) > 0 {
			t.Error("capacity is reserved for a gang that waits only for its quota")
		}
	}
	if sim.stopsSent > 0 {
		t.Errorf("%d runs were stopped for a gang that waits only for its quota", sim.stopsSent)
	}
	sim.submitFor("south", simpleJob("j2", "batch", 12, 1000, nil))
	sim.advance(100 * time.Millisecond)
	if got := sim.usedBy("south").CPUMilli; got != 12000 {
		t.Errorf("team south has %d millicores running, want 12000", got)
	}
	sim.advance(20 * time.Second)
	if got := sim.state("g1"); got != workload.JobCompleted {
		t.Errorf("the gang is %q, want completed", got)
	}
}

// TestGangIsNotStarvedUnderQuota guards against a gang that never starts since later single tasks of its team take
// whatever the ends of others free of the quota.
func TestGangIsNotStarvedUnderQuota(t *testing.T) {
	sim := newSimulationWithQuota(t, 4, 6000)
	for i := range 40 {
		sim.submitFor("north", simpleJob(fmt.Sprintf("j%d", i), "batch", 3, 1000, nil))
		if i == 4 {
			sim.submitFor("north", simpleJob("g1", "gang", 5, 1000, func(s *workload.Step) { s.Gang = true }))
		}
		sim.advance(170 * time.Millisecond)
	}
	if got := sim.state("g1"); got != workload.JobCompleted {
		t.Errorf("the gang is %q, want completed", got)
	}
}

// TestLoweredQuotaStopsNothing guards against runs that are stopped, and against starts above a quota, when it is
// lowered below what runs; and against a raised quota that takes no effect.
func TestLoweredQuotaStopsNothing(t *testing.T) {
	sim := newSimulationWithQuota(t, 4, 6000)
	sim.lasting(2 * time.Second)
	sim.submitFor("north", simpleJob("j1", "batch", 6, 1000, nil))
	sim.advance(1200 * time.Millisecond)
	sim.setTeams(north(2000))
	sim.submitFor("north", simpleJob("j2", "batch", 9, 1000, nil))
	sim.advance(500 * time.Millisecond)
	sim.wantUsed("after the quota was lowered", 6000)
	sim.advance(time.Second)
	sim.wantUsed("after the runs have ended", 2000)
	sim.setTeams(north(5000))
	sim.advance(100 * time.Millisecond)
	sim.wantUsed("after the quota was raised", 5000)
	if sim.stopsSent > 0 {
		t.Errorf("%d runs were stopped", sim.stopsSent)
	}
	sim.setTeams() // jobs of a team that is gone keep the quota with which they were accepted
	sim.advance(3 * time.Second)
	sim.wantUsed("after the team was removed", 2000)
	sim.advance(5 * time.Second)
	if got := sim.state("j2"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestUnansweredStartsCountForTheQuota guards against a team that starts more while it is not known whether earlier
// starts were carried out, and against repeated starts that count twice.
func TestUnansweredStartsCountForTheQuota(t *testing.T) {
	sim := newSimulationWithQuota(t, 4, 3000)
	sim.lasting(4 * time.Second)
	sim.lostAnswerShare = 1
	sim.submitFor("north", simpleJob("j1", "batch", 9, 1000, nil))
	sim.advance(50 * time.Millisecond)
	sim.lostAnswerShare = 0
	sim.advance(2 * time.Second)
	sim.wantUsed("after the starts were repeated", 3000)
	sim.advance(20 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestCopiesCountForTheQuota guards against speculative copies that bring a team above its quota.
func TestCopiesCountForTheQuota(t *testing.T) {
	sim := newSimulationWithQuota(t, 4, 4000)
	sim.submitFor("north", simpleJob("j1", "batch", 12, 1000, func(s *workload.Step) { s.AllowCopies = true }))
	sim.advance(300 * time.Millisecond)
	for _, id := range []string{"i-aa", "i-ab"} {
		sim.workers[id].stall(3 * time.Second)
	}
	sim.advance(15 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestStoppedRunsCountForTheQuota guards against a team that starts more while runs that it has cancelled go on:
// their workers refuse the stops.
func TestStoppedRunsCountForTheQuota(t *testing.T) {
	for name, change := range map[string]bool{"same controller": false, "orphans at a new controller": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithQuota(t, 3, 4000)
			sim.lasting(time.Hour)
			sim.submitFor("north", simpleJob("j1", "batch", 4, 1000, nil))
			sim.advance(300 * time.Millisecond)
			for _, f := range sim.workers {
				f.unhealthy = len(f.runs) > 0
			}
			sim.cancel("j1")
			sim.advance(300 * time.Millisecond)
			if change {
				sim.startController(true)
				sim.advance(300 * time.Millisecond)
			}
			sim.submitFor("north", simpleJob("j2", "batch", 4, 1000, nil))
			sim.advance(2 * time.Second)
			sim.wantUsed("while the stops are refused", 4000)
			if got := sim.state("j2"); got != workload.JobQueued {
				t.Errorf("the next job is %q while the runs of the cancelled one go on", got)
			}
			for _, f := range sim.workers {
				f.unhealthy = false
			}
			sim.advance(2 * time.Second)
			if got := sim.state("j2"); got != workload.JobRunning {
				t.Errorf("the next job is %q after the stops", got)
			}
		})
	}
}

// TestQuotaAcrossTakeovers guards against a new controller that starts a team's tasks up to the quota while runs of
// the former one go on at workers that do not answer; and against a team that waits although these workers can't
// hold so much.
func TestQuotaAcrossTakeovers(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(sim *simulation)
		// during is what the team has running on all workers until the leases there have ended.
		during int64
	}{
		"the job goes on":       {func(*simulation) {}, 10000},
		"the job was cancelled": {func(sim *simulation) { sim.cancel("j1") }, 10000},
		"the job was cancelled under another controller": {func(sim *simulation) {
			sim.replaceControllers(1, false, 300*time.Millisecond)
			sim.cancel("j1")
		}, 10000},
		"the silent worker left the list": {func(sim *simulation) { sim.workers["i-aa"].listed = false }, 10000},
		"several takeovers": {func(sim *simulation) {
			sim.replaceControllers(3, true, 400*time.Millisecond)
		}, 10000},
		"more could run than the silent worker holds": {func(sim *simulation) {
			sim.submitFor("north", simpleJob("j3", "batch", 50, 1000, nil))
		}, 10000},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithQuota(t, 3, 10000)
			sim.timing.LeaderLease.Lease = shortLeaderLease
			sim.lasting(20 * time.Second)
			sim.submitFor("north", simpleJob("j1", "batch", 6, 1000, func(s *workload.Step) { s.LongRunning = true }))
			sim.advance(500 * time.Millisecond)
			silent := sim.workers["i-aa"]
			silent.partitioned = true
			c.prepare(sim)
			sim.advance(200 * time.Millisecond)
			sim.startController(false)
			sim.advance(300 * time.Millisecond)
			sim.submitFor("north", simpleJob("j2", "batch", 20, 1000, nil))
			for sim.now.Before(silent.leaseDeadline) {
				sim.advance(50 * time.Millisecond)
				if got := sim.usedBy("north").CPUMilli; got > c.during {
					t.Fatalf("%d millicores are running, the quota is 10000", got)
				}
			}
			sim.advance(sim.timing.longestLease() + sim.timing.LeaderLease.Lease)
			sim.wantUsed("after all leases have ended", 10000)
		})
	}
}

// TestSilentWorkerBoundsWhatMayRun guards against a team that starts nothing during a takeover since all its waiting
// tasks might run, although the only worker that does not answer is small. That holds if it has left the list as well.
func TestSilentWorkerBoundsWhatMayRun(t *testing.T) {
	for _, listed := range []bool{true, false} {
		testSilentWorkerBoundsWhatMayRun(t, listed, 0)
	}
}

// TestOverrunCountsAgainstWhatMayRun guards against a team that waits for a worker out of reach although all that may
// run there is within what the operators tolerate above the quota.
func TestOverrunCountsAgainstWhatMayRun(t *testing.T) {
	testSilentWorkerBoundsWhatMayRun(t, true, 0.1)
}

func testSilentWorkerBoundsWhatMayRun(t *testing.T, listed bool, overrun float64) {
	t.Helper()
	sim := newSimulationWithQuota(t, 4, 14000)
	sim.timing.QuotaOverrun = overrun
	sim.submitFor("north", simpleJob("j1", "batch", 60, 1000, nil))
	sim.advance(500 * time.Millisecond)
	sim.wantUsed("before the takeover", 14000)
	silent := sim.workers["i-aa"]
	silent.partitioned = true
	silent.listed = listed
	sim.startController(true)
	sim.advance(1500 * time.Millisecond)
	sim.wantUsed("after all known runs have ended", 0)
	sim.submitFor("north", simpleJob("j2", "batch", 20, 1000, nil))
	sim.advance(300 * time.Millisecond)
	tolerated := int64(overrun * 14000)
	sim.wantUsed("during the takeover", (14000+tolerated-silent.capacity.CPUMilli)/1000*1000)
}

// TestCopyOnASilentWorkerCountsForTheQuota guards against a new controller that knows one run of a task, and starts
// another task of the team while a copy of the first goes on at a worker that does not answer.
func TestCopyOnASilentWorkerCountsForTheQuota(t *testing.T) {
	sim := newSimulationWithQuota(t, 3, 2000)
	sim.lasting(20 * time.Second)
	sim.submitFor("north", simpleJob("j1", "batch", 1, 1000, func(s *workload.Step) { s.AllowCopies = true }))
	sim.advance(300 * time.Millisecond)
	var silent *fakeWorker
	for _, f := range sim.workers {
		if len(f.runs) > 0 {
			silent = f
		}
	}
	silent.stall(time.Minute)
	sim.advance(3 * time.Second)
	sim.wantUsed("with a copy", 2000)
	silent.partitioned = true
	sim.startController(true)
	sim.advance(300 * time.Millisecond)
	sim.submitFor("north", simpleJob("j2", "batch", 1, 1000, nil))
	sim.advance(500 * time.Millisecond)
	if got := sim.state("j2"); got != workload.JobQueued {
		t.Errorf("another task is %q while the copy may run", got)
	}
}

// TestAdoptedRunsCountForTheQuota guards against a new controller that starts a team's tasks beside the runs that it
// has adopted.
func TestAdoptedRunsCountForTheQuota(t *testing.T) {
	sim := newSimulationWithQuota(t, 3, 4000)
	sim.lasting(3 * time.Second)
	sim.submitFor("north", simpleJob("j1", "batch", 9, 1000, nil))
	sim.advance(500 * time.Millisecond)
	for range 3 {
		sim.startController(true)
		sim.advance(400 * time.Millisecond)
		sim.wantUsed("after a takeover", 4000)
	}
	sim.advance(10 * time.Second)
	if got := sim.state("j1"); got != workload.JobCompleted {
		t.Errorf("state %q, want completed", got)
	}
}

// TestQuotaAmongFaults guards against starts that bring a team more than 10% and one task above its quota while
// starts get late, workers fall silent, controllers change and quotas are changed.
func TestQuotaAmongFaults(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playQuotaAmongFaults(t, seed) })
	}
}

func playQuotaAmongFaults(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed)
	rng := rand.New(rand.NewPCG(seed, 5))
	sim.timing.LeaderLease.Lease = shortLeaderLease
	sim.timing.StatusRetention = 10 * time.Minute // longer than the play
	sim.toleratesOverrun = true
	sim.lateStartsEndWithBoot = true
	sim.allowedShare = 1
	sim.addWorkers(8, 8000)
	sim.lostAnswerShare = 0.05 * rng.Float64()
	sim.delayedOrderShare = 0.05 * rng.Float64()
	sim.refusedOrderShare = 0.05 * rng.Float64()
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Duration(300+rng.IntN(6000)) * time.Millisecond, workload.EndDone
	}
	drawTeams := func() {
		var teams []workload.Team
		for _, name := range []string{"north", "south", "west"} {
			quota := structs.Resources{CPUMilli: int64(4000 + rng.IntN(16000))}
			if rng.IntN(3) == 0 {
				quota.MemoryMiB = int64(600 + rng.IntN(1000)) // a gang has 6 tasks of 100 MiB at most
			}
			teams = append(teams, workload.Team{Name: name, Quota: quota})
		}
		sim.setTeams(teams...)
	}
	drawTeams()
	sim.startController(true)
	sim.advance(200 * time.Millisecond)
	for i := range 50 {
		if sim.ctl != nil {
			job := randomJob(fmt.Sprintf("j%d", i), rng)
			for k := range job.Steps {
				// Gangs that are larger than every quota would never start.
				job.Steps[k].Size.CPUMilli = min(job.Steps[k].Size.CPUMilli, 4000/int64(job.Steps[k].Count))
				job.Steps[k].AllowCopies = !job.Steps[k].Gang && rng.IntN(4) == 0
			}
			sim.submitFor([]string{"north", "south", "west"}[rng.IntN(3)], job)
			if rng.IntN(6) == 0 {
				sim.after(time.Duration(rng.IntN(3000))*time.Millisecond, func() { sim.cancel(job.ID) })
			}
		}
		f := sim.workers[sim.workerIDs()[rng.IntN(8)]]
		switch rng.IntN(9) {
		case 0, 1:
			f.partitioned = !f.partitioned
		case 2:
			sim.storeDown = true
			sim.after(time.Duration(rng.IntN(1500))*time.Millisecond, func() { sim.storeDown = false })
		case 3, 4:
			killed := rng.IntN(2) == 0
			if killed {
				sim.ctl = nil
			}
			sim.after(time.Duration(rng.IntN(300))*time.Millisecond, func() { sim.startSuccessor(killed && rng.IntN(2) == 0) })
		case 5:
			f.unhealthy = !f.unhealthy
		case 6:
			if !f.stalled {
				f.stall(3 * time.Second)
			}
		case 7:
			drawTeams()
		}
		sim.advance(time.Duration(100+rng.IntN(1200)) * time.Millisecond)
		sim.checkAccount()
	}
	sim.endFaults()
	for _, f := range sim.workers {
		f.unhealthy = false
	}
	// What is left when a small quota was drawn last runs almost one task after another.
	sim.advance(240 * time.Second)
	sim.checkAllJobsEnded()
	sim.checkAccount()
	if got := sim.ctl.usage.Total(); !got.IsZero() {
		t.Errorf("%v count as running at the end", got)
	}
	if sim.quotaChecks < 50 {
		t.Errorf("only %d starts were checked against a quota", sim.quotaChecks)
	}
}

// TestGangThatFitsNowhereKeepsNoQuota guards against a team that starts nothing for ever: a gang that no workers hold
// waited for the quota once, and keeps it since.
func TestGangThatFitsNowhereKeepsNoQuota(t *testing.T) {
	sim := newSimulationWithQuota(t, 4, 8000)
	sim.lasting(3 * time.Second)
	sim.submitFor("north", simpleJob("first", "batch", 8, 1000, nil))
	sim.advance(500 * time.Millisecond)
	sim.submitFor("north", simpleJob("gang", "gang", 8, 1000, func(s *workload.Step) {
		s.Gang = true
		s.Label = "none"
	}))
	sim.advance(2 * time.Second)
	sim.submitFor("north", simpleJob("later", "batch", 8, 1000, nil))
	sim.advance(10 * time.Second)
	if got := sim.state("later"); got != workload.JobCompleted {
		t.Errorf("the job after the gang is %q 10 s later", got)
	}
}

// checkAccount checks that the account of what runs is that of the runs known on the workers, by team and class. A
// difference would keep a team below its quota, or let it exceed it, for as long as the controller lasts.
func (sim *simulation) checkAccount() {
	sim.t.Helper()
	if sim.ctl == nil {
		return
	}
	want := usage.New()
	for _, w := range sim.ctl.workers {
		var used structs.Resources
		for _, r := range w.runs {
			want.Add(r.task.step.job().owner(), r.size)
			used = used.Add(r.size)
		}
		for _, o := range w.orphans {
			want.Add(o.owner, o.size)
			used = used.Add(o.size)
		}
		if used != w.used {
			sim.t.Errorf("%v count as used on %s, its runs hold %v", w.used, w.info.ID, used)
		}
	}
	if !reflect.DeepEqual(want, sim.ctl.usage) {
		sim.t.Errorf("the account is %+v, that of the known runs is %+v", sim.ctl.usage, want)
	}
}
