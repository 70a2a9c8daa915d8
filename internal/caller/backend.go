// Package caller is the HTTP/JSON interface of an entry towards the callers, and
// the client that the command line and the load tool use to speak it.
//
// Every request ends in one of three outcomes, each with its own status: answered
// (200), not run (a 4xx status or 503) and unknown (504). The body is a
// structs.Answer in JSON.
package caller

import (
	"context"
	"time"

	"dotterelhitch/internal/structs"
)

// Backend does the work behind the callers' interface. The server calls it from
// many goroutines at once.
type Backend interface {
	// Request runs one request; ctx carries its deadline and does not end when
	// the caller disconnects.
	Request(ctx context.Context, r structs.Request) structs.Answer
	// SubmitJob accepts a job; a repeat of the change ID returns the same job ID.
	SubmitJob(ctx context.Context, j structs.Job, changeID string) (id string, err error)
	// JobStatus returns a job's state, after at most wait if it has not ended.
	JobStatus(ctx context.Context, id string, wait time.Duration) (structs.JobStatus, error)
	// CancelJobs cancels the jobs that the filter selects.
	CancelJobs(ctx context.Context, f structs.JobFilter, changeID string) (n int, err error)
}

// Headers of the callers' interface.
const (
	// HeaderKey bears the caller's idempotency key, for jobs the change ID.
	HeaderKey = "Idempotency-Key"
	// HeaderIdempotent is "true" if running the request twice does no harm.
	HeaderIdempotent = "Hitch-Idempotent"
	// HeaderDeadline is the time that the caller waits, in milliseconds.
	HeaderDeadline = "Hitch-Deadline-Ms"
	// HeaderClientID is echoed as it came.
	HeaderClientID = "Hitch-Client-Id"
	// HeaderRequestID bears the system's request ID on every answer.
	HeaderRequestID = "Hitch-Request-Id"
)

// JobAccepted is the body that tells of an accepted job.
type JobAccepted struct {
	ID       string `json:"id"`
	ChangeID string `json:"change_id"`
}

// JobsCancelled is the body that tells how many jobs were cancelled.
type JobsCancelled struct {
	Cancelled int    `json:"cancelled"`
	ChangeID  string `json:"change_id"`
}
