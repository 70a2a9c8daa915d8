//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Properties of the workers and bounds of the small sites (SYSTEM.md).
const (
	workerCPU   = 16000
	workerMemMB = 65536
	maxHold     = 6000 * time.Millisecond
	stopTime    = 100 * time.Millisecond
	checkpoints = time.Second
	reportEvery = 1500 * time.Millisecond
	endsAtATime = 500
	// idleConnections is how long a worker keeps a connection without a request.
	idleConnections = 2 * time.Second
	serviceName     = "numerotage"
)

// conduct is how a run of a task goes: how long it takes and how it ends. A run that lasts ends only by a stop.
type conduct struct {
	takes time.Duration
	fails bool
	lasts bool
}

// worker is a stand-in of one of the platform's workers (PROTOCOL.md, "Running tasks").
type worker struct {
	id, addr, zone, rack string
	site                 *site

	mu       sync.Mutex
	born     int64
	bootedAt time.Time
	firstMs  int64 // what the clock of this boot showed first
	token    int64
	leaseEnd int64
	runs     map[string]*taskRun
	highest  map[string]int64
	ends     []taskEnd
	lastEnd  int64
	ended    chan struct{}
	usedCPU  int64
	server   *http.Server // nil while the worker is down
	held     *order       // a start without an answer, which the next boot carries out
	dark     bool         // the machine has no power; it answers nothing
	// reportsFrom is when this boot reports first.
	reportsFrom time.Time
}

type taskRun struct {
	number   int64
	began    time.Time
	task     *task
	stopping bool
	saved    string
}

type taskEnd struct {
	seq    int64
	task   string
	number int64
	how    string
	saved  string
}

type order struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	Specification string `json:"specification"`
	DeadlineMs    int64  `json:"deadline_ms"`
	FencingToken  int64  `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	WaitMs        int64  `json:"wait_ms"`
	Checkpoint    string `json:"last_checkpoint"`
	Ticket        string `json:"ticket"`
}

func newWorker(s *site, n int) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: fmt.Sprintf("w-%02d-%08x", n, 0x9e3779b9*uint32(n+1)), addr: l.Addr().String(), site: s,
		zone: zones[n%len(zones)], rack: fmt.Sprintf("r%d", n/8),
	}
	w.boot(l)
	go w.report()
	go w.enforceLeases()
	return w, nil
}

// boot begins a life of the worker, which holds and knows nothing of before.
func (w *worker) boot(l net.Listener) {
	w.server = &http.Server{Handler: w, IdleTimeout: idleConnections, ConnContext: w.noteBoot}
	go func(server *http.Server) { _ = server.Serve(l) }(w.server)
	w.beginLife()
}

// bootKey is the key of the boot to which a connection was opened, in the context of its requests.
type bootKey struct{}

// noteBoot notes the boot to which a connection was opened.
func (w *worker) noteBoot(ctx context.Context, _ net.Conn) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	return context.WithValue(ctx, bootKey{}, w.born)
}

func (w *worker) beginLife() {
	w.born = time.Now().UnixMilli()
	w.bootedAt = time.Now()
	w.firstMs = 1000
	w.token, w.leaseEnd, w.lastEnd, w.usedCPU = 0, 0, 0, 0
	w.runs, w.highest, w.ends = map[string]*taskRun{}, map[string]int64{}, nil
	w.ended = make(chan struct{})
}

// crash ends the worker's process with all that runs on it: its connections break, and its port refuses new ones. It
// starts again under its ID and at its address after a time.
func (w *worker) crash(downFor time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, r := range w.runs {
		w.site.runEnded(w, name, r, "lost with its worker")
	}
	w.runs = map[string]*taskRun{}
	_ = w.server.Close()
	w.server = nil
	w.site.log.addf("worker %s crashes", w.id)
	time.AfterFunc(downFor, func() {
		l, err := net.Listen("tcp", w.addr)
		if err != nil {
			w.site.log.addf("worker %s can't start again: %v", w.id, err)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.boot(l)
		w.site.log.addf("worker %s starts again, born %d", w.id, w.born)
		w.carryOutHeld()
	})
}

// carryOutHeld has the boot carry out the start that an earlier one has left unanswered.
func (w *worker) carryOutHeld() {
	o := w.held
	if o == nil {
		return
	}
	w.held = nil
	w.token = o.FencingToken
	w.leaseEnd = min(o.DeadlineMs, w.clock()+maxHold.Milliseconds())
	reason := w.start(o, w.clock())
	w.site.log.addf("worker %s carries out the start of %s run %d late, refused: %q", w.id, o.Task, o.Run, reason)
}

func (w *worker) clock() int64 { return w.firstMs + time.Since(w.bootedAt).Milliseconds() }

// report writes the worker's entry into the list of workers.
func (w *worker) report() {
	for n := 1; ; n++ {
		w.mu.Lock()
		up, born := w.server != nil && !w.dark && !time.Now().Before(w.reportsFrom), w.born
		w.mu.Unlock()
		if !up {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		value, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "sequence": n, "born": born, "labels": []string{"a", w.rack},
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0},
		})
		w.site.store.WriteRecord("keyed.servers", w.id, value)
		time.Sleep(reportEvery)
	}
}

func (w *worker) enforceLeases() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if !w.dark && w.clock() >= w.leaseEnd {
			for name := range w.runs {
				w.endRun(name, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// save gives a checkpointing run the checkpoint of the work that it has done.
func (w *worker) save(name string, r *taskRun, atStop bool) {
	if !r.task.saves {
		return
	}
	n := int64(time.Since(r.began) / checkpoints)
	if n == 0 && !atStop {
		return
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d/%v", name, r.number, n, atStop)
	r.saved = fmt.Sprintf("%016x", h.Sum64())
}

func (w *worker) endRun(name, how string) {
	r := w.runs[name]
	w.save(name, r, how == "stopped")
	delete(w.runs, name)
	w.usedCPU -= r.task.cpu
	w.highest[name] = max(w.highest[name], r.number)
	w.lastEnd++
	w.ends = append(w.ends, taskEnd{w.lastEnd, name, r.number, how, r.saved})
	w.site.runEnded(w, name, r, how)
	close(w.ended)
	w.ended = make(chan struct{})
}

// finish ends a run as done.
func (w *worker) finish(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[name] != nil {
		w.endRun(name, "done")
	}
}

func (w *worker) endAfter(name string, r *taskRun, after time.Duration, how string) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[name] == r {
			w.endRun(name, how)
		}
	})
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	var o order
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if json.Unmarshal(body, &o) != nil {
		w.answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.dark {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
	}
	if boot, ok := req.Context().Value(bootKey{}).(int64); w.server == nil || !ok || boot != w.born {
		panic(http.ErrAbortHandler)
	}
	if req.Header.Get("X-Expected-Instance") != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	if o.FencingToken < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = o.FencingToken
	switch {
	case req.URL.Path == "/run-start" && w.site.toHold(w, &o):
		w.held = &o
		w.leaveUnanswered(req)
	case req.URL.Path == "/hold" && w.site.toLose(w, &o):
		w.leaveUnanswered(req)
	}
	now := w.clock()
	w.leaseEnd = max(w.leaseEnd, min(o.DeadlineMs, now+maxHold.Milliseconds()))
	switch req.URL.Path {
	case "/run-start":
		if reason := w.start(&o, now); reason != "" {
			w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		w.answer(rw, http.StatusOK, nil)
	case "/run-stop":
		w.stop(&o)
		w.answer(rw, http.StatusOK, nil)
	case "/hold":
		w.hold(rw, req, &o)
	default:
		w.answer(rw, http.StatusNotFound, nil)
	}
}

// leaveUnanswered waits until the caller has given up, and breaks the connection.
func (w *worker) leaveUnanswered(req *http.Request) {
	w.mu.Unlock()
	<-req.Context().Done()
	w.mu.Lock()
	panic(http.ErrAbortHandler)
}

// losePower has the worker's machine without power for a time: all that runs ends, and nothing answers. It starts again
// under its id and at its address. Connections that were opened before break when they are used again.
func (w *worker) losePower(downFor time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, r := range w.runs {
		w.site.runEnded(w, name, r, "lost with its worker")
	}
	w.runs = map[string]*taskRun{}
	w.dark = true
	w.site.log.addf("worker %s is without power", w.id)
	time.AfterFunc(downFor, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.beginLife()
		w.dark = false
		w.reportsFrom = time.Now().Add(reportEvery)
		w.site.log.addf("worker %s starts again, born %d", w.id, w.born)
	})
}

// carryOutLate carries out a poll that was left unanswered.
func (w *worker) carryOutLate(o *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	refused := o.FencingToken < w.token
	if !refused {
		w.token = o.FencingToken
		w.forgetEnds(o)
	}
	w.site.log.addf("worker %s carries out the poll with last_seen %d late, refused: %v; it lists %d ends", w.id, o.LastSeen, refused, len(w.ends))
}

func (w *worker) start(o *order, now int64) string {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if o.DeadlineMs <= now {
		return "late"
	}
	if w.runs[o.Task] != nil || o.Run <= w.highest[o.Task] {
		return "old"
	}
	if !w.site.admits(w, o) {
		return "ticket"
	}
	t := w.site.taskOf(o.Task)
	if t == nil {
		w.site.breach("UNASKED", fmt.Sprintf("%s starts on %s, and no requester has sent it", o.Task, w.id))
		t = &task{job: &job{}}
	}
	r := &taskRun{number: o.Run, began: time.Now(), task: t, saved: o.Checkpoint}
	w.runs[o.Task] = r
	w.usedCPU += t.cpu
	c := w.site.runStarted(w, o, r)
	switch {
	case c.fails:
		w.endAfter(o.Task, r, c.takes, "failed")
	case !c.lasts:
		w.endAfter(o.Task, r, c.takes, "done")
	}
	return ""
}

func (w *worker) stop(o *order) {
	r := w.runs[o.Task]
	if r == nil || r.number != o.Run {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		return
	}
	if !r.stopping {
		r.stopping = true
		w.endAfter(o.Task, r, stopTime, "stopped")
	}
}

// forgetEnds forgets the ends that a poll acknowledges.
func (w *worker) forgetEnds(o *order) {
	for len(w.ends) > 0 && w.ends[0].seq <= o.LastSeen {
		w.site.endSeen(w, &w.ends[0])
		w.ends = w.ends[1:]
	}
}

func (w *worker) hold(rw http.ResponseWriter, req *http.Request, o *order) {
	w.forgetEnds(o)
	if len(w.ends) == 0 && o.WaitMs > 0 {
		ended, born := w.ended, w.born
		w.mu.Unlock()
		select {
		case <-ended:
		case <-req.Context().Done():
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
		if w.server == nil || w.dark || w.born != born {
			panic(http.ErrAbortHandler)
		}
	}
	running := make([][]any, 0, len(w.runs))
	for name, r := range w.runs {
		w.save(name, r, false)
		running = append(running, []any{name, r.number, r.saved, r.percent(), r.task.cpu})
	}
	finished := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), endsAtATime)] {
		finished = append(finished, []any{e.seq, e.task, e.number, e.how, e.saved})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

func (r *taskRun) percent() int64 {
	if r.task.lasts {
		return 100
	}
	return min(99, 100*time.Since(r.began).Milliseconds()/max(r.task.takes.Milliseconds(), 1))
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"] = w.clock()
	body["born"] = w.born
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}
