package embedded

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

// Caller sends work to the live entries of a cell in turn, as the platform's
// balancer would spread it, and records what it sent and got.
type Caller struct {
	cell   *Cell
	events *event.Recorder
	name   string
	// turn picks the entry, serial names requests and jobs.
	turn   atomic.Uint64
	serial atomic.Uint64
}

// NewCaller returns a caller with a name of its own.
func (c *Cell) NewCaller(name string) *Caller {
	return &Caller{cell: c, events: c.Recorder(name), name: name}
}

// client picks the next entry that is ready.
func (c *Caller) client() (*caller.Client, error) {
	live := c.cell.LiveEntries()
	for range live {
		e := live[c.turn.Add(1)%uint64(len(live))]
		if e.Ready() == nil {
			return &caller.Client{BaseURL: "http://" + e.CallerAddr()}, nil
		}
	}
	return nil, structs.NewError(structs.CodeUnavailable, "no entry is ready")
}

// Request sends one request and records its outcome. body should be unlike that
// of any other request, so that a foreign answer shows.
func (c *Caller) Request(ctx context.Context, call caller.Call) structs.Answer {
	id := fmt.Sprintf("%s-%d", c.name, c.serial.Add(1))
	c.events.Record(event.Event{
		Type:       event.CallerRequestSent,
		Request:    id,
		Key:        call.Key,
		Class:      call.Class,
		Idempotent: call.Idempotent,
	})
	answer := c.send(ctx, call)
	got := event.Event{
		Type:           event.CallerRequestEnded,
		Request:        id,
		Outcome:        answer.Outcome,
		ExpectedDigest: event.Digest(workersvc.Answer(call.Body)),
		Detail:         answer.RequestID,
	}
	if answer.Outcome == structs.OutcomeAnswered {
		got.Digest = event.Digest(answer.Body)
	}
	if answer.Err != nil {
		got.Code = answer.Err.Code
	}
	c.events.Record(got)
	return answer
}

func (c *Caller) send(ctx context.Context, call caller.Call) structs.Answer {
	client, err := c.client()
	if err != nil {
		return structs.Answer{Outcome: structs.OutcomeNotRun, Err: structs.AsError(err)}
	}
	return client.Do(ctx, call)
}

// Submit submits a job until some entry has accepted it, and records that.
func (c *Caller) Submit(ctx context.Context, j structs.Job) (string, error) {
	key := fmt.Sprintf("%s-job-%d", c.name, c.serial.Add(1))
	for {
		id, err := c.submitOnce(ctx, j, key)
		if err == nil {
			c.events.Record(event.Event{Type: event.CallerJobAccepted, Job: id, Class: j.Class, Count: j.Count})
			return id, nil
		}
		if final(err) || ctx.Err() != nil {
			return "", err
		}
		time.Sleep(submitRetry)
	}
}

const submitRetry = 50 * time.Millisecond

// final reports whether another try can't help.
func final(err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeInvalid, structs.CodeNotFound, structs.CodeNeverFits, structs.CodeTooLarge:
		return true
	}
	return false
}

func (c *Caller) submitOnce(ctx context.Context, j structs.Job, key string) (string, error) {
	client, err := c.client()
	if err != nil {
		return "", err
	}
	return client.SubmitJob(ctx, j, key)
}

// WaitForJob waits until a job has ended and records its state.
func (c *Caller) WaitForJob(ctx context.Context, id string) (structs.JobStatus, error) {
	for {
		status, err := c.statusOnce(ctx, id)
		if err == nil && status.State != structs.JobPending && status.State != structs.JobRunning {
			c.events.Record(event.Event{Type: event.CallerJobEnded, Job: id, State: string(status.State)})
			return status, nil
		}
		if ctx.Err() != nil {
			return status, structs.NewError(structs.CodeDeadline, "job %s has not ended: %+v, %v", id, status, err)
		}
		time.Sleep(submitRetry)
	}
}

func (c *Caller) statusOnce(ctx context.Context, id string) (structs.JobStatus, error) {
	client, err := c.client()
	if err != nil {
		return structs.JobStatus{}, err
	}
	return client.JobStatus(ctx, id, time.Second)
}

// Operator returns a client of the operators' interface of all live entries.
func (c *Cell) Operator() *operator.Client {
	client := &operator.Client{HTTP: http.DefaultClient}
	for _, e := range c.LiveEntries() {
		client.ServerURLs = append(client.ServerURLs, "http://"+e.OperatorAddr())
	}
	return client
}
