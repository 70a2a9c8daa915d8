package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/scheduler/baseline"
	"dotterelhitch/internal/structs"
)

// baselineFence is the authority that the baseline's requests bear: the first epoch, so
// that workers of a running cell refuse them.
var baselineFence = endpoint.FencingToken{Epoch: 1, Owner: "baseline"}

// Baseline answers callers by the plain policy of package baseline, with one queue for
// all workers. It is for experiments, before workers that no cell uses.
type Baseline struct {
	sender  *endpoint.Client
	workers []endpoint.Target

	mu    sync.Mutex
	queue *baseline.Queue[*baselineRequest]
}

var _ caller.Backend = (*Baseline)(nil)

// baselineRequest waits for its turn.
type baselineRequest struct {
	// turn gets the number of the worker.
	turn chan int
}

// NewBaseline returns a baseline before workers with so many slots each.
func NewBaseline(addrs []string, slots int, seed uint64) *Baseline {
	b := &Baseline{sender: endpoint.NewClient(endpoint.Options{})}
	for _, addr := range addrs {
		b.workers = append(b.workers, endpoint.Target{Worker: addr, Addr: addr})
	}
	b.queue = baseline.NewQueue[*baselineRequest](rand.New(rand.NewPCG(seed, seed)), len(addrs), slots)
	return b
}

// Request implements caller.Backend.
func (b *Baseline) Request(ctx context.Context, r structs.Request) structs.Answer {
	w := &baselineRequest{turn: make(chan int, 1)}
	b.enqueue(w)
	select {
	case n := <-w.turn:
		return b.send(ctx, r, n)
	case <-ctx.Done():
	}
	if b.leave(w) {
		err := structs.NewError(structs.CodeDeadline, "the deadline passed in the queue")
		return structs.Answer{Outcome: structs.OutcomeNotRun, RequestID: r.ID, Err: structs.AsError(err)}
	}
	return b.send(ctx, r, <-w.turn)
}

// send makes the only attempt, at a worker whose slot the request holds.
func (b *Baseline) send(ctx context.Context, r structs.Request, worker int) structs.Answer {
	defer b.release(worker)
	deadline, _ := ctx.Deadline()
	res := b.sender.Send(ctx, b.workers[worker], baselineFence, r, deadline)
	return structs.Answer{
		Outcome: res.Outcome, RequestID: r.ID, Body: res.Body, Worker: b.workers[worker].Worker, Err: res.Err,
	}
}

func (b *Baseline) enqueue(w *baselineRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Add(w)
	b.pump()
}

// leave takes a request out of the queue and reports whether it was still there.
func (b *Baseline) leave(w *baselineRequest) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Remove(w)
}

func (b *Baseline) release(worker int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Done(worker)
	b.pump()
}

// pump hands free slots to the head of the queue. The caller holds the lock.
func (b *Baseline) pump() {
	for {
		w, worker, ok := b.queue.Next()
		if !ok {
			return
		}
		w.turn <- worker
	}
}

// SubmitJob implements caller.Backend.
func (b *Baseline) SubmitJob(context.Context, structs.Job, string) (string, error) {
	return "", errOnlyRequests()
}

// JobStatus implements caller.Backend.
func (b *Baseline) JobStatus(context.Context, string, time.Duration) (structs.JobStatus, error) {
	return structs.JobStatus{}, errOnlyRequests()
}

// CancelJobs implements caller.Backend.
func (b *Baseline) CancelJobs(context.Context, structs.JobFilter, string) (int, error) {
	return 0, errOnlyRequests()
}

func errOnlyRequests() error {
	return structs.NewError(structs.CodeInvalid, "the baseline takes requests only")
}
