package endpoint

import (
	"time"

	"dotterelhitch/internal/structs"
)

// Target is the endpoint of a worker.
type Target struct {
	Worker string
	// Addr is "host:port".
	Addr string
	// Connections is the number of open connections that the endpoint accepts;
	// zero for the default.
	Connections int
}

// FencingToken is the authority under which a request is dispatched.
type FencingToken struct {
	Epoch int64
	Owner string
	// CheckAuthority is called after a connection is there and before the first byte is
	// sent; its failure is not run. Nil for none. It keeps the time between the
	// check of an owner's authority and the dispatch short.
	CheckAuthority func() error
}

func (f FencingToken) check() error {
	if f.CheckAuthority == nil {
		return nil
	}
	return f.CheckAuthority()
}

// Result is what became of one attempt.
type Result struct {
	Outcome structs.Outcome
	// Body is the whole answer if Outcome is answered.
	Body []byte
	// Err says why the request was not run or may have run.
	Err *structs.Error
	// Unsent is true if certainly no byte reached the endpoint.
	Unsent bool
}

// LateAnswer is an answer that came after its attempt had ended, or twice.
type LateAnswer struct {
	Worker string
	// Request is the ID that the answer bears; empty if it was not read.
	Request string
	// Bytes is the length of the answer's body, zero if it was not read.
	Bytes int
}

func answered(body []byte) Result {
	return Result{Outcome: structs.OutcomeAnswered, Body: body}
}

func unsent(err error) Result {
	return Result{Outcome: structs.OutcomeNotRun, Err: structs.AsError(err), Unsent: true}
}

func refused(e *structs.Error) Result {
	return Result{Outcome: structs.OutcomeNotRun, Err: e}
}

func unknown(err error) Result {
	return Result{Outcome: structs.OutcomeUnknown, Err: structs.AsError(err)}
}

// notRunCodes are the failure types by which an endpoint says that it did not
// run the request; docs/PLATFORM.md lists them.
var notRunCodes = map[structs.Code]bool{
	structs.CodeOverload:     true,
	structs.CodeDraining:     true,
	structs.CodeStaleEpoch:   true,
	structs.CodeUnauthorized: true,
	structs.CodeInvalid:      true,
	structs.CodeTooLarge:     true,
	structs.CodeDeadline:     true,
}

// untilDeadline returns a typed failure if less than a millisecond is left.
func untilDeadline(now, deadline time.Time) (time.Duration, error) {
	left := deadline.Sub(now)
	if left < time.Millisecond {
		return 0, structs.NewError(structs.CodeDeadline, "the deadline passed before the request was sent")
	}
	return left, nil
}
