package workersvc

import (
	"net/http"
	"strconv"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// Headers of a request to the endpoint and of its answer.
const (
	headerEpoch     = "Hitch-Epoch"
	headerOwner     = "Hitch-Owner"
	headerClass     = "Hitch-Class"
	headerKey       = "Hitch-Key"
	headerDeadline  = "Hitch-Deadline-Ms"
	headerRequestID = "Hitch-Request-Id"
)

// Reasons in the detail of a RequestCut event.
const (
	// CutByPeer means that the peer broke the connection or gave up.
	CutByPeer = "peer"
	// CutByFault means that an injected fault lost the answer.
	CutByFault = "fault"
	// CutByExit means that the worker ended first.
	CutByExit = "exit"
)

// request is one request to the endpoint.
type request struct {
	id       string
	class    string
	key      string
	cmd      worker.CommandHeader
	deadline time.Duration
	body     []byte
}

func readRequest(r *http.Request) (request, error) {
	epoch, err := strconv.ParseInt(r.Header.Get(headerEpoch), 10, 64)
	if err != nil {
		return request{}, structs.NewError(structs.CodeInvalid, "header %s: want a number", headerEpoch)
	}
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return request{}, structs.NewError(structs.CodeInvalid, "header %s: want a number", headerDeadline)
	}
	body, err := httpx.ReadLimited(r.Body, structs.MaxRequestBytes)
	if err != nil {
		return request{}, err
	}
	return request{
		id:       r.PathValue("id"),
		class:    r.Header.Get(headerClass),
		key:      r.Header.Get(headerKey),
		cmd:      worker.CommandHeader{Epoch: epoch, Owner: r.Header.Get(headerOwner)},
		deadline: millis(ms),
		body:     body,
	}, nil
}

func (w *Worker) handleRequest(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerRequestID, r.PathValue("id"))
	req, err := readRequest(r)
	if err != nil {
		httpx.WriteError(rw, err)
		return
	}
	service, err := w.begin(req)
	if err != nil {
		httpx.WriteError(rw, err)
		return
	}
	defer w.inFlight.Done()
	if !w.run(service) {
		w.record(event.Event{Type: event.RequestAborted, Request: req.id, Detail: CutByExit})
		panic(http.ErrAbortHandler)
	}
	w.respond(rw, r, req)
}

// begin takes a slot and records the run, or refuses the request, which then has
// certainly not been run.
func (w *Worker) begin(req request) (time.Duration, error) {
	w.lock()
	defer w.mu.Unlock()
	if w.draining {
		return 0, structs.NewError(structs.CodeDraining, "worker %s is shutting down", w.ID())
	}
	if err := w.admit(req.cmd); err != nil {
		return 0, err
	}
	if req.deadline <= 0 {
		return 0, structs.NewError(structs.CodeDeadline, "the deadline passed before the request began")
	}
	if w.cfg.Worker.Slots > 0 && w.slots >= w.cfg.Worker.Slots {
		return 0, structs.NewError(structs.CodeOverload, "all %d slots are busy", w.slots)
	}
	w.slots++
	w.inFlight.Add(1)
	w.record(event.Event{
		Type:    event.RequestRun,
		Request: req.id,
		Key:     req.key,
		Class:   req.class,
		Epoch:   req.cmd.Epoch,
	})
	return w.serviceTime(req.body), nil
}

// serviceTime needs the lock.
func (w *Worker) serviceTime(body []byte) time.Duration {
	service := w.cfg.ServiceTime
	if w.faults.ServiceMs > 0 {
		service = millis(w.faults.ServiceMs)
	}
	if asked := parseOptions(body).service; asked >= 0 {
		service = asked
	}
	return time.Duration(float64(service) * w.faults.slow())
}

// run takes the service time and frees the slot. It reports false if the worker
// ended first. The caller's going away does not end the run.
func (w *Worker) run(service time.Duration) bool {
	timer := time.NewTimer(service)
	defer timer.Stop()
	whole := true
	select {
	case <-timer.C:
	case <-w.closed:
		whole = false
	}
	w.lock()
	defer w.mu.Unlock()
	w.slots--
	return whole
}

// respond writes the answer and records what became of it.
func (w *Worker) respond(rw http.ResponseWriter, r *http.Request, req request) {
	if w.loses() {
		w.record(event.Event{Type: event.RequestAborted, Request: req.id, Detail: CutByFault})
		panic(http.ErrAbortHandler)
	}
	if w.Faults().FailAll {
		w.record(event.Event{Type: event.RequestEnd, Request: req.id, Code: structs.CodeInternal})
		httpx.WriteError(rw, structs.NewError(structs.CodeInternal, "the endpoint failed"))
		return
	}
	answer := Answer(req.body)
	if err := writeAnswer(rw, answer); err != nil || r.Context().Err() != nil {
		w.record(event.Event{Type: event.RequestAborted, Request: req.id, Detail: CutByPeer})
		return
	}
	w.record(event.Event{
		Type:    event.RequestEnd,
		Request: req.id,
		Digest:  event.Digest(answer),
		Bytes:   len(answer),
	})
}

// loses counts an answer against the fault that loses them.
func (w *Worker) loses() bool {
	w.lock()
	defer w.mu.Unlock()
	return take(&w.faults.LoseAnswers)
}

func writeAnswer(rw http.ResponseWriter, answer []byte) error {
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	rw.WriteHeader(http.StatusOK)
	if _, err := rw.Write(answer); err != nil {
		return err
	}
	return http.NewResponseController(rw).Flush()
}
