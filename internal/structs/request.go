package structs

// Outcome is the outcome of a request as reported to the caller. A request has exactly
// one of the three.
type Outcome string

const (
	// OutcomeAnswered means that an endpoint returned a complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no endpoint ran the request, with certainty.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an endpoint may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Bounds on one request.
const (
	MaxRequestBytes = 64 << 10
	MaxAnswerBytes  = 256 << 10
	MaxKeyBytes     = 128
)

// Request is one caller's request.
type Request struct {
	// ID is unique in the cell and assigned by the entry that received the request.
	ID    string `json:"id"`
	Class string `json:"class"`
	// Key is the caller's idempotency key; empty if there is none.
	Key string `json:"key,omitempty"`
	// Idempotent reports whether the request may safely run more than once.
	Idempotent bool   `json:"idempotent"`
	Body       []byte `json:"body,omitempty"`
}

// Answer is the outcome of a request.
type Answer struct {
	RequestID string  `json:"request_id"`
	Outcome   Outcome `json:"outcome"`
	Body      []byte  `json:"body,omitempty"`
	Worker    string  `json:"worker,omitempty"`
	// Err says why the request was not run or its outcome is unknown.
	Err *Error `json:"error,omitempty"`
}
