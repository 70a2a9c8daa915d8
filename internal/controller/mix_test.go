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

// A mix of unlike classes near the capacity of the workers: wide gangs of large tasks that
// only a third of the workers may run, batch work that fills, and small jobs with a tight
// target.

// mixClass is the load of one class.
type mixClass struct {
	name     string
	class    workload.Class
	perS     float64 // jobs a second
	good     float64 // share of workers that the advisor allows
	steps    float64 // share of jobs with a second step
	width    float64 // mean tasks a step
	widest   float64
	cpu      float64 // mean thousandths of a core a task
	cpuMost  float64
	mem      float64 // mean MiB a task
	memMost  float64
	work     time.Duration // mean run time of a task
	gang     float64       // share of gangs
	saves    float64       // share of jobs that checkpoint
	twice    float64       // share of jobs whose tasks may run twice
	worth    float64
	estimate float64 // spread of the estimates
}

func mixClasses() []mixClass {
	advice := func(decision, each float64) *workload.AdvisorTiming {
		return &workload.AdvisorTiming{
			DecisionTime:   time.Duration(decision * float64(time.Millisecond)),
			TimePerWorker:  time.Duration(each * float64(time.Millisecond)),
			TicketValidity: 2 * time.Second,
		}
	}
	return []mixClass{
		{
			name: "gangs", perS: 1.81, good: 0.35, steps: 0.2, width: 5.1, widest: 26,
			class: workload.Class{Service: "svc", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond, Advisor: advice(410, 5.9)},
			cpu:   9000, cpuMost: 15000, mem: 13000, memMost: 26000, work: 6200 * time.Millisecond, gang: 1, saves: 0.5, worth: 8.95, estimate: 0.5,
		},
		{
			name: "batch", perS: 6.79, good: 0.45, steps: 0.5, width: 10, widest: 60,
			class: workload.Class{Service: "svc", Priority: 2, MaxAttempts: 3, Stretch: 4, Target: 3 * time.Second, Advisor: advice(53, 0.75)},
			cpu:   2000, cpuMost: 5900, mem: 2000, memMost: 6000, work: 2200 * time.Millisecond, saves: 0.8, twice: 0.2, worth: 1.49, estimate: 0.9,
		},
		{
			name: "tight", perS: 30.8, good: 0.7, width: 2, widest: 12,
			class: workload.Class{Service: "svc", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 400 * time.Millisecond, Advisor: advice(12, 0.17)},
			cpu:   2800, cpuMost: 8400, mem: 5200, memMost: 15000, work: time.Second, gang: 0.3, worth: 0.459, estimate: 0.2,
		},
	}
}

// mixJob is a job of the mix with what is known of it.
type mixJob struct {
	class   int
	sent    time.Time
	chain   time.Duration
	work    float64 // core-seconds
	ended   time.Time
	state   workload.JobState
	actuals map[workload.TaskID]time.Duration
}

// mix plays a load and keeps the jobs.
type mix struct {
	*world
	classes []mixClass
	load    float64 // times the mean load
	speeds  []float64
	list    map[string]*mixJob
	rng     *rand.Rand
	next    int
	fate    int
}

func newMix(t testing.TB, seed uint64, workers int, load float64) *mix {
	m := &mix{
		world:   newWorld(t, seed),
		classes: mixClasses(),
		load:    load,
		speeds:  []float64{1, 1, 1.3},
		list:    map[string]*mixJob{},
		rng:     rand.New(rand.NewPCG(seed, 7)),
	}
	m.config.Classes = map[string]*workload.Class{}
	for i := range m.classes {
		c := &m.classes[i]
		c.class.Name = c.name
		m.config.Classes[c.name] = &c.class
	}
	m.lanes = []string{"l1", "l2", "l3", "l4", "l5", "l6", "l7", "l8", "l9"}
	m.addWorkers(workers, 32000)
	m.run = m.runTime
	m.share = func(step workload.StepID) float64 { return m.classes[m.list[step.Job].class].good }
	m.lead(true)
	m.play(time.Second)
	return m
}

// skewed draws from a skewed distribution with a mean, a spread and a largest value.
func skewed(rng *rand.Rand, mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2), most)
}

// runTime is the run time of a task on a worker, as was drawn with its job.
func (m *mix) runTime(id workload.TaskID, f *fakeWorker) (time.Duration, workload.EndReason) {
	j := m.list[id.Job]
	speed := m.speeds[int(fnv(f.id))%len(m.speeds)]
	how := workload.EndDone
	m.fate++
	if fnv(fmt.Sprint(id, m.fate))%100 == 0 {
		how = workload.EndFailed
	}
	return time.Duration(float64(j.actuals[id]) / speed), how
}

// arrive hands in a job of a class.
func (m *mix) arrive(class int) {
	c := &m.classes[class]
	id := fmt.Sprintf("%s-%d", c.name, m.next)
	m.next++
	job := &workload.Job{ID: id, Class: c.name, Payload: "payload of " + id}
	known := &mixJob{class: class, sent: m.now, actuals: map[workload.TaskID]time.Duration{}}
	steps := 1
	if m.rng.Float64() < c.steps {
		steps = 2
	}
	gang := m.rng.Float64() < c.gang
	saves := m.rng.Float64() < c.saves
	twice := m.rng.Float64() < c.twice
	for s := range steps {
		took := skewed(m.rng, float64(c.work), 0.5, 2.5*float64(c.work))
		step := workload.Step{
			Count: max(1, int(math.Round(skewed(m.rng, c.width, 0.7, c.widest)))),
			Size: structs.Resources{
				CPUMilli:  int64(skewed(m.rng, c.cpu, 0.4, c.cpuMost)),
				MemoryMiB: int64(skewed(m.rng, c.mem, 0.5, c.memMost)),
			},
			EstimateMs:       int64(skewed(m.rng, took, c.estimate, 4*took) / 1e6),
			Gang:             gang,
			SavesCheckpoints: saves,
			AllowCopies:      twice && !gang,
		}
		if s > 0 {
			step.DependsOn = []int{s - 1}
		}
		longest := time.Duration(0)
		for i := range step.Count {
			d := took
			if !gang {
				d = skewed(m.rng, took, 0.3, 2*took)
			}
			known.actuals[workload.TaskID{StepID: workload.StepID{Job: id, Step: s}, Index: i}] = time.Duration(d)
			longest = max(longest, time.Duration(d))
			known.work += d / 1e9 * float64(step.Size.CPUMilli) / 1000
		}
		known.chain += longest + c.class.Advisor.CallTime(chainAdviceWorkers)
		job.Steps = append(job.Steps, step)
	}
	m.list[id] = known
	m.submit(job)
}

// arrivals hands jobs in at random for a time.
func (m *mix) arrivals(d time.Duration) {
	end := m.now.Add(d)
	for class := range m.classes {
		at := m.now
		for {
			at = at.Add(time.Duration(m.rng.ExpFloat64() / (m.classes[class].perS * m.load) * float64(time.Second)))
			if at.After(end) {
				break
			}
			m.at(at, func() { m.arrive(class) })
		}
	}
	m.playWatching(d)
}

// watchPeriod is how often the states of jobs are read.
const watchPeriod = 50 * time.Millisecond

// playWatching plays and notes when jobs end.
func (m *mix) playWatching(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.play(min(watchPeriod, end.Sub(m.now)))
		for id, j := range m.list {
			if j.ended.IsZero() {
				if state := m.state(id); state.Ended() {
					j.ended = m.now
					j.state = state
				}
			}
		}
	}
}

// mixResult is how a class was served.
type mixResult struct {
	jobs, inTime, late int
	worth, owed        float64
	longest            time.Duration
}

// results weighs each class: in time the whole worth, up to three times the objective a
// fifth of it.
func (m *mix) results() []mixResult {
	out := make([]mixResult, len(m.classes))
	mean := make([]float64, len(m.classes))
	for _, j := range m.list {
		out[j.class].jobs++
		mean[j.class] += j.work
	}
	for _, j := range m.list {
		r := &out[j.class]
		c := &m.classes[j.class]
		worth := c.worth * min(0.3+0.7*j.work/(mean[j.class]/float64(r.jobs)), 4)
		r.owed += worth
		if j.ended.IsZero() || j.state != workload.JobCompleted {
			continue
		}
		took := j.ended.Sub(j.sent)
		r.longest = max(r.longest, took)
		objective := time.Duration(c.class.Stretch*float64(j.chain)) + c.class.Target
		switch {
		case took <= objective:
			r.inTime++
			r.worth += worth
		case took <= 3*objective:
			r.late++
			r.worth += worth / 5
		}
	}
	return out
}

// playDay plays the mix with a burst of tight jobs and one of gangs.
func (m *mix) playDay() {
	m.arrivals(10 * time.Second)
	m.classes[2].perS *= 2
	m.arrivals(4 * time.Second)
	m.classes[2].perS /= 2
	m.arrivals(6 * time.Second)
	m.classes[0].perS *= 1.9
	m.arrivals(4 * time.Second)
	m.classes[0].perS /= 1.9
	m.arrivals(14 * time.Second)
	m.playWatching(14 * time.Second)
}

// TestMixNearCapacity plays the mix at and above its mean load.
func TestMixNearCapacity(t *testing.T) {
	if testing.Short() {
		t.Skip("plays minutes")
	}
	for _, load := range []float64{1, 1.15} {
		var sum [3]mixResult
		for seed := range uint64(4) {
			m := newMix(t, seed, 48, load)
			m.playDay()
			for i, r := range m.results() {
				sum[i].add(r)
			}
		}
		for i, r := range sum {
			t.Logf("load %.2f %-6s %4d jobs, %.3f in time, %.3f late, worth %.3f, longest %v", load,
				mixClasses()[i].name, r.jobs, float64(r.inTime)/float64(r.jobs), float64(r.late)/float64(r.jobs), r.worth/r.owed, r.longest)
		}
	}
}

func (r *mixResult) add(o mixResult) {
	r.jobs += o.jobs
	r.inTime += o.inTime
	r.late += o.late
	r.worth += o.worth
	r.owed += o.owed
	r.longest = max(r.longest, o.longest)
}
