package controller

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// newSimulationWithTeams returns a simulation of 10 workers with 8 cores each and teams north and south of some
// weights, without quotas.
func newSimulationWithTeams(t testing.TB, north, south float64) *simulation {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(10, 8000)
	sim.setTeams(workload.Team{Name: "north", Weight: north}, workload.Team{Name: "south", Weight: south})
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	return sim
}

// wantShareOfNorth checks the part of what runs that team north has.
func (sim *simulation) wantShareOfNorth(when string, want float64) {
	sim.t.Helper()
	a, b := float64(sim.usedBy("north").CPUMilli), float64(sim.usedBy("south").CPUMilli)
	if got := a / (a + b); math.Abs(got-want) > 0.03 {
		sim.t.Errorf("%s: north has %.3f of what runs, want %.3f", when, got, want)
	}
	if a+b < 75000 {
		sim.t.Errorf("%s: only %.0f of 80000 millicores are in use", when, a+b)
	}
}

// TestTeamsShareByWeight guards against a team that gets more than its share of the capacity since its tasks came
// first or are more, and against a new controller that needs a history to share.
func TestTeamsShareByWeight(t *testing.T) {
	for _, c := range []struct{ north, south, want float64 }{{1, 1, 0.5}, {3, 1, 0.75}, {0, 0, 0.5}, {1, 4, 0.2}} {
		t.Run(fmt.Sprint(c.north, " to ", c.south), func(t *testing.T) {
			sim := newSimulationWithTeams(t, c.north, c.south)
			for i := range 30 {
				sim.submitFor("north", simpleJob(fmt.Sprintf("n%d", i), "batch", 40, 1000, nil))
			}
			for i := range 6 {
				sim.submitFor("south", simpleJob(fmt.Sprintf("s%d", i), "batch", 80, 1000, nil))
			}
			sim.advance(3500 * time.Millisecond)
			sim.wantShareOfNorth("at first", c.want)
			sim.startController(true)
			sim.advance(2500 * time.Millisecond)
			sim.wantShareOfNorth("at a new controller", c.want)
		})
	}
}

// TestTeamThatWantsLittleGetsIt guards against a team that waits behind the backlog of another one although it wants
// less than its share, whichever class the two use.
func TestTeamThatWantsLittleGetsIt(t *testing.T) {
	sim := newSimulationWithTeams(t, 1, 1)
	// The backlog has the class with the higher priority.
	sim.submitFor("north", simpleJob("backlog", "gang", 2000, 1000, nil))
	sim.advance(1500 * time.Millisecond)
	for i := range 10 {
		id := fmt.Sprintf("s%d", i)
		sim.submitFor("south", simpleJob(id, "batch", 8, 1000, nil))
		// A run of the backlog ends within its run time of 1 s.
		sim.advance(2300 * time.Millisecond)
		if got := sim.state(id); got != workload.JobCompleted {
			t.Errorf("%s is %q after 2.3 s", id, got)
		}
	}
	if got := sim.state("backlog"); got != workload.JobRunning {
		t.Errorf("the backlog is %q, which the case is about", got)
	}
}

// TestLentCapacityComesBack guards against a team that keeps the capacity that another one had left unused, and
// against runs that are stopped for it.
func TestLentCapacityComesBack(t *testing.T) {
	sim := newSimulationWithTeams(t, 1, 1)
	sim.submitFor("north", simpleJob("n", "batch", 900, 1000, nil))
	sim.advance(1500 * time.Millisecond)
	if got := sim.usedBy("north").CPUMilli; got != 80000 {
		t.Fatalf("north has %d millicores running, want all", got)
	}
	sim.submitFor("south", simpleJob("s", "batch", 900, 1000, nil))
	sim.advance(2200 * time.Millisecond)
	sim.wantShareOfNorth("two run times later", 0.5)
	if sim.stopsSent > 0 {
		t.Errorf("%d runs were stopped", sim.stopsSent)
	}
}

// TestPriorityOrdersInsideATeam guards against teams whose urgent steps wait behind their own batch steps while the
// capacity is short.
func TestPriorityOrdersInsideATeam(t *testing.T) {
	sim := newSimulationWithTeams(t, 1, 1)
	urgent := *sim.config.Classes["batch"]
	urgent.Name, urgent.Priority = "urgent", 0
	sim.config.Classes["urgent"] = &urgent
	for _, team := range []string{"north", "south"} {
		sim.submitFor(team, simpleJob(team+"-batch", "batch", 400, 1000, nil))
	}
	sim.advance(2500 * time.Millisecond)
	sim.submitFor("north", simpleJob("north-urgent", "urgent", 10, 1000, nil))
	sim.advance(2500 * time.Millisecond)
	if got := sim.state("north-urgent"); got != workload.JobCompleted {
		t.Errorf("the urgent job is %q", got)
	}
	sim.wantShareOfNorth("with an urgent job", 0.5)
}

// TestAdvisorIsCalledInShareOrder guards against calls to the advisor that are used up for a team that has its share
// while another team waits for tickets.
func TestAdvisorIsCalledInShareOrder(t *testing.T) {
	sim := newSimulationWithTeams(t, 1, 1)
	sim.submitFor("north", simpleJob("n", "batch", 900, 1000, nil))
	sim.advance(1500 * time.Millisecond)
	for i := range 5 {
		sim.submitFor("north", simpleJob(fmt.Sprintf("n%d", i), "gang", 3, 1000, nil))
	}
	sim.submitFor("south", simpleJob("s", "gang", 3, 1000, nil))
	sim.advance(100 * time.Millisecond)
	ctl := sim.ctl
	now := sim.nowOf(ctl)
	steps := ctl.stepsForAdvisor(sortedSteps(nil, ctl.readySteps, now), now)
	first := slices.IndexFunc(steps, func(s *step) bool { return s.job().class.Name == "gang" })
	if first < 0 || steps[first].job().spec.ID != "s" {
		t.Errorf("the advisor is not called for the team below its share first")
	}
}

// placements runs a load that fits the workers and returns its placements in order.
func placements(t *testing.T, teams bool) []string {
	sim := newSimulation(t, 1)
	sim.allowedShare = 1
	sim.addWorkers(10, 8000)
	if teams {
		sim.setTeams(workload.Team{Name: "north", Weight: 9}, workload.Team{Name: "south", Weight: 1})
	}
	var out []string
	record := sim.record
	sim.record = func(e event.Event) {
		if e.Type == event.TaskPlaced {
			out = append(out, fmt.Sprint(e.Task, " on ", e.Worker, " at ", sim.now.Sub(simulationStart)))
		}
		record(e)
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	for i := range 60 {
		job := simpleJob(fmt.Sprintf("j%d", i), "batch", 1+i%9, 1000, nil)
		if teams {
			job.Team = []string{"north", "south"}[i%2]
		}
		sim.submit(job)
		sim.advance(100 * time.Millisecond)
	}
	return out
}

// TestTeamsChangeNothingWhileCapacitySuffices guards against a configuration with teams that places tasks otherwise
// than one without, where there is room for all.
func TestTeamsChangeNothingWhileCapacitySuffices(t *testing.T) {
	without, with := placements(t, false), placements(t, true)
	if len(without) < 200 || !slices.Equal(without, with) {
		t.Errorf("%d placements without teams, %d with, not the same", len(without), len(with))
	}
}

// playTeamBurst runs the mix of all classes for twenty teams, the largest of which sends seven times its usual rate for
// a while. It returns the part of the jobs submitted during and after the burst that were on time: for the worst-served
// tenth of the other teams, for all of them, and for the team itself.
func playTeamBurst(t *testing.T, seed uint64, shares bool) (worst, others, burst float64) {
	// The others have a weight of 1 each and send as much.
	const teamCount, usual, burstRate = 20, 5.0, 7 * 5.0
	const otherTeams = teamCount - 1
	m := newMix(t, seed, 48, 1)
	teamName := func(i int) string { return fmt.Sprintf("team-%02d", i) }
	if shares {
		var teams []workload.Team
		for i := range teamCount {
			teams = append(teams, workload.Team{Name: teamName(i), Weight: []float64{usual, 1}[min(i, 1)]})
		}
		m.setTeams(teams...)
	}
	bursting := false
	teamOf := map[string]string{}
	m.nextTeam = func(id string) string {
		rate := usual
		if bursting {
			rate = burstRate
		}
		team := 0
		if m.rng.Float64() >= rate/(rate+otherTeams) {
			team = 1 + m.rng.IntN(otherTeams)
		}
		teamOf[id] = teamName(team)
		if !shares {
			return ""
		}
		return teamName(team)
	}
	m.playArrivals(5 * time.Second)
	from := m.now
	bursting = true
	load := m.loadFactor
	m.loadFactor *= (burstRate + otherTeams) / (usual + otherTeams)
	m.playArrivals(10 * time.Second)
	m.loadFactor = load
	bursting = false
	m.playArrivals(3 * time.Second)
	m.advanceAndWatch(14 * time.Second)
	// Classes count the same, however many jobs they have.
	type key struct {
		team  string
		class int
	}
	jobs, onTime := map[key]float64{}, map[key]float64{}
	for id, j := range m.mixJobs {
		if j.submittedAt.Before(from) {
			continue
		}
		k := key{teamOf[id], j.class}
		jobs[k]++
		c := &m.classes[j.class]
		allowed := time.Duration(c.class.Stretch*float64(j.criticalPath)) + c.class.Target
		if !j.endedAt.IsZero() && j.state == workload.JobCompleted && j.endedAt.Sub(j.submittedAt) <= allowed {
			onTime[k]++
		}
	}
	served := func(team string) float64 {
		sum, classes := 0.0, 0.0
		for class := range m.classes {
			if k := (key{team, class}); jobs[k] > 0 {
				sum += onTime[k] / jobs[k]
				classes++
			}
		}
		return sum / classes
	}
	var parts []float64
	for i := 1; i < teamCount; i++ {
		parts = append(parts, served(teamName(i)))
		others += parts[i-1] / otherTeams
	}
	slices.Sort(parts)
	return (parts[0] + parts[1]) / 2, others, served(teamName(0))
}

// TestTeamBurstLeavesTheOthersServed guards against nineteen teams within their weights that are served worse since
// one team sends seven times its usual rate, in all classes.
func TestTeamBurstLeavesTheOthersServed(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates minutes of load")
	}
	var with, without [3]float64
	const seeds = 3
	for seed := range uint64(seeds) {
		for _, c := range []struct {
			shares bool
			sum    *[3]float64
		}{{true, &with}, {false, &without}} {
			worst, others, burst := playTeamBurst(t, seed, c.shares)
			t.Logf("seed %d, shares %v: worst tenth %.3f, other teams %.3f, team with the burst %.3f on time", seed, c.shares, worst, others, burst)
			c.sum[0] += worst / seeds
			c.sum[1] += others / seeds
			c.sum[2] += burst / seeds
		}
	}
	t.Logf("mean with shares %.3f, without %.3f", with, without)
	if with[1] < without[1] {
		t.Errorf("the other teams: %.3f on time with shares, %.3f without", with[1], without[1])
	}
}

// BenchmarkShareOrder divides the capacity among 300 teams with 1,000 waiting steps and orders the steps, as each
// placement pass does while the capacity is short.
func BenchmarkShareOrder(b *testing.B) {
	sim := newSimulation(b, 1)
	sim.addWorkers(350, 32000)
	var teams []workload.Team
	for i := range 300 {
		teams = append(teams, workload.Team{Name: fmt.Sprintf("team-%03d", i), Weight: float64(1 + i%7)})
	}
	sim.setTeams(teams...)
	sim.startController(true)
	sim.advance(time.Second)
	for i := range 1300 {
		sim.submitFor(teams[i%300].Name, simpleJob(fmt.Sprintf("j%d", i), "batch", 25, 3500, nil))
	}
	sim.advance(200 * time.Millisecond)
	ctl, now := sim.ctl, sim.nowOf(sim.ctl)
	steps := sortedSteps(nil, ctl.readySteps, now)
	b.ReportMetric(float64(len(steps)), "steps")
	for b.Loop() {
		ctl.shares = ctl.divideCapacity(steps, now)
		if ctl.shares == nil {
			b.Fatal("the capacity is not short")
		}
		ctl.inShareOrder(slices.Clone(steps), func(*step) {})
	}
}

// TestDemandThatNoWorkerMeetsHoldsNobodyUp guards against teams that start nothing while they have something running,
// since a step waits for a resource that no worker has.
func TestDemandThatNoWorkerMeetsHoldsNobodyUp(t *testing.T) {
	sim := newSimulationWithTeams(t, 1, 1)
	sim.lasting(4 * time.Second)
	sim.submitFor("south", simpleJob("impossible", "batch", 1, 1000, func(s *workload.Step) { s.Size.Accelerators = 1 }))
	sim.submitFor("north", simpleJob("first", "batch", 1, 1000, nil))
	sim.advance(500 * time.Millisecond)
	sim.submitFor("north", simpleJob("second", "batch", 10, 1000, nil))
	sim.advance(time.Second)
	if got := sim.usedBy("north").CPUMilli; got != 11000 {
		t.Errorf("north has %d millicores running, want 11000: the workers are nearly empty", got)
	}
}

// TestShareBesideAScarceResource guards against teams that do not share the processors by their weights, since one of
// them has a backlog for the few accelerators.
func TestShareBesideAScarceResource(t *testing.T) {
	sim := newSimulationWithTeams(t, 1, 1)
	f := sim.workers[sim.workerIDs()[0]]
	f.capacity.Accelerators = 1
	sim.ctl.SetWorker(f.info(), sim.nowOf(sim.ctl))
	for i := range 20 {
		sim.submitFor("south", simpleJob(fmt.Sprintf("scarce%d", i), "batch", 5, 100, func(s *workload.Step) { s.Size.Accelerators = 1 }))
	}
	sim.submitFor("north", simpleJob("n", "batch", 600, 1000, nil))
	sim.submitFor("south", simpleJob("s", "batch", 600, 1000, nil))
	sim.advance(3500 * time.Millisecond)
	sim.wantShareOfNorth("beside the backlog", 0.5)
}
