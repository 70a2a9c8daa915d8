//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// site is a small deployment: the store, the workers, the processes of the system and the requesters, with a ledger of
// what was sent, accepted and run.
type site struct {
	log     *journal
	store   *store
	workers []*worker
	entries []*entry
	folder  string
	// conductOf says how a run of a task goes.
	conductOf func(t *task, number int64) conduct

	mu       sync.Mutex
	jobs     map[string]*job
	breaches []string
	starts   int
	// holdTask is the task of which the first start order is left unanswered; heldBy then receives its worker.
	holdTask *task
	heldBy   chan *worker
	// loseAt is the worker that leaves its next poll which acknowledges ends unanswered; lostPoll then receives the poll.
	loseAt   *worker
	lostPoll chan *order
	// advisor is nil if the queues have no advice.
	advisor *advisor
}

// job is a job of a requester.
type job struct {
	id, kind   string
	body       []byte
	tasks      []*task // by occurrence, step and index
	steps      int
	width      int // tasks of a step
	sentAt     time.Time
	acceptedAt time.Time
	idleSince  time.Time
	state      string // as shown last
}

// task is a task of a job, due at a time if the job has occurrences.
type task struct {
	job     *job
	due     time.Time
	name    string
	cpu     int64
	saves   bool
	lasts   bool
	takes   time.Duration
	running int
	runs    int
	failed  int
	done    bool
	noted   bool // the end as done was taken note of
	endedAt time.Time
}

// step is a step as the wire has it.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	MemMB         int64 `json:"mem_mb"`
	EstimateMs    int64 `json:"estimated_duration_ms,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	LongRunning   bool  `json:"long_running,omitempty"`
}

// earlyTime is early_ms of the small sites.
const earlyTime = 250 * time.Millisecond

const configuration = `{"version":3,"limits":{"max_body_bytes":262144},
"services":[{"name":"numerotage","rejects_overload":false}],
"routes":[
{"name":"range-batch","host":"h.example","path_prefix":"/range/","service":"numerotage","priority":1,"max_attempts":4,"stretch":3,"target_completion_ms":2000%[1]s},
{"name":"ledger-recon","host":"h.example","path_prefix":"/ledger/","service":"numerotage","priority":2,"max_attempts":2,"stretch":3,"target_completion_ms":2000%[1]s},
{"name":"counter-check","host":"h.example","path_prefix":"/counter/","service":"numerotage","priority":0,"max_attempts":3,"stretch":2,"target_completion_ms":400%[1]s}]}`

// newSite starts the store, the workers and the entries, and waits until all entries are ready.
func newSite(caseFolder string, p plan) (*site, error) {
	log, err := newJournal(caseFolder)
	if err != nil {
		return nil, err
	}
	s := &site{log: log, jobs: map[string]*job{}}
	if s.folder, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	if s.store, err = newStore(log); err != nil {
		return nil, err
	}
	advice, advisorAddr := "", ""
	if p.advice {
		if s.advisor, err = newAdvisor(s); err != nil {
			return nil, err
		}
		advice, advisorAddr = `,"advice":{"decision_ms":7,"per_item_ms":0.1,"validity_ms":2500}`, s.advisor.addr
	}
	s.store.WriteRecord("keyed.op", "config", fmt.Appendf(nil, configuration, advice))
	for i := range p.workers {
		w, err := newWorker(s, i)
		if err != nil {
			return nil, err
		}
		s.workers = append(s.workers, w)
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	binary := filepath.Join(filepath.Dir(executable), "hitch-entry")
	if s.entries, err = newEntries(p.entries, s.store.addr, advisorAddr, s.folder, binary, log); err != nil {
		return nil, err
	}
	for _, e := range s.entries {
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	limit := time.Now().Add(20 * time.Second)
	for _, e := range s.entries {
		for !e.ready() {
			if time.Now().After(limit) {
				return nil, fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.log.addf("%d workers, %d entries, all ready", p.workers, p.entries)
	return s, nil
}

// awaitRun waits until the task runs, and returns the worker that has it, nil if it does not run in time.
func (s *site) awaitRun(t *task, limit time.Duration) *worker {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, w := range s.workers {
			w.mu.Lock()
			has := w.runs[t.name] != nil
			w.mu.Unlock()
			if has {
				return w
			}
		}
	}
	return nil
}

// close ends all processes of the site.
func (s *site) close() {
	for _, e := range s.entries {
		e.signal(syscallKill)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
	s.log.close()
}

// toHold reports whether a start order is to be left unanswered.
func (s *site) toHold(w *worker, o *order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holdTask == nil || s.holdTask.name != o.Task {
		return false
	}
	s.holdTask = nil
	s.log.addf("worker %s leaves the start of %s run %d unanswered", w.id, o.Task, o.Run)
	s.heldBy <- w
	return true
}

// toLose reports whether a poll is to be left unanswered.
func (s *site) toLose(w *worker, o *order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseAt != w || o.LastSeen == 0 || o.WaitMs == 0 {
		return false
	}
	s.loseAt = nil
	s.log.addf("worker %s leaves the poll with last_seen %d unanswered", w.id, o.LastSeen)
	s.lostPoll <- o
	return true
}

// admits reports whether a start bears a ticket for this boot of the worker, where tickets are needed.
func (s *site) admits(w *worker, o *order) bool { return s.advisor == nil || s.advisor.valid(w, o) }

func (s *site) breach(rule, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breachLocked(rule, text)
}

func (s *site) breachLocked(rule, text string) {
	s.breaches = append(s.breaches, rule+": "+text)
	if len(s.breaches) <= 50 {
		s.log.add("BREACH " + rule + ": " + text)
	}
}

func (s *site) broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.breaches...)
}

// timetable is when the steps of a job run. The zero value means once, at once.
type timetable struct {
	count    int
	start    time.Time
	interval time.Duration
}

// newScheduledJob adds a job with a number of equal steps, which do not depend on one another, to the ledger.
func (s *site) newScheduledJob(n int, kind string, st step, steps int, when timetable, takes func(i int) time.Duration) *job {
	list := make([]step, steps)
	for i := range list {
		list[i] = st
	}
	body, _ := json.Marshal(map[string]any{
		"specification": kind + " " + strconv.Itoa(n), "steps": list,
		"repeat_count": when.count, "start_at_ms": when.start.UnixMilli(), "interval_ms": when.interval.Milliseconds(),
	})
	j := &job{id: jobID(n), kind: kind, body: body, steps: steps, width: st.Count}
	for k := range when.count {
		due := when.start.Add(time.Duration(k) * when.interval)
		for i := range steps * st.Count {
			j.tasks = append(j.tasks, &task{
				job: j, due: due, name: fmt.Sprintf("%s.%d.%d.%d", j.id, k, i/st.Count, i%st.Count),
				cpu: st.CPU, saves: st.Checkpointing, lasts: st.LongRunning, takes: takes(i),
			})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.id] = j
	return j
}

func jobID(n int) string { return fmt.Sprintf("%016x", uint64(n+1)*0x9E3779B97F4A7C15) }

// newJob adds a job of one step to the ledger.
func (s *site) newJob(n int, kind string, st step, takes func(i int) time.Duration) *job {
	body, _ := json.Marshal(map[string]any{"specification": kind + " " + strconv.Itoa(n), "steps": []step{st}})
	j := &job{id: jobID(n), kind: kind, body: body, steps: 1, width: st.Count}
	for i := range st.Count {
		j.tasks = append(j.tasks, &task{
			job: j, name: fmt.Sprintf("%s.0.0.%d", j.id, i), cpu: st.CPU, saves: st.Checkpointing, lasts: st.LongRunning, takes: takes(i),
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.id] = j
	return j
}

// taskOf returns the task with a name, nil if no requester has sent it.
func (s *site) taskOf(name string) *task {
	parts := strings.Split(name, ".")
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[parts[0]]
	if j == nil || j.sentAt.IsZero() || len(parts) != 4 {
		return nil
	}
	var at [3]int // occurrence, step, index
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return nil
		}
		at[i] = n
	}
	i := (at[0]*j.steps+at[1])*j.width + at[2]
	if at[1] >= j.steps || at[2] >= j.width || i >= len(j.tasks) {
		return nil
	}
	return j.tasks[i]
}

func (s *site) runStarted(w *worker, o *order, r *taskRun) conduct {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := r.task
	s.starts++
	t.running++
	t.runs++
	if t.running > 1 {
		s.breachLocked("TWICE", fmt.Sprintf("%s run %d starts on %s beside another run", o.Task, o.Run, w.id))
	}
	if t.done && t.noted {
		s.breachLocked("TWICE", fmt.Sprintf("%s run %d starts on %s after its end as done was taken note of", o.Task, o.Run, w.id))
	}
	if time.Until(t.due) > earlyTime {
		s.breachLocked("ORDER", fmt.Sprintf("%s run %d starts %v before its time", o.Task, o.Run, time.Until(t.due)))
	}
	if w.usedCPU > workerCPU {
		s.breachLocked("LIMIT", fmt.Sprintf("%s run %d brings %s to %d", o.Task, o.Run, w.id, w.usedCPU))
	}
	if len(t.job.tasks) < 10 {
		s.log.addf("start %s run %d on %s", o.Task, o.Run, w.id)
	}
	if s.conductOf != nil {
		return s.conductOf(t, o.Run)
	}
	return conduct{takes: t.takes, lasts: t.lasts}
}

func (s *site) runEnded(w *worker, name string, r *taskRun, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := r.task
	t.running--
	t.endedAt = time.Now()
	switch how {
	case "done":
		t.done = true
	case "failed":
		t.failed++
	}
	if t.job != nil && len(t.job.tasks) < 10 {
		s.log.addf("end %s run %d on %s: %s", name, r.number, w.id, how)
	}
}

func (s *site) endSeen(_ *worker, e *taskEnd) {
	t := s.taskOf(e.task)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t != nil && e.how == "done" {
		t.noted = true
	}
}

// count returns the number of tasks of a job that run and that are done.
func (s *site) count(j *job) (running, done, failed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range j.tasks {
		running += min(t.running, 1)
		failed += t.failed
		if t.done {
			done++
		}
	}
	return running, done, failed
}

// used returns the share of the service's capacity that is in use.
func (s *site) used() float64 {
	var sum int64
	for _, w := range s.workers {
		w.mu.Lock()
		sum += w.usedCPU
		w.mu.Unlock()
	}
	return float64(sum) / float64(workerCPU*len(s.workers))
}
