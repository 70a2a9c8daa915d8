package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of the platform, as in the settings of the entries.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 6 * time.Second
	stopTime    = 200 * time.Millisecond
	removeAfter = 3 * heartbeat // of silence, until the record of a worker is removed
	maxWait     = 2 * time.Second
	lateLeast   = 2 * time.Second // an order that is carried out late is so after this time at least
	lateMost    = 12 * time.Second
)

// kind is the capacity of a worker, and its label.
type kind struct {
	label    string
	cpuMilli int
	memMB    int
}

var (
	kindA = kind{"a", 16000, 65536}
	kindB = kind{"b", 8000, 32768}
)

// worker is a stand-in for a worker. It may crash and start again under its id, at its address.
type worker struct {
	ledger *ledger
	store  *store
	id     string
	addr   string
	rack   string

	mu       sync.Mutex
	server   *http.Server
	up       bool
	silentAt time.Time // when it fell silent
	life     int       // counts the boots
	kind     kind
	former   kind // of the boot before
	born     int64
	// clockAhead is how far the worker's time of day is ahead.
	clockAhead time.Duration
	bootedAt   time.Time
	token      int64
	leaseEnd   int64 // by its own clock, in milliseconds
	lapses     []time.Time
	lapsed     bool // since the lease was last extended
	runs       map[string]*running
	highest    map[string]int64 // by task, the highest run that was stopped or has ended here
	ends       []end
	lastEnd    int64
	changed    chan struct{} // closed when an end is listed or the worker crashes
	sequence   int
	lateShare  float64 // of orders that get no answer and are carried out late
}

type running struct {
	seen    *runSeen
	step    *stepSpec
	began   time.Time
	stopped bool
}

type end struct {
	n    int64
	task string
	how  string
	seen *runSeen
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"specification"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

type orderAnswer struct {
	Clock    int64   `json:"clock_ms"`
	Reason   string  `json:"reason,omitempty"`
	Born     int64   `json:"born,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

// newWorker boots a worker. Its heartbeats begin after a delay, so that those of all workers are spread.
func newWorker(l *ledger, s *store, id, addr, rack string, k kind, delay time.Duration) (*worker, error) {
	w := &worker{ledger: l, store: s, id: id, addr: addr, rack: rack, kind: k}
	if err := w.start(); err != nil {
		return nil, err
	}
	time.AfterFunc(delay, w.beat)
	go w.watchLease()
	return w, nil
}

// start boots the worker. Its record is in the store before it takes any call.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	w.up = true
	w.bootedAt = time.Now()
	w.born = time.Now().Add(w.clockAhead).UnixMilli()
	w.token, w.leaseEnd, w.lastEnd, w.lapsed, w.lapses = 0, 0, 0, true, nil
	w.runs, w.highest, w.ends = map[string]*running{}, map[string]int64{}, nil
	w.changed = make(chan struct{})
	w.report()
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.ledger.logf("boot     %s, kind %s of %d cpu, born %d", w.id, w.kind.label, w.kind.cpuMilli, w.born)
	return nil
}

// report writes the worker's record to the store.
func (w *worker) report() {
	w.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": "svc", "address": w.addr, "zone": "z1", "state": "ready", "version": "1", "slots": 8,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born, "labels": []string{w.kind.label, w.rack},
		"capacity": map[string]int{"cpu": w.kind.cpuMilli, "mem_mb": w.kind.memMB, "gpu": 0},
	})
	w.store.write("keyed.servers", w.id, value)
}

func (w *worker) beat() {
	for range time.Tick(heartbeat) {
		w.mu.Lock()
		if w.up {
			w.report()
		}
		w.mu.Unlock()
	}
}

// crash ends the worker's process: what runs on it ends, and its connections break.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	w.silentAt = time.Now()
	life := w.life
	for task, r := range w.runs {
		w.ledger.ended(task, r.seen, "crashed")
	}
	w.runs = map[string]*running{}
	close(w.changed)
	server := w.server
	w.mu.Unlock()
	w.ledger.logf("crash    %s", w.id)
	_ = server.Close()
	time.AfterFunc(removeAfter, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up && w.life == life {
			w.store.write("keyed.servers", w.id, nil)
		}
	})
}

// crashFor crashes the worker, and starts it again after a time as a kind.
func (w *worker) crashFor(down time.Duration, k kind) error {
	w.crash()
	time.Sleep(down)
	w.mu.Lock()
	w.former, w.kind = w.kind, k
	w.mu.Unlock()
	return w.start()
}

func (w *worker) clock() int64 { return time.Since(w.bootedAt).Milliseconds() }

// watchLease ends everything when the lease has expired.
func (w *worker) watchLease() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		if w.up && !w.lapsed && w.clock() >= w.leaseEnd {
			w.lapsed = true
			w.lapses = append(w.lapses, time.Now())
			for task := range w.runs {
				w.endRun(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) endRun(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.seen.number)
	w.lastEnd++
	w.ledger.ended(task, r.seen, how)
	w.ends = append(w.ends, end{w.lastEnd, task, how, r.seen})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) endLater(task string, r *running, after time.Duration, how string) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[task] == r {
			w.endRun(task, how)
		}
	})
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &o)
	}
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	life := w.life
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Expected-Instance") != w.id {
		answerJSON(rw, http.StatusMisdirectedRequest, orderAnswer{Clock: w.clock()})
		return
	}
	if w.lateShare > 0 && rand.Float64() < w.lateShare {
		w.carryOutLate(r.URL.Path, &o)
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	status, reason := w.carryOut(r.URL.Path, &o)
	if status != http.StatusOK || r.URL.Path != "/hold" {
		answerJSON(rw, status, orderAnswer{Clock: w.clock(), Reason: reason})
		return
	}
	if wait := min(time.Duration(o.WaitMs)*time.Millisecond, maxWait); wait > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(wait):
		}
		w.mu.Lock()
		if !w.up || w.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	a := orderAnswer{Clock: w.clock(), Born: w.born, Running: [][]any{}, Finished: [][]any{}}
	for task, run := range w.runs {
		percent := min(99, 100*time.Since(run.began).Milliseconds()/max(run.step.EstimateMs, 1))
		a.Running = append(a.Running, []any{task, run.seen.number, "", percent, run.step.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		a.Finished = append(a.Finished, []any{e.n, e.task, e.seen.number, e.how, ""})
	}
	answerJSON(rw, http.StatusOK, a)
}

// carryOutLate carries an order out 2 to 12 s later, if the worker is up then.
func (w *worker) carryOutLate(path string, o *order) {
	delay := lateLeast + time.Duration(rand.Int64N(int64(lateMost-lateLeast)))
	w.ledger.logf("late     %s on %s %s run %d last_seen %d: no answer, carried out in %.1f s", path, w.id, o.Task, o.Run, o.LastSeen, delay.Seconds())
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up {
			return
		}
		status, reason := w.carryOut(path, o)
		w.ledger.logf("late     %s on %s %s run %d last_seen %d: carried out now, %d %s", path, w.id, o.Task, o.Run, o.LastSeen, status, reason)
	})
}

// carryOut carries an order out, and returns the status of its answer and the reason of a refusal.
func (w *worker) carryOut(path string, o *order) (int, string) {
	if o.Token < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = o.Token
	if path == "/run-start" && o.Deadline <= w.clock() {
		return http.StatusConflict, "late"
	}
	if deadline := min(o.Deadline, w.clock()+maxHold.Milliseconds()); deadline > w.leaseEnd && deadline > w.clock() {
		w.leaseEnd = deadline
		w.lapsed = false
	}
	reason := ""
	switch path {
	case "/run-start":
		reason = w.startRun(o)
	case "/run-stop":
		w.stopRun(o)
	case "/hold":
		w.forget(o.LastSeen)
	default:
		return http.StatusNotFound, ""
	}
	if reason != "" {
		return http.StatusConflict, reason
	}
	return http.StatusOK, ""
}

func (w *worker) startRun(o *order) string {
	if r := w.runs[o.Task]; r != nil && r.seen.number == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return "old"
	}
	w.ledger.mu.Lock()
	_, step := w.ledger.stepOf(o.Task)
	if step == nil {
		w.ledger.breaks("UNASKED: %s run %d on %s", o.Task, o.Run, w.id)
		step = &stepSpec{EstimateMs: 100}
	}
	w.ledger.mu.Unlock()
	r := &running{seen: w.ledger.started(w.id, o.Task, o.Run), step: step, began: time.Now()}
	w.runs[o.Task] = r
	w.checkRoute(o, step)
	w.checkLimit(o)
	w.endLater(o.Task, r, time.Duration(step.EstimateMs)*time.Millisecond, "done")
	return ""
}

// checkRoute checks the part of ROUTE on labels at a start.
func (w *worker) checkRoute(o *order, step *stepSpec) {
	if step.Label == "" || step.Label == w.kind.label {
		return
	}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.ledger.breaks("ROUTE: %s run %d, whose step requires the label %s, starts on %s, which reported kind %s %.3f s ago when it booted",
		o.Task, o.Run, step.Label, w.id, w.kind.label, time.Since(w.bootedAt).Seconds())
}

// roomNotice is for how long a room that has shrunk doesn't count: the contact window and one heartbeat.
const roomNotice = 3*time.Second + heartbeat

// checkLimit checks LIMIT at a start. What is being stopped still counts.
func (w *worker) checkLimit(o *order) {
	cpu, mem := 0, 0
	for _, r := range w.runs {
		cpu += r.step.CPU
		mem += r.step.MemMB
	}
	room := w.kind
	if time.Since(w.bootedAt) < roomNotice && w.former.cpuMilli > room.cpuMilli {
		room = w.former
	}
	if cpu > room.cpuMilli || mem > room.memMB {
		w.ledger.mu.Lock()
		w.ledger.breaks("LIMIT: the start of %s run %d brings %s, which has %d cpu and %d MB, to %d cpu and %d MB",
			o.Task, o.Run, w.id, room.cpuMilli, room.memMB, cpu, mem)
		w.ledger.mu.Unlock()
	}
}

func (w *worker) stopRun(o *order) {
	r := w.runs[o.Task]
	if r == nil || r.seen.number != o.Run {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		return
	}
	if !r.stopped {
		r.stopped = true
		w.endLater(o.Task, r, stopTime, "stopped")
	}
}

// forget drops the ends up to last_seen: they are taken note of.
func (w *worker) forget(lastSeen int64) {
	for len(w.ends) > 0 && w.ends[0].n <= lastSeen {
		e := w.ends[0]
		w.ends = w.ends[1:]
		lapsed := false
		for _, at := range w.lapses {
			lapsed = lapsed || !at.Before(e.seen.ended)
		}
		w.ledger.noted(e.task, e.seen, lapsed)
	}
}

func (w *worker) setLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = share
	w.ledger.logf("late     %s: share %.3f from now on", w.id, share)
}

func (w *worker) setClockAhead(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockAhead = d
	w.ledger.logf("clock    the time of day at %s is %v ahead from now on", w.id, d)
}

// runCount returns the number of runs on the worker.
func (w *worker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

func workerName(i int) string { return fmt.Sprintf("i-%02d", i) }
