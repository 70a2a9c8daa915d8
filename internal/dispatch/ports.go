// Package dispatch sends a caller's request to an endpoint and returns the answer:
// through the entry's own workers if possible, otherwise through a peer. It
// distinguishes three outcomes (answered, not run, unknown) and never lets a request
// that is not idempotent reach an endpoint twice.
//
// The decisions are pure functions (decide.go, choose.go); the rest of the package
// makes the calls that they ask for.
package dispatch

import (
	"context"
	"time"

	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// SlotRequest describes the slot that a request needs.
type SlotRequest struct {
	Class string
	// Slack is the time left until the class's target, negative if it has passed.
	Slack time.Duration
	// ExcludeWorkers are workers that must not be chosen again for this request.
	ExcludeWorkers []string
}

// SlotLease is a slot on an own worker, leased for one attempt.
type SlotLease struct {
	// ID identifies the lease in Slots.
	ID     uint64
	Target endpoint.Target
	Fence  endpoint.FencingToken
}

// AttemptReport is the result of an attempt under a slot lease.
type AttemptReport struct {
	Outcome structs.Outcome
	// Code is the error code, empty for an answer.
	Code structs.Code
	// Unsent is true if certainly no byte reached the endpoint.
	Unsent bool
	// Abandoned is true if the attempt was cancelled because another one was answered
	// first; it then says little about the worker.
	Abandoned bool
	// Duration is how long the attempt took.
	Duration time.Duration
}

// Slots leases the slots of the entry's own workers. It is implemented by the entry's
// control goroutine.
type Slots interface {
	// Acquire leases a slot without waiting for one. It fails with CodeNoCapacity if
	// none is free, and with another code (CodeNoAuthority, CodeDraining,
	// CodeUnavailable) if the entry may not dispatch at all.
	Acquire(ctx context.Context, a SlotRequest) (SlotLease, error)
	// Release returns a slot. After an unknown outcome the endpoint may still be
	// running the request.
	Release(l SlotLease, u AttemptReport)
}

// Load is an entry's load as of its last digest.
type Load struct {
	// Member is the peer's ID; empty for the entry itself.
	Member     string
	SameRegion bool
	FreeSlots  int
	TotalSlots int
	// Queued is the number of requests that wait for a slot.
	Queued int
	// ServiceTime is the median time that an endpoint needs for a request.
	ServiceTime time.Duration
	// RoundTrip is the network round-trip time to the peer.
	RoundTrip time.Duration
}

// Peers gives access to the other entries of the cell.
type Peers interface {
	// Loads returns the entry's own load and the loads of all peers that accept
	// requests now. Neither side may modify the result.
	Loads() (self Load, peers []Load)
	// Dispatch forwards a request. An error that wraps a *NotSentError means that the
	// peer certainly did not receive the request; with any other error it may have.
	Dispatch(ctx context.Context, member string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error)
}

// Decision is the answer of a key's home to a request for a permit.
type Decision struct {
	// Granted permits the request to be dispatched.
	Granted bool
	// ValidUntil is when the permit expires; zero if it does not.
	ValidUntil time.Time
	// Answer is the answer to the key's earlier request, if the permit is not granted.
	Answer structs.Answer
}

// Keys calls the home of an idempotency key.
type Keys interface {
	// Permit requests a permit to dispatch. It fails with CodeInProgress if an earlier
	// request with the key has not ended, and with CodeKeyReused if the fingerprint
	// differs. After any failure nothing may be dispatched.
	Permit(ctx context.Context, key, requestID string, fingerprint []byte) (Decision, error)
	// Settle reports the outcome of a request that had a permit, or may have had one.
	Settle(ctx context.Context, key string, fingerprint []byte, a structs.Answer) error
}

// Sender makes one attempt at an endpoint; *endpoint.Client is one.
type Sender interface {
	Send(ctx context.Context, t endpoint.Target, f endpoint.FencingToken, r structs.Request, deadline time.Time) endpoint.Result
}

// Classes gives access to the configured classes.
type Classes interface {
	// Class returns a class by name. It fails with CodeNotFound if there is none, and
	// with another code if the entry does not know the configuration.
	Class(name string) (structs.Class, error)
}

// NotSentError wraps a failure that occurred before the peer can have received the
// request.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
