// Package cell runs one member of a cell on a platform whose workers and log check fencing
// tokens. One member is the controller. The others forward callers' requests to it, call the
// placement advisor for it, relay its calls to the store, and take over if it fails.
// Scheduling is decided in internal/controller and leadership in internal/election; this
// package makes the network calls for both.
package cell

import (
	"context"
	"time"

	"dotterelhitch/internal/agent"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/workload"
)

// Log is the platform's append-only log.
type Log interface {
	stream.Reader
	Append(ctx context.Context, a stream.Append) (stream.AppendResult, error)
}

// Workers sends orders to workers under a fencing token.
type Workers = agent.Workers

// Advisor is the external placement advisor.
type Advisor interface {
	// RequestTickets asks which of the workers may run a step. It returns a ticket for each of
	// them and how long the tickets are valid, zero if the advisor does not say.
	RequestTickets(ctx context.Context, step workload.StepID, workers []string) ([]workload.Ticket, time.Duration, error)
}

// PlatformTopics names the topics in which the platform writes its configuration and its list
// of workers, and decodes their records.
type PlatformTopics struct {
	ConfigTopic  string
	ConfigKey    string
	DecodeConfig func(value []byte) (*workload.Config, error)

	WorkerTopic  string
	DecodeWorker func(id string, value []byte) (workload.Worker, error)
}
