package controller

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/advisorqueue"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// The parts of the load of newWaitingCell.
const (
	waitingUrgent = 700
	waitingGangs  = 100
	waitingBatch  = 200
	// knownVerdicts is the number of workers on which the advisor has given its verdict for each waiting step.
	knownVerdicts = 100
)

// newWaitingCell returns a cell of 350 workers that long batch runs nearly fill, with 1,000 waiting steps: urgent
// steps of a few tasks, gangs of 16 and batch steps of 25. All of them need the advisor's tickets and have some.
// No worker has room for a task.
func newWaitingCell(t testing.TB) *simulation {
	sim := newSimulation(t, 1)
	advisor := func(decision time.Duration) *workload.AdvisorTiming {
		return &workload.AdvisorTiming{DecisionTime: decision, TimePerWorker: 160 * time.Microsecond, TicketValidity: 2500 * time.Millisecond}
	}
	sim.config.Classes = map[string]*workload.Class{
		"fill":   {Name: "fill", Service: "svc", MaxAttempts: 3, Stretch: 4, Target: 3 * time.Second, Priority: 2},
		"urgent": {Name: "urgent", Service: "svc", MaxAttempts: 3, Stretch: 1.5, Target: 400 * time.Millisecond, Advisor: advisor(11 * time.Millisecond)},
		"gangs":  {Name: "gangs", Service: "svc", MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond, Priority: 1, Advisor: advisor(430 * time.Millisecond)},
		"batch":  {Name: "batch", Service: "svc", MaxAttempts: 3, Stretch: 4, Target: 3 * time.Second, Priority: 2, Advisor: advisor(120 * time.Millisecond)},
	}
	sim.advisorEntries = nil
	for i := range 32 {
		sim.advisorEntries = append(sim.advisorEntries, fmt.Sprintf("entry-%02d", i))
	}
	sim.addWorkers(350, 32000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return time.Hour, workload.EndDone
	}
	sim.startController(true)
	sim.advance(time.Second)
	for i := range 126 {
		sim.submit(simpleJob(fmt.Sprintf("fill-%d", i), "fill", 25, 3500, func(s *workload.Step) {
			s.Size.MemoryMiB = 5000
			s.EstimateMs = int64(20000 + 100*i)
			s.SavesCheckpoints = i%2 == 0
		}))
	}
	sim.advance(2 * time.Second)
	sim.ctl.SetAdvisorEntries(nil)
	sim.submitWaiting()
	sim.advance(40 * time.Millisecond)
	sim.ctl.SetAdvisorEntries(sim.advisorEntries)
	sim.giveVerdicts()
	return sim
}

// submitWaiting submits the jobs that wait.
func (sim *simulation) submitWaiting() {
	for i := range waitingUrgent {
		sim.submit(simpleJob(fmt.Sprintf("urgent-%d", i), "urgent", 1+i%5, 5000, func(s *workload.Step) {
			s.Size = structs.Resources{CPUMilli: int64(4000 + 10*i), MemoryMiB: 8000}
			s.EstimateMs = 600
		}))
	}
	for i := range waitingGangs {
		sim.submit(simpleJob(fmt.Sprintf("gang-%d", i), "gangs", 16, 9000, func(s *workload.Step) {
			s.Size.MemoryMiB = 13000
			s.EstimateMs = int64(5000 + 10*i)
			s.Gang = true
		}))
	}
	for i := range waitingBatch {
		sim.submit(simpleJob(fmt.Sprintf("batch-%d", i), "batch", 25, 3500, func(s *workload.Step) {
			s.Size.MemoryMiB = 4000
			s.EstimateMs = int64(2000 + 10*i)
		}))
	}
}

// giveVerdicts gives each waiting step the advisor's verdicts on some workers.
func (sim *simulation) giveVerdicts() {
	now := sim.nowOf(sim.ctl)
	ids := sim.workerIDs()
	for s := range sim.ctl.readySteps {
		s.advice = &stepAdvice{verdicts: map[*worker]verdict{}, ticketsUntil: now.Add(2 * time.Second)}
		first := int(fnv(s.id().String())) % len(ids)
		for i := range knownVerdicts {
			id := ids[(first+i)%len(ids)]
			w := sim.ctl.workers[id]
			s.advice.verdicts[w] = verdict{boot: w.boot, allowed: sim.advisorAllows(s.id(), id), ticket: "ticket", expiresAt: s.advice.ticketsUntil}
		}
	}
}

// freeAdvisorEntries ends all calls of the advisor without an answer.
func (c *Controller) freeAdvisorEntries(names []string) {
	c.advisorQueue = advisorqueue.New()
	c.SetAdvisorEntries(names)
	for s := range c.readySteps {
		if s.advice != nil {
			s.advice.callsInFlight = 0
		}
	}
	c.orders = Orders{}
}

// TestPlacementPassAllocatesLittle guards the cost of a pass over 1,000 waiting steps for which there is no room: it
// allocated for each step and worker. The bound is a multiple of what a pass allocates now.
func TestPlacementPassAllocatesLittle(t *testing.T) {
	sim := newWaitingCell(t)
	now := sim.nowOf(sim.ctl)
	sim.ctl.runPlacementPass(now)
	if steps := len(sim.ctl.readySteps); steps != waitingUrgent+waitingGangs+waitingBatch {
		t.Fatalf("%d steps wait", steps)
	}
	if n := testing.AllocsPerRun(20, func() { sim.ctl.runPlacementPass(now) }); n > 500 {
		t.Errorf("a pass makes %v allocations", n)
	}
}

// TestUrgentWorkIsDecidedSoon bounds the time between two passes with 1,000 waiting steps on 350 workers. With a
// pass of a few milliseconds, urgent work is then decided within 50 ms.
func TestUrgentWorkIsDecidedSoon(t *testing.T) {
	sim := newWaitingCell(t)
	if interval := sim.ctl.placementInterval(); interval > 33*time.Millisecond {
		t.Errorf("%v between two passes", interval)
	}
	sim.ctl.readySteps = nil
	if interval := sim.ctl.placementInterval(); interval > minPlacementInterval {
		t.Errorf("%v between two passes while nothing waits", interval)
	}
}

// makeRoomElsewhere frees a third of each worker, and has the advisor forbid all workers that it was asked about.
func (sim *simulation) makeRoomElsewhere() {
	for _, w := range sim.ctl.workers {
		w.used = w.used.Sub(structs.Resources{CPUMilli: 12000, MemoryMiB: 12000})
	}
	for s := range sim.ctl.readySteps {
		for w, v := range s.advice.verdicts {
			v.allowed = false
			s.advice.verdicts[w] = v
		}
	}
}

// BenchmarkPlacementPass measures a pass over the load of newWaitingCell, in which nothing can be started: with all
// entries of the advisor busy, with all of them idle, and idle with room on all workers but those that are allowed.
func BenchmarkPlacementPass(b *testing.B) {
	for _, name := range []string{"busy advisor", "idle advisor", "room elsewhere"} {
		b.Run(name, func(b *testing.B) {
			sim := newWaitingCell(b)
			now := sim.nowOf(sim.ctl)
			sim.ctl.runPlacementPass(now)
			switch name {
			case "busy advisor":
				sim.ctl.SetAdvisorEntries(nil)
			case "room elsewhere":
				sim.makeRoomElsewhere()
			}
			b.ReportAllocs()
			for b.Loop() {
				if name != "busy advisor" {
					sim.ctl.freeAdvisorEntries(sim.advisorEntries)
				}
				sim.ctl.runPlacementPass(now)
			}
			b.ReportMetric(float64(len(sim.ctl.readySteps)), "steps")
		})
	}
}
