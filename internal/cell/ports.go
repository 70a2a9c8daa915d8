// Package cell runs a member of a cell whose platform fences workers and appends: one
// member is the controller, the others carry callers' calls to it, ask the placement
// advisor for it, relay its calls to the store and stand by. Decisions are in
// internal/controller and internal/election; this package makes the calls.
package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/workload"
)

// Log is the platform's append-only log.
type Log interface {
	stream.Reader
	Append(ctx context.Context, a stream.Append) (stream.AppendResult, error)
}

// Workers gives orders to workers under a fencing token.
type Workers interface {
	// Poll reads what a worker runs and renews its lease. The observation is nil
	// unless the answer is Obeyed.
	Poll(ctx context.Context, token int64, l *controller.Poll) (*workload.PollResult, controller.OrderResult)
	// Start and Stop return the worker's clock in milliseconds, zero if it is not known.
	Start(ctx context.Context, token int64, s *controller.Start) (controller.OrderResult, int64)
	Stop(ctx context.Context, token int64, s *controller.Stop) (controller.OrderResult, int64)
}

// Advisor is the external placement advisor.
type Advisor interface {
	// RequestTickets returns tickets of the workers that may run a step and how long they are
	// valid, zero if that is not said.
	RequestTickets(ctx context.Context, step workload.StepID, workers []string) ([]workload.Ticket, time.Duration, error)
}

// PlatformTopics says where the platform keeps its configuration and its list of workers in
// the log, and reads their records.
type PlatformTopics struct {
	ConfigTopic  string
	ConfigKey    string
	DecodeConfig func(value []byte) (*workload.Config, error)

	WorkerTopic  string
	DecodeWorker func(id string, value []byte) (workload.Worker, error)
}
