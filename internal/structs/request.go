package structs

// Outcome is what the system says of a request. The three are never blurred.
type Outcome string

const (
	// OutcomeAnswered is a whole answer from an endpoint.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that certainly no endpoint ran the request.
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
	// ID is unique in the cell and given by the entry that took the request.
	ID    string `json:"id"`
	Class string `json:"class"`
	// Key is the caller's idempotency key; empty if there is none.
	Key string `json:"key,omitempty"`
	// Idempotent says that running the request again does no harm.
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
