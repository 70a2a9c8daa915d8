package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/linear"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/relay"
	"dotterelhitch/internal/structs"
)

// Sizes of the random mix of faults.
const (
	mixEntries   = 4
	mixWorkers   = 5
	mixFaults    = 18
	mixCallers   = 6
	mixJobPaces  = 3
	longestGap   = 1200 * time.Millisecond
	longestFault = 8 * time.Second
	gangName     = "summary"
)

const mixTopology = `
[log]
appends_per_second = 400
[list]
lag = "200ms"
`

// entrySlot is a place for an entry: its addresses outlast the process.
type entrySlot struct {
	at    entryPlace
	p     *process
	peers *relay.Relay
	log   *relay.Relay
	// restartAt is when a process that has ended is replaced.
	restartAt time.Time
	frozen    bool
	// listed is true once the platform's list shows the process as gone.
	listed bool
}

// workerSlot is a place for a worker; each process in it is a new instance.
type workerSlot struct {
	id    string
	count int
	*running
	way *relay.Relay
}

// mix is a cell of separate processes under a schedule of faults.
type mix struct {
	*cell
	l       *load
	entries []*entrySlot
	workers []*workerSlot
	random  *rand.Rand
	// ends are what ends the faults that are under way, by time.
	ends map[string]fault
	// begun counts faults.
	begun int
	// jobs counts those that were accepted.
	jobs atomic.Int64
}

// fault is something that is to be undone at a time.
type fault struct {
	until time.Time
	end   func()
}

func newMix(t *testing.T) *mix {
	m := &mix{cell: startPrograms(t), ends: map[string]fault{}, random: rand.New(rand.NewPCG(seed(), mixFaults))}
	m.bounds = checker.Options{LeavingBound: settings.Default().Timing.LeavingBound, ConfigBound: configBound, RunEnded: true}
	m.addresses = m.startNamed("standin", "all", "--topology", m.write("topology.toml", mixTopology))
	for i := range mixWorkers {
		w := &workerSlot{}
		m.workers = append(m.workers, w)
		m.startWorker(i)
	}
	for i := range mixEntries {
		m.startSlot(i)
	}
	for _, s := range m.entries {
		m.cell.entries = append(m.cell.entries, s.p)
	}
	m.l = m.serve()
	m.setClass(structs.Class{Name: batchName, Kind: structs.KindBatch, Target: structs.Target{StartWithin: structs.Duration(time.Second)}})
	m.setClass(structs.Class{Name: gangName, Kind: structs.KindGang, Target: structs.Target{StartWithin: structs.Duration(time.Second)}})
	return m
}

// startSlot prepares a slot and its entry, each of whose ways has a relay.
func (m *mix) startSlot(i int) {
	addrs := freeAddrs(m.t, 3)
	s := &entrySlot{peers: m.newRelay(), log: m.newRelay()}
	s.at = entryPlace{
		name: fmt.Sprintf("casa-%d", i), region: "casa",
		caller: addrs[0], operator: addrs[1], peer: addrs[2], near: m.route(s.peers, addrs[2]),
		logAddr: m.route(s.log, m.addresses[standin.LogName]), listAddr: m.addresses[standin.ListName],
	}
	m.entries = append(m.entries, s)
	s.p = m.startEntryAt(s.at)
}

// startWorker starts a new instance in a slot.
func (m *mix) startWorker(i int) {
	w := m.workers[i]
	w.count++
	w.id, w.way = fmt.Sprintf("w%d-%d", i, w.count), m.newRelay()
	addr := freeAddrs(m.t, 1)[0]
	_, port, _ := net.SplitHostPort(addr)
	_, w.running = m.startStandin(w.id, "worker", "--id", w.id, "--port", port, "--advertise", m.route(w.way, addr),
		"--list", "http://"+m.addresses[standin.ListName], "--cores", "4", "--memory-gib", "8", "--slots", "4", "--service-time", "5ms")
	m.addresses[w.id] = addr
}

// record notes a fault of an instance for the checker.
func (m *mix) record(e event.Event) {
	e.Type = event.FaultInjected
	m.recorder.Record(e)
}

func (r *running) signal(sig syscall.Signal) { _ = r.cmd.Process.Signal(sig) }

func (r *running) over() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// tend ends the faults whose time has come, or all, and replaces entries that have
// ended.
func (m *mix) tend(all bool) {
	for name, f := range m.ends {
		if all || time.Now().After(f.until) {
			delete(m.ends, name)
			f.end()
		}
	}
	for _, s := range m.entries {
		if s.p.over() {
			m.replace(s, all)
		}
	}
}

// replace has the list show an ended entry as gone, as the platform does, and starts
// another when its time has come, or now.
func (m *mix) replace(s *entrySlot, now bool) {
	if !s.listed {
		s.listed = true
		m.admin(standin.ListName, "/admin/instances", fmt.Sprintf(`{"entries":[{"id":%q,"state":"gone"}]}`, s.p.addr.Member))
	}
	if now || time.Now().After(s.restartAt) {
		s.at.name = s.p.name + "n"
		s.p = m.startEntryAt(s.at)
		s.listed = false
	}
}

// begin starts a fault unless the same one is under way.
func (m *mix) begin(name string, lasts time.Duration, start, end func()) {
	if _, busy := m.ends[name]; busy {
		return
	}
	m.t.Logf("%s for %v", name, lasts.Round(time.Millisecond))
	m.begun++
	start()
	m.ends[name] = fault{until: time.Now().Add(lasts), end: end}
}

// next begins one fault of the schedule. It draws the same numbers whatever it meets.
func (m *mix) next() {
	kind, target := m.random.IntN(12), m.random.IntN(mixEntries*mixWorkers)
	way, lasts := m.random.IntN(3), time.Duration(m.random.Int64N(int64(longestFault)))
	e, w := m.entries[target%mixEntries], target%mixWorkers
	switch kind {
	case 0, 1:
		m.killEntry(e, lasts/2, kind == 0)
	case 2:
		m.freezeEntry(e, lasts)
	case 3:
		m.disturb(e.at.name+" from its peers", e.peers, way, lasts)
	case 4:
		m.disturb(e.at.name+" from the log", e.log, way, lasts)
	case 5:
		m.disturb(m.workers[w].id+" from the entries", m.workers[w].way, way, lasts)
	case 6:
		m.failLog(way, lasts/2)
	case 7:
		m.killWorker(w, lasts/2)
	case 8:
		m.freezeWorker(m.workers[w], lasts+settings.Default().Timing.Lease/2)
	case 9:
		m.loseAnswers(m.workers[w])
	case 10:
		m.leave(m.workers[w], lasts)
	case 11:
		m.race(e)
	}
}

// killEntry ends an entry at once or gracefully; another takes its place later.
func (m *mix) killEntry(s *entrySlot, later time.Duration, graceful bool) {
	if s.p.over() || s.frozen {
		return
	}
	m.t.Logf("%s ends, graceful %t, replaced after %v", s.at.name, graceful, later.Round(time.Millisecond))
	m.begun++
	s.restartAt = time.Now().Add(later)
	if graceful {
		s.p.signal(syscall.SIGTERM)
		return
	}
	s.p.signal(syscall.SIGKILL)
	<-s.p.ended
	m.record(event.Event{Member: s.p.addr.Member, State: checker.FaultKilled})
}

func (m *mix) freezeEntry(s *entrySlot, lasts time.Duration) {
	if s.p.over() || s.frozen {
		return
	}
	p := s.p
	m.begin(s.at.name+" frozen", lasts, func() {
		s.frozen = true
		p.signal(syscall.SIGSTOP)
		m.record(event.Event{Member: p.addr.Member, State: checker.FaultFrozen})
	}, func() {
		s.frozen = false
		p.signal(syscall.SIGCONT)
		m.record(event.Event{Member: p.addr.Member, State: checker.FaultThawed})
	})
}

// disturb cuts, silences or blackholes a relay's connections.
func (m *mix) disturb(name string, r *relay.Relay, way int, lasts time.Duration) {
	start := []func(){r.Cut, r.Silence, r.Blackhole}[way]
	m.begin(fmt.Sprintf("%s, way %d", name, way), lasts, start, r.Heal)
}

// failLog makes the log refuse, hang, or answer slowly and lose answers to appends.
func (m *mix) failLog(way int, lasts time.Duration) {
	body := []string{
		`{"outage":"refuse"}`, `{"outage":"hang"}`,
		`{"delay_ms":700,"lose":{"count":4,"effect_after_ms":300}}`,
	}[way]
	m.begin("log", lasts, func() { m.admin(standin.LogName, "/admin/faults", body) }, func() {
		m.admin(standin.LogName, "/admin/faults", `{"outage":"none","delay_ms":0}`)
	})
}

// killWorker ends a worker at once; the list says so later, and another joins.
func (m *mix) killWorker(i int, later time.Duration) {
	w := m.workers[i]
	m.begin(w.id, later, func() {
		id := w.id
		w.signal(syscall.SIGKILL)
		<-w.ended
		m.record(event.Event{Worker: id, State: checker.FaultKilled})
	}, func() {
		m.admin(standin.ListName, "/admin/state", fmt.Sprintf(`{"id":%q,"state":"gone"}`, w.id))
		m.startWorker(i)
	})
}

func (m *mix) freezeWorker(w *workerSlot, lasts time.Duration) {
	m.begin(w.id, lasts, func() {
		w.signal(syscall.SIGSTOP)
		m.record(event.Event{Worker: w.id, State: checker.FaultFrozen})
	}, func() {
		w.signal(syscall.SIGCONT)
		m.record(event.Event{Worker: w.id, State: checker.FaultThawed})
	})
}

// loseAnswers makes a worker lose answers to requests, starts and stops.
func (m *mix) loseAnswers(w *workerSlot) {
	if _, busy := m.ends[w.id]; !busy {
		m.t.Logf("%s loses answers", w.id)
		m.begun++
		m.admin(w.id, "/admin/faults", `{"lose_answers":3,"lose_starts":2,"lose_stops":1}`)
	}
}

// leave declares a worker as leaving, and later takes that back.
func (m *mix) leave(w *workerSlot, lasts time.Duration) {
	id := w.id
	declare := func(remove bool) func() {
		return func() {
			operators := m.operators(m.entries[0].p)
			operators.ServerURLs = append(operators.ServerURLs, "http://"+m.entries[1].at.operator, "http://"+m.entries[2].at.operator)
			go func() {
				_, _ = operators.SetLeaving(context.Background(), structs.LeavingDeclaration{Instance: id}, remove, 0)
			}()
		}
	}
	m.begin(id+" leaving", lasts, declare(false), declare(true))
}

// race has two operators change the class from the same version.
func (m *mix) race(e *entrySlot) {
	m.t.Log("operators race")
	m.begun++
	for i, s := range []*entrySlot{e, m.entries[0]} {
		operators := m.operators(s.p)
		go func() {
			class, err := operators.Class(context.Background(), className)
			if err != nil {
				return
			}
			class.Target.AnswerWithin = structs.Duration(time.Second + time.Duration(m.jobs.Load()*2+int64(i))*time.Millisecond)
			_, _ = operators.SetClass(context.Background(), class, class.Version)
		}()
	}
}

// submitJobs submits jobs and waits for the end of each, until stop is closed.
func (m *mix) submitJobs(pace int, stop chan struct{}) {
	random := rand.New(rand.NewPCG(seed(), uint64(pace)))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		job := structs.Job{
			Class: batchName, Count: 4 + random.IntN(8), Size: structs.Resources{CPUMilli: 400, MemoryMiB: 128},
			RunTime: structs.Duration(time.Duration(200+random.IntN(2500)) * time.Millisecond),
		}
		if pace == 0 {
			job.Class, job.Count = gangName, 3+random.IntN(4)
		}
		if id := m.submit(random, job, fmt.Sprintf("mix-%d-%d", pace, n)); id != "" {
			m.awaitJob(random, id)
		}
	}
}

// anyClient picks an entry.
func (m *mix) anyClient(random *rand.Rand) *caller.Client {
	return m.l.clients[random.IntN(len(m.l.clients))]
}

// submit repeats a submission under its key until it is accepted.
func (m *mix) submit(random *rand.Rand, job structs.Job, key string) string {
	for began := time.Now(); time.Since(began) < 2*patience; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		id, err := m.anyClient(random).SubmitJob(ctx, job, key)
		cancel()
		if err == nil {
			m.jobs.Add(1)
			m.recorder.Record(event.Event{Type: event.CallerJobAccepted, Job: id, Class: job.Class, Count: job.Count})
			return id
		}
	}
	m.t.Errorf("job %s was not accepted", key)
	return ""
}

func (m *mix) awaitJob(random *rand.Rand, id string) {
	var status structs.JobStatus
	for began := time.Now(); time.Since(began) < 2*patience; time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		got, err := m.anyClient(random).JobStatus(ctx, id, time.Second)
		cancel()
		if err != nil {
			continue
		}
		status = got
		if status.State != structs.JobPending && status.State != structs.JobRunning {
			m.recorder.Record(event.Event{Type: event.CallerJobEnded, Job: id, State: string(status.State)})
			return
		}
	}
	m.t.Errorf("job %s has not ended: %+v", id, status)
}

// TestRandomFaults lets a seeded mix of all faults loose on a cell of separate
// processes while requests with and without keys, batch jobs and gangs go on. After
// the last fault every accepted job ends, every entry answers, and the checker and the
// linear order of the keys find no violation.
func TestRandomFaults(t *testing.T) {
	m := newMix(t)
	stopLoad := m.l.run(seed(), mixCallers)
	stopJobs := make(chan struct{})
	var jobs sync.WaitGroup
	for pace := range mixJobPaces {
		jobs.Go(func() { m.submitJobs(pace, stopJobs) })
	}
	for range mixFaults {
		gap := time.Now().Add(time.Duration(m.random.Int64N(int64(longestGap))))
		for time.Now().Before(gap) {
			m.tend(false)
			time.Sleep(10 * time.Millisecond)
		}
		m.next()
	}
	m.tend(true)
	close(stopJobs)
	ended := make(chan struct{})
	go func() {
		jobs.Wait()
		stopLoad()
		close(ended)
	}()
	for open := true; open; {
		select {
		case <-ended:
			open = false
		case <-time.After(100 * time.Millisecond):
			m.tend(true)
		}
	}
	for _, client := range m.l.clients {
		await(t, "every entry answers", func() bool {
			m.tend(true)
			a := client.Do(context.Background(), caller.Call{Class: className, Idempotent: true, Deadline: time.Second, Body: []byte("x")})
			return a.Outcome == structs.OutcomeAnswered
		})
	}
	m.l.report()
	keys := linear.CheckKeyed(linear.KeyedOperations(m.timeline()), patience)
	if !keys.OK() {
		t.Errorf("keys without a linear order: %v, undecided: %v", keys.ViolatedKeys, keys.UndecidedKeys)
	}
	t.Logf("%d faults begun, %d jobs accepted, %d keys, %d runs of keys", m.begun, m.jobs.Load(), keys.Keys, keys.Runs)
}
