package policytest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/scheduler/baseline"
	"dotterelhitch/internal/scheduler/health"
)

// OverloadSetup is an experiment with requests to the endpoints of one entry.
type OverloadSetup struct {
	Seed uint64
	// Load is the offered rate as a multiple of capacity.
	Load float64
	// SlowEndpoints is the number of endpoints that take ten times as long.
	SlowEndpoints int
	// UseBaseline selects the baseline: one FIFO queue, the head goes to a random
	// endpoint with a free slot.
	UseBaseline bool
}

// OverloadResult is what came of the requests after the warm-up.
type OverloadResult struct {
	// Goodput is the work of answers within target, each counted by the mean of its
	// class, as a share of what all slots can do.
	Goodput float64
	// LateShare is the share of answers that came after the target.
	LateShare float64
	// AnswerP99 is the 99th percentile of the answer time of what was answered, by
	// class, as a share of the target.
	AnswerP99 map[string]float64
	// InTimeShare is the share of a class's requests answered within target.
	InTimeShare map[string]float64
	// RefusedShare is the share of requests told not run.
	RefusedShare float64
	// RefusalP99 is the 99th percentile of the time to that, as a share of the
	// target.
	RefusalP99 float64
	// SlowShare is the share of requests sent to slow endpoints.
	SlowShare float64
}

const (
	overloadWorkers = 12
	overloadSlots   = 8
	overloadWarmup  = 4 * time.Second
	overloadTime    = 10 * time.Second
	slowFactor      = 10
	serviceSigma    = 0.5
	expirePeriod    = 10 * time.Millisecond
)

// requestClass is a class of requests with its share of arrivals.
type requestClass struct {
	name   string
	share  float64
	mean   time.Duration
	within time.Duration
}

var requestClasses = []requestClass{
	{name: "lookup", share: 0.8, mean: 20 * time.Millisecond, within: 300 * time.Millisecond},
	{name: "ticket", share: 0.2, mean: 50 * time.Millisecond, within: time.Second},
}

// meanService is the mean service time over the mix of classes.
func meanService() time.Duration {
	var mean float64
	for _, c := range requestClasses {
		mean += c.share * float64(c.mean)
	}
	return time.Duration(mean)
}

// overload is the model: one queue and some endpoints.
type overload struct {
	OverloadSetup
	*clock
	rng     *rand.Rand
	control *admission.Controller
	picker  *health.Picker
	// plain is the baseline's queue.
	plain *baseline.Queue[*arrival]
	byID  map[string]*arrival

	capacity float64
	answered map[string][]float64
	inTime   int
	work     time.Duration
	late     int
	offered  map[string]int
	refused  []float64
	sent     int
	sentSlow int
}

// arrival is a request under way.
type arrival struct {
	id      string
	class   *requestClass
	at      time.Time
	service time.Duration
}

// RunOverload runs the experiment.
func RunOverload(setup OverloadSetup) OverloadResult {
	m := &overload{
		OverloadSetup: setup,
		clock:         newClock(),
		rng:           newRand(setup.Seed),
		control:       admission.NewController(),
		byID:          make(map[string]*arrival),
		answered:      make(map[string][]float64),
		offered:       make(map[string]int),
	}
	m.picker = health.NewPicker(newRand(setup.Seed + 1))
	for i := range overloadWorkers {
		m.picker.Upsert(fmt.Sprint(i), overloadSlots)
	}
	m.plain = baseline.NewQueue[*arrival](m.rng, overloadWorkers, overloadSlots)
	m.control.SetSlots(overloadWorkers * overloadSlots)
	m.capacity = m.slotRate()
	m.arrive()
	m.every(expirePeriod, m.expire)
	m.run(overloadWarmup + overloadTime)
	return m.result()
}

// slotRate is the number of requests a second that the endpoints can answer, if
// slots are kept busy. A slow endpoint has a tenth of the rate.
func (m *overload) slotRate() float64 {
	fast := float64(overloadWorkers-m.SlowEndpoints) + float64(m.SlowEndpoints)/slowFactor
	return fast * overloadSlots / meanService().Seconds()
}

// arrive takes a request and plans the next arrival.
func (m *overload) arrive() {
	rate := m.capacity * m.Load
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	a := &arrival{id: fmt.Sprint(m.seq), class: &requestClasses[0], at: m.now}
	if m.rng.Float64() < requestClasses[1].share {
		a.class = &requestClasses[1]
	}
	a.service = lognormal(m.rng, a.class.mean, serviceSigma)
	if m.counts(a) {
		m.offered[a.class.name]++
	}
	if m.UseBaseline {
		m.plain.Add(a)
		m.startPlain()
		return
	}
	m.offer(a)
}

// counts reports whether a request came after the warm-up.
func (m *overload) counts(a *arrival) bool { return a.at.Sub(epoch) >= overloadWarmup }

// offer lets admission decide.
func (m *overload) offer(a *arrival) {
	r := admission.Request{
		ID: a.id, Class: a.class.name, Deadline: a.at.Add(a.class.within), Target: a.class.within,
	}
	switch m.control.Admit(m.now, r).Verdict {
	case admission.Run:
		m.send(a)
	case admission.Wait:
		m.byID[a.id] = a
	default:
		m.refuse(a)
	}
}

// send dispatches a request that holds a slot.
func (m *overload) send(a *arrival) {
	e := m.picker.Pick(m.now)
	var worker int
	_, _ = fmt.Sscan(e.ID, &worker)
	took := m.took(a, worker)
	m.after(took, func() {
		m.picker.Done(m.now, e.ID, took, m.control.ServiceTime(a.class.name).Mean(), health.AttemptAnswered)
		m.control.Done(m.now, a.class.name, took)
		m.control.SetSlots(m.picker.Slots())
		m.answer(a)
		m.next()
	})
}

// next starts waiting requests and reports dropped ones.
func (m *overload) next() {
	for {
		r, ok := m.control.Next(m.now)
		if !ok {
			break
		}
		a := m.byID[r.ID]
		delete(m.byID, r.ID)
		m.send(a)
	}
	m.drop()
}

// expire drops what can't be answered in time any more.
func (m *overload) expire() {
	m.control.DropExpired(m.now)
	m.drop()
}

// drop refuses the requests that admission has dropped.
func (m *overload) drop() {
	for _, d := range m.control.TakeDropped(m.now) {
		m.refuse(m.byID[d.ID])
		delete(m.byID, d.ID)
	}
}

// startPlain sends the head of the baseline's queue while slots are free.
func (m *overload) startPlain() {
	for {
		a, worker, ok := m.plain.Next()
		if !ok {
			return
		}
		m.after(m.took(a, worker), func() {
			m.plain.Done(worker)
			m.answer(a)
			m.startPlain()
		})
	}
}

// took is how long an endpoint takes for a request.
func (m *overload) took(a *arrival, worker int) time.Duration {
	if m.counts(a) {
		m.sent++
	}
	if worker >= m.SlowEndpoints {
		return a.service
	}
	if m.counts(a) {
		m.sentSlow++
	}
	return a.service * slowFactor
}

// answer counts an answer.
func (m *overload) answer(a *arrival) {
	if !m.counts(a) {
		return
	}
	share := m.now.Sub(a.at).Seconds() / a.class.within.Seconds()
	m.answered[a.class.name] = append(m.answered[a.class.name], share)
	if share <= 1 {
		m.inTime++
		m.work += a.class.mean
	} else {
		m.late++
	}
}

// refuse counts a request told not run.
func (m *overload) refuse(a *arrival) {
	if m.counts(a) {
		m.refused = append(m.refused, m.now.Sub(a.at).Seconds()/a.class.within.Seconds())
	}
}

// result sums up.
func (m *overload) result() OverloadResult {
	offered := 0
	for _, n := range m.offered {
		offered += n
	}
	r := OverloadResult{
		Goodput:      m.work.Seconds() / overloadTime.Seconds() / (m.capacity * meanService().Seconds()),
		LateShare:    float64(m.late) / float64(max(m.inTime+m.late, 1)),
		RefusedShare: float64(len(m.refused)) / float64(offered),
		RefusalP99:   quantile(m.refused, 0.99),
		SlowShare:    float64(m.sentSlow) / float64(max(m.sent, 1)),
		AnswerP99:    make(map[string]float64),
		InTimeShare:  make(map[string]float64),
	}
	for class, shares := range m.answered {
		r.AnswerP99[class] = quantile(shares, 0.99)
		inTime := slices.DeleteFunc(shares, func(share float64) bool { return share > 1 })
		r.InTimeShare[class] = float64(len(inTime)) / float64(m.offered[class])
	}
	return r
}
