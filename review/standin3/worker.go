//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of workers, as in the settings.
const (
	stopTime    = 100 * time.Millisecond // stop_timeout_ms is 400
	heartbeat   = 1500 * time.Millisecond
	gangTimeout = 3 * time.Second
	pageOfEnds  = 500
	saveEvery   = time.Second
)

// maxHold is max_hold_ms of the site.
var maxHold = 6 * time.Second

// behaviour is what a task does when it runs.
type behaviour struct {
	// lasts is how long it works, zero for a task that lasts; how is how it ends then.
	lasts time.Duration
	how   string
}

// fleet is the stand-in for all workers. A worker's calls are served at an address of its own.
type fleet struct {
	rec   *recorder
	store *store
	// behave says what a run of a task does. ended is called with each end, started with each start.
	behave  func(task string, run int64) behaviour
	started func(w *worker, task string, run int64)
	ended   func(w *worker, task string, run int64, how string)

	mu      sync.Mutex
	workers []*worker
	byID    map[string]*worker
	jobs    map[string]*jobSpec // what the requesters have submitted, by ID
	// running counts the runs at work, by task.
	running map[string]int
	starts  map[string]int // by job
	// noted are the tasks of which an end as done was taken note of, longest is the longest list of ends.
	noted   map[string]bool
	longest int
}

// worker is one worker: a machine, with its lives one after the other.
type worker struct {
	fleet  *fleet
	id     string
	addr   string
	zone   string
	labels []string
	cpu    int64
	memory int64

	mu       sync.Mutex
	up       bool
	draining bool
	server   *http.Server
	born     int64
	bootAt   time.Time
	sequence int64
	// What follows is of one life.
	life     int
	token    int64
	deadline time.Time // end of the lease of all that runs
	runs     map[string]*taskRun
	highest  map[string]int64 // the highest run that was stopped or has ended
	ends     [][]any
	lastEnd  int64
	endLease map[int64]int // the number of leases that had lapsed at an end
	lapses   int
	changed  chan struct{} // closed when a run has ended
	free     int64
}

type taskRun struct {
	number  int64
	began   time.Time
	stopped bool
	saves   bool
	lasts   time.Duration // zero for a task that lasts
}

func newFleet(rec *recorder, s *store) *fleet {
	return &fleet{
		rec: rec, store: s, byID: map[string]*worker{}, jobs: map[string]*jobSpec{}, running: map[string]int{}, starts: map[string]int{}, noted: map[string]bool{},
		behave:  func(string, int64) behaviour { return behaviour{lasts: time.Second, how: "done"} },
		started: func(*worker, string, int64) {}, ended: func(*worker, string, int64, string) {},
	}
}

// add adds a worker and starts it.
func (f *fleet) add(i int, labels []string, cpu, memory int64) (*worker, error) {
	zones := []string{"casa-ain", "fes-sai", "casa-maa"}
	w := &worker{fleet: f, id: fmt.Sprintf("w-%04d", i), zone: zones[i%len(zones)], labels: labels, cpu: cpu, memory: memory}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.byID[w.id] = w
	f.mu.Unlock()
	return w, w.boot()
}

func (f *fleet) bornOf(id string) int64 {
	f.mu.Lock()
	w := f.byID[id]
	f.mu.Unlock()
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return 0
	}
	return w.born
}

// boot starts a life of the worker.
func (w *worker) boot() error {
	addr := w.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addr = l.Addr().String()
	w.up = true
	w.life++
	w.bootAt = time.Now()
	w.born = max(w.born+1, w.bootAt.UnixMilli())
	w.sequence, w.token, w.lastEnd, w.ends = 0, 0, 0, nil
	w.deadline = time.Time{}
	w.runs, w.highest, w.endLease, w.lapses = map[string]*taskRun{}, map[string]int64{}, map[int64]int{}, 0
	w.changed = make(chan struct{})
	w.free = w.cpu
	w.server = &http.Server{Handler: w}
	server, life := w.server, w.life
	go func() { _ = server.Serve(l) }()
	go w.beat(life)
	go w.enforceLease(life)
	return nil
}

// crash ends the worker's life: its process is killed.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	w.life++
	for task, r := range w.runs {
		w.fleet.noteEnd(task)
		w.fleet.ended(w, task, r.number, "crash")
	}
	w.runs = map[string]*taskRun{}
	close(w.changed)
	w.changed = make(chan struct{})
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// leave has the worker drain for drain_timeout_ms and a little longer, and then leave.
func (w *worker) leave() {
	w.mu.Lock()
	w.draining = true
	life := w.life
	w.mu.Unlock()
	w.fleet.rec.note("%s drains", w.id)
	go w.beat(life) // it reports at once
	time.Sleep(3 * time.Second)
	w.fleet.rec.note("%s leaves", w.id)
	w.crash()
	w.fleet.store.put("keyed.servers", w.id, nil)
}

// beat writes the worker's record into the list of workers.
func (w *worker) beat(life int) {
	for {
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		w.sequence++
		state, remaining := "ready", 0
		if w.draining {
			state, remaining = "draining", 2500
		}
		record, _ := json.Marshal(map[string]any{ // it can be encoded
			"service": "numerotage", "address": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": state, "remaining_ms": remaining, "cold_remaining_ms": 0,
			"sequence": w.sequence, "born": w.born, "labels": w.labels,
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.memory, "gpu": 0},
		})
		w.mu.Unlock()
		w.fleet.store.put("keyed.servers", w.id, record)
		time.Sleep(heartbeat)
	}
}

func (w *worker) clock() int64 { return time.Since(w.bootAt).Milliseconds() }

// enforceLease ends all runs when the lease has ended.
func (w *worker) enforceLease(life int) {
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		w.expire()
		w.mu.Unlock()
	}
}

func (w *worker) expire() {
	if time.Now().Before(w.deadline) || w.deadline.IsZero() {
		return
	}
	w.deadline = time.Time{}
	w.lapses++
	for task := range w.runs {
		w.end(task, "lapsed")
	}
}

func (w *worker) extend(deadlineMs int64) {
	at := w.bootAt.Add(time.Duration(deadlineMs) * time.Millisecond)
	if most := time.Now().Add(maxHold); at.After(most) {
		at = most
	}
	if at.After(w.deadline) {
		w.deadline = at
	}
}

// order is the body of an order.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"specification"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"last_checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock()})
		return
	}
	w.expire()
	if o.Token < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/run-start":
		if reason := w.start(&o); reason != "" {
			w.refuse(rw, reason)
			return
		}
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	case "/run-stop":
		w.stop(&o)
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	case "/hold":
		w.hold(rw, r, &o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
}

// start starts a run, or returns why it does not.
func (w *worker) start(o *order) string {
	if o.DeadlineMs <= w.clock() {
		return "late"
	}
	w.extend(o.DeadlineMs)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return "old"
	}
	id, step := w.fleet.stepOf(o.Task)
	if step == nil || o.Spec != id.Spec {
		w.fleet.rec.note("%s: told to start %s, which nobody sent", w.id, o.Task)
		return "late"
	}
	if !ticketValid(o.Ticket, o.Task, w.id, w.born) {
		return "ticket"
	}
	r := &taskRun{number: o.Run, began: time.Now(), saves: step.Checkpointing}
	w.runs[o.Task] = r
	w.fleet.noteStart(o.Task)
	w.fleet.started(w, o.Task, o.Run)
	if step.Gang {
		w.fleet.joinGang(w, o.Task, o.Run, w.life)
		return ""
	}
	if b := w.fleet.behave(o.Task, o.Run); b.lasts > 0 {
		r.lasts = b.lasts
		w.endLater(o.Task, r, b.lasts, b.how)
	}
	return ""
}

// endLater ends a run after a time unless it has ended by then.
func (w *worker) endLater(task string, r *taskRun, after time.Duration, how string) {
	life := w.life
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life && w.runs[task] == r {
			w.end(task, how)
		}
	})
}

func (w *worker) stop(o *order) {
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		return
	}
	if !r.stopped {
		r.stopped = true
		w.endLater(o.Task, r, stopTime, "stopped")
	}
}

// end ends a run and lists its end.
func (w *worker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, task, r.number, how, w.saved(r)})
	w.endLease[w.lastEnd] = w.lapses
	w.fleet.noteList(len(w.ends))
	close(w.changed)
	w.changed = make(chan struct{})
	w.fleet.noteEnd(task)
	w.fleet.ended(w, task, r.number, how)
}

// saved returns what a run has saved: a new value with each second of work.
func (w *worker) saved(r *taskRun) string {
	if n := int(time.Since(r.began) / saveEvery); r.saves && n > 0 {
		return fmt.Sprintf("%016x", uint64(r.began.UnixNano())<<8|uint64(n))
	}
	return ""
}

// hold answers a poll.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= o.LastSeen {
		if end := w.ends[0]; end[3] == "done" && w.endLease[end[0].(int64)] == w.lapses {
			w.fleet.note(end[1].(string))
		}
		w.ends = w.ends[1:]
	}
	life, until := w.life, time.Now().Add(time.Duration(min(o.WaitMs, 2000))*time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) && w.life == life {
		changed := w.changed
		w.mu.Unlock()
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		gone := r.Context().Err() != nil
		w.mu.Lock()
		if gone {
			return
		}
	}
	if w.life != life {
		panic(http.ErrAbortHandler)
	}
	w.expire()
	running := make([][]any, 0, len(w.runs))
	for task, run := range w.runs {
		percent := 100
		if run.lasts > 0 {
			percent = min(99, int(100*time.Since(run.began)/run.lasts))
		}
		running = append(running, []any{task, run.number, w.saved(run), percent, 0})
	}
	ends := w.ends[:min(len(w.ends), pageOfEnds)]
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born, "running": running, "finished": append([][]any{}, ends...)})
}

// stepOf returns the job and the step of a task, nil if nobody has submitted it.
func (f *fleet) stepOf(task string) (*jobSpec, *stepSpec) {
	id, rest, _ := strings.Cut(task, ".")
	var k, step, index int
	if _, err := fmt.Sscanf(rest, "%d.%d.%d", &k, &step, &index); err != nil {
		return nil, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	if j == nil || step >= len(j.Steps) || index >= j.Steps[step].Count {
		return nil, nil
	}
	return j, &j.Steps[step]
}

func (f *fleet) noteStart(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[jobOf(task)]++
	f.running[task]++
}

func (f *fleet) noteEnd(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[task]--; f.running[task] <= 0 {
		delete(f.running, task)
	}
}

// startsOf returns how many runs of a job were started, startCount how many of all jobs.
func (f *fleet) startsOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[job]
}

func (f *fleet) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, starts := range f.starts {
		n += starts
	}
	return n
}

// note records that an end of a task as done was taken note of.
func (f *fleet) note(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noted[task] = true
}

func (f *fleet) takenNoteOf(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noted[task]
}

func (f *fleet) noteList(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longest = max(f.longest, n)
}

func (f *fleet) longestList() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.longest
}

// atWork returns how many tasks of a job have a run.
func (f *fleet) atWork(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task := range f.running {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// joinGang has the members of a gang work once all of one run are present. The caller holds the worker's lock.
func (f *fleet) joinGang(w *worker, task string, run int64, life int) {
	step := task[:strings.LastIndexByte(task, '.')]
	_, def := f.stepOf(task)
	go func() {
		until := time.Now().Add(gangTimeout)
		for time.Now().Before(until) {
			time.Sleep(20 * time.Millisecond)
			if f.gangPresent(step, run) == def.Count {
				w.mu.Lock()
				r := w.runs[task]
				if w.life == life && r != nil && r.number == run {
					b := f.behave(task, run)
					r.lasts = b.lasts
					w.endLater(task, r, b.lasts, b.how)
				}
				w.mu.Unlock()
				return
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if r := w.runs[task]; w.life == life && r != nil && r.number == run {
			w.end(task, "alone")
		}
	}()
}

// gangPresent counts the members of a gang that have a run.
func (f *fleet) gangPresent(step string, run int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task := range f.running {
		if strings.HasPrefix(task, step+".") {
			n++
		}
	}
	return n
}
