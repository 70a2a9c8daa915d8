// Package dispatch carries a caller's request to an endpoint and its answer back:
// over the entry's own workers first, else over a peer. It keeps the three
// outcomes apart (answered, not run, unknown) and never lets a request that is
// not idempotent reach an endpoint twice.
//
// The decisions are plain functions without I/O (decide.go, choose.go); the rest
// of the package does the calls that they ask for.
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
	// Slack is the time left to the class's target, negative if late.
	Slack time.Duration
	// ExcludeWorkers are workers that must not be chosen again for this request.
	ExcludeWorkers []string
}

// SlotLease is a slot on an own worker, held for one attempt.
type SlotLease struct {
	// ID names the lease towards Slots.
	ID     uint64
	Target endpoint.Target
	Fence  endpoint.FencingToken
}

// AttemptReport is what became of an attempt under a lease.
type AttemptReport struct {
	Outcome structs.Outcome
	// Code is the type of the failure, empty for an answer.
	Code structs.Code
	// Unsent is true if certainly no byte reached the endpoint.
	Unsent bool
	// Abandoned is true if the attempt was given up because another one had
	// answered, so that it says little about the worker.
	Abandoned bool
	// Duration is the time of the attempt.
	Duration time.Duration
}

// Slots gives out the slots of the entry's own workers. The control goroutine of
// the entry stands behind it.
type Slots interface {
	// Acquire takes a slot without waiting for one. It fails with
	// CodeNoCapacity if none is free, and with another type (CodeNoAuthority,
	// CodeDraining, CodeUnavailable) if the entry may not dispatch at all.
	Acquire(ctx context.Context, a SlotRequest) (SlotLease, error)
	// Release gives a slot back. After an unknown outcome the endpoint may still
	// be running the request.
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
	// ServiceTime is the median time that an endpoint takes for a request.
	ServiceTime time.Duration
	// RoundTrip is the time of a call to the peer and back.
	RoundTrip time.Duration
}

// Peers reaches the other entries of the cell.
type Peers interface {
	// Loads returns the entry's own load and that of every peer that may be
	// asked now. The result is not changed by either side.
	Loads() (self Load, peers []Load)
	// Dispatch forwards a request. An error that wraps a *NotSentError says that
	// the peer certainly did not get the request; any other leaves that open.
	Dispatch(ctx context.Context, member string, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error)
}

// Decision is the home's word on a keyed request.
type Decision struct {
	// Granted is leave to dispatch this request.
	Granted bool
	// ValidUntil is when the leave ends; zero for no bound.
	ValidUntil time.Time
	// Answer is that of the key's earlier request, if leave is not granted.
	Answer structs.Answer
}

// Keys asks the home of an idempotency key.
type Keys interface {
	// Permit asks for leave to dispatch. It fails with CodeInProgress if an
	// earlier request of the key has not ended, with CodeKeyReused if the
	// fingerprint differs; after any failure nothing may be dispatched.
	Permit(ctx context.Context, key, requestID string, fingerprint []byte) (Decision, error)
	// Settle tells what became of a request that had leave, or may have had it.
	Settle(ctx context.Context, key string, fingerprint []byte, a structs.Answer) error
}

// Sender makes one attempt at an endpoint; *endpoint.Client is one.
type Sender interface {
	Send(ctx context.Context, t endpoint.Target, f endpoint.FencingToken, r structs.Request, deadline time.Time) endpoint.Result
}

// Classes tells what operators have stated.
type Classes interface {
	// Class returns a class by its name. It fails with CodeNotFound if there is
	// none, and with another type if the entry can't tell.
	Class(name string) (structs.Class, error)
}

// NotSentError marks a failure before a peer can have got a request.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap gives errors.As the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }
