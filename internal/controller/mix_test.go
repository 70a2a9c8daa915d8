package controller

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// The tests below run a mix of different classes near the capacity of the workers: gangs with
// many large tasks that only a third of the workers may run, batch jobs that fill the rest,
// and small jobs with a tight target.

// mixClass describes the load of one class.
type mixClass struct {
	name            string
	class           workload.Class
	jobsPerSecond   float64
	allowedShare    float64 // share of workers that the advisor allows
	twoStepShare    float64 // share of jobs with a second step
	meanTasks       float64 // per step
	maxTasks        float64
	meanCPU         float64 // thousandths of a core per task
	maxCPU          float64
	meanMemory      float64 // MiB per task
	maxMemory       float64
	meanRunTime     time.Duration // of a task
	gangShare       float64       // share of jobs that are gangs
	checkpointShare float64       // share of jobs whose tasks save checkpoints
	copyShare       float64       // share of jobs that allow speculative copies
	meanValue       float64
	estimateSpread  float64 // spread of the estimates
}

func mixClasses() []mixClass {
	advisorTiming := func(decision, perWorker float64) *workload.AdvisorTiming {
		return &workload.AdvisorTiming{
			DecisionTime:   time.Duration(decision * float64(time.Millisecond)),
			TimePerWorker:  time.Duration(perWorker * float64(time.Millisecond)),
			TicketValidity: 2 * time.Second,
		}
	}
	return []mixClass{
		{
			name: "gangs", jobsPerSecond: 1.81, allowedShare: 0.35, twoStepShare: 0.2, meanTasks: 5.1, maxTasks: 26,
			class:   workload.Class{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond, Advisor: advisorTiming(410, 5.9)},
			meanCPU: 9000, maxCPU: 15000, meanMemory: 13000, maxMemory: 26000, meanRunTime: 6200 * time.Millisecond, gangShare: 1, checkpointShare: 0.5, meanValue: 8.95, estimateSpread: 0.5,
		},
		{
			name: "batch", jobsPerSecond: 6.79, allowedShare: 0.45, twoStepShare: 0.5, meanTasks: 10, maxTasks: 60,
			class:   workload.Class{Service: "svc", Priority: 2, MaxAttempts: 3, Stretch: 4, Target: 3 * time.Second, Advisor: advisorTiming(53, 0.75)},
			meanCPU: 2000, maxCPU: 5900, meanMemory: 2000, maxMemory: 6000, meanRunTime: 2200 * time.Millisecond, checkpointShare: 0.8, copyShare: 0.2, meanValue: 1.49, estimateSpread: 0.9,
		},
		{
			name: "tight", jobsPerSecond: 30.8, allowedShare: 0.7, meanTasks: 2, maxTasks: 12,
			class:   workload.Class{Service: "svc", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 400 * time.Millisecond, Advisor: advisorTiming(12, 0.17)},
			meanCPU: 2800, maxCPU: 8400, meanMemory: 5200, maxMemory: 15000, meanRunTime: time.Second, gangShare: 0.3, meanValue: 0.459, estimateSpread: 0.2,
		},
	}
}

// mixJob is a job of the mix with the values drawn for it.
type mixJob struct {
	class        int
	submittedAt  time.Time
	criticalPath time.Duration
	coreSeconds  float64
	endedAt      time.Time
	state        workload.JobState
	runTimes     map[workload.TaskID]time.Duration
}

// mix is a simulation with a random load.
type mix struct {
	*simulation
	classes    []mixClass
	loadFactor float64 // multiple of the mean load
	speeds     []float64
	mixJobs    map[string]*mixJob
	rng        *rand.Rand
	nextJob    int
	// nextTeam draws the team of a job, nil for jobs without a team.
	nextTeam    func(id string) string
	resultDraws int
}

func newMix(t testing.TB, seed uint64, workers int, load float64) *mix {
	m := newMixOf(t, seed, workers, 32000, mixClasses())
	m.loadFactor = load
	return m
}

// newMixOf returns a mix of some classes on workers with an amount of processor time each, in
// thousandths of a core.
func newMixOf(t testing.TB, seed uint64, workers int, cpuMilli int64, classes []mixClass) *mix {
	m := &mix{
		simulation: newSimulation(t, seed),
		classes:    classes,
		loadFactor: 1,
		speeds:     []float64{1, 1, 1.3},
		mixJobs:    map[string]*mixJob{},
		rng:        rand.New(rand.NewPCG(seed, 7)),
	}
	m.config.Classes = map[string]*workload.Class{}
	for i := range m.classes {
		c := &m.classes[i]
		c.class.Name = c.name
		m.config.Classes[c.name] = &c.class
	}
	m.advisorEntries = []string{"l1", "l2", "l3", "l4", "l5", "l6", "l7", "l8", "l9"}
	m.addWorkers(workers, cpuMilli)
	m.drawResult = m.drawTaskResult
	m.allowedShareOf = func(step workload.StepID) float64 { return m.classes[m.mixJobs[step.Job].class].allowedShare }
	m.startController(true)
	m.advance(time.Second)
	return m
}

// drawLogNormal draws from a log-normal distribution with a mean and a spread, cut off at a
// largest value.
func drawLogNormal(rng *rand.Rand, mean, spread, largest float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2), largest)
}

// drawTaskResult returns the run time of a task on a worker, from the value drawn for the
// task, and how the run ends.
func (m *mix) drawTaskResult(id workload.TaskID, f *fakeWorker) (time.Duration, workload.EndReason) {
	j := m.mixJobs[id.Job]
	speed := m.speeds[int(fnv(f.id))%len(m.speeds)]
	reason := workload.EndDone
	m.resultDraws++
	if fnv(fmt.Sprint(id, m.resultDraws))%100 == 0 {
		reason = workload.EndFailed
	}
	return time.Duration(float64(j.runTimes[id]) / speed), reason
}

// submitJobOf submits a job of a class.
func (m *mix) submitJobOf(class int) {
	c := &m.classes[class]
	id := fmt.Sprintf("%s-%d", c.name, m.nextJob)
	m.nextJob++
	job := &workload.Job{ID: id, Class: c.name, Payload: "payload of " + id}
	drawn := &mixJob{class: class, submittedAt: m.now, runTimes: map[workload.TaskID]time.Duration{}}
	steps := 1
	if m.rng.Float64() < c.twoStepShare {
		steps = 2
	}
	gang := m.rng.Float64() < c.gangShare
	saves := m.rng.Float64() < c.checkpointShare
	copies := m.rng.Float64() < c.copyShare
	for s := range steps {
		runTime := drawLogNormal(m.rng, float64(c.meanRunTime), 0.5, 2.5*float64(c.meanRunTime))
		step := workload.Step{
			Count: max(1, int(math.Round(drawLogNormal(m.rng, c.meanTasks, 0.7, c.maxTasks)))),
			Size: structs.Resources{
				CPUMilli:  int64(drawLogNormal(m.rng, c.meanCPU, 0.4, c.maxCPU)),
				MemoryMiB: int64(drawLogNormal(m.rng, c.meanMemory, 0.5, c.maxMemory)),
			},
			EstimateMs:       int64(drawLogNormal(m.rng, runTime, c.estimateSpread, 4*runTime) / 1e6),
			Gang:             gang,
			SavesCheckpoints: saves,
			AllowCopies:      copies && !gang,
		}
		if s > 0 {
			step.DependsOn = []int{s - 1}
		}
		longest := time.Duration(0)
		for i := range step.Count {
			d := runTime
			if !gang {
				d = drawLogNormal(m.rng, runTime, 0.3, 2*runTime)
			}
			drawn.runTimes[workload.TaskID{StepID: workload.StepID{Job: id, Step: s}, Index: i}] = time.Duration(d)
			longest = max(longest, time.Duration(d))
			drawn.coreSeconds += d / 1e9 * float64(step.Size.CPUMilli) / 1000
		}
		drawn.criticalPath += longest + c.class.Advisor.CallTime(assumedWorkersPerCall)
		job.Steps = append(job.Steps, step)
	}
	m.mixJobs[id] = drawn
	if m.nextTeam != nil {
		job.Team = m.nextTeam(id)
	}
	m.submit(job)
}

// playArrivals submits jobs at random times for a while.
func (m *mix) playArrivals(d time.Duration) {
	end := m.now.Add(d)
	for class := range m.classes {
		at := m.now
		for {
			at = at.Add(time.Duration(m.rng.ExpFloat64() / (m.classes[class].jobsPerSecond * m.loadFactor) * float64(time.Second)))
			if at.After(end) {
				break
			}
			m.at(at, func() { m.submitJobOf(class) })
		}
	}
	m.advanceAndWatch(d)
}

// watchPeriod is how often the states of jobs are read.
const watchPeriod = 50 * time.Millisecond

// advanceAndWatch runs the simulation and records when jobs end.
func (m *mix) advanceAndWatch(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.advance(min(watchPeriod, end.Sub(m.now)))
		for id, j := range m.mixJobs {
			if j.endedAt.IsZero() {
				if state := m.state(id); state.Ended() {
					j.endedAt = m.now
					j.state = state
				}
			}
		}
	}
}

// mixResult is the result of one class. late counts the jobs that ended within three times
// the allowed time, but not on time.
type mixResult struct {
	jobs, onTime, late int
	value, maxValue    float64
	longestTime        time.Duration
}

// results sums the value of the jobs of each class. A job that ends on time gives its whole
// value, one that ends within three times the allowed time a fifth of it.
func (m *mix) results() []mixResult {
	out := make([]mixResult, len(m.classes))
	mean := make([]float64, len(m.classes))
	for _, j := range m.mixJobs {
		out[j.class].jobs++
		mean[j.class] += j.coreSeconds
	}
	for _, j := range m.mixJobs {
		r := &out[j.class]
		c := &m.classes[j.class]
		value := c.meanValue * min(0.3+0.7*j.coreSeconds/(mean[j.class]/float64(r.jobs)), 4)
		r.maxValue += value
		if j.endedAt.IsZero() || j.state != workload.JobCompleted {
			continue
		}
		elapsed := j.endedAt.Sub(j.submittedAt)
		r.longestTime = max(r.longestTime, elapsed)
		allowedTime := time.Duration(c.class.Stretch*float64(j.criticalPath)) + c.class.Target
		switch {
		case elapsed <= allowedTime:
			r.onTime++
			r.value += value
		case elapsed <= 3*allowedTime:
			r.late++
			r.value += value / 5
		}
	}
	return out
}

// playLoad runs the mix with a burst of tight jobs and one of gangs.
func (m *mix) playLoad() {
	m.playArrivals(10 * time.Second)
	m.classes[2].jobsPerSecond *= 2
	m.playArrivals(4 * time.Second)
	m.classes[2].jobsPerSecond /= 2
	m.playArrivals(6 * time.Second)
	m.classes[0].jobsPerSecond *= 1.9
	m.playArrivals(4 * time.Second)
	m.classes[0].jobsPerSecond /= 1.9
	m.playArrivals(14 * time.Second)
	m.advanceAndWatch(14 * time.Second)
}

// TestMixNearCapacity runs the mix at and above its mean load and logs the results.
func TestMixNearCapacity(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates minutes of load")
	}
	for _, load := range []float64{1, 1.15} {
		var sum [3]mixResult
		for seed := range uint64(4) {
			m := newMix(t, seed, 48, load)
			m.playLoad()
			for i, r := range m.results() {
				sum[i].add(r)
			}
		}
		for i, r := range sum {
			t.Logf("load %.2f %-6s %4d jobs, %.3f on time, %.3f late, value %.3f, longest %v", load,
				mixClasses()[i].name, r.jobs, float64(r.onTime)/float64(r.jobs), float64(r.late)/float64(r.jobs), r.value/r.maxValue, r.longestTime)
		}
	}
}

func (r *mixResult) add(o mixResult) {
	r.jobs += o.jobs
	r.onTime += o.onTime
	r.late += o.late
	r.value += o.value
	r.maxValue += o.maxValue
	r.longestTime = max(r.longestTime, o.longestTime)
}
