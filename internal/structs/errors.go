package structs

import (
	stderrors "errors"
	"fmt"
	"time"
)

// Code is the type of a failure; callers branch on it.
type Code string

// The failure types that cross a process boundary.
const (
	CodeInvalid      Code = "invalid"       // the input is malformed
	CodeNotFound     Code = "not_found"     // the named thing does not exist
	CodeConflict     Code = "conflict"      // the base version is not current
	CodeTooLarge     Code = "too_large"     // a size limit was passed
	CodeOverload     Code = "overload"      // the target would be missed; retry later
	CodeNoCapacity   Code = "no_capacity"   // nothing free can hold the work now
	CodeNeverFits    Code = "never_fits"    // no worker could ever hold the work
	CodeQuota        Code = "quota"         // the team's quota is used up
	CodeDeadline     Code = "deadline"      // the deadline passed
	CodeStaleEpoch   Code = "stale_epoch"   // the command's epoch is older than the fence
	CodeNotOwner     Code = "not_owner"     // the callee does not own the thing
	CodeNoAuthority  Code = "no_authority"  // the owner's authority has lapsed
	CodeBehind       Code = "behind"        // the callee has not read far enough
	CodeDraining     Code = "draining"      // the instance is shutting down
	CodeLeaving      Code = "leaving"       // the endpoint is declared as leaving
	CodeUnavailable  Code = "unavailable"   // the peer or platform service can't be reached
	CodeUnauthorized Code = "unauthorized"  // the shared key is missing or wrong
	CodeInProgress   Code = "in_progress"   // the key's first request has not ended
	CodeKeyReused    Code = "key_reused"    // the key was used with another body or class
	CodeTruncated    Code = "truncated"     // the answer ended before it was whole
	CodeUnknown      Code = "unknown_state" // the outcome can't be learned
	CodeInternal     Code = "internal"      // a fault of the system itself
)

// Error is a typed failure. It implements the error interface on its pointer.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// RetryAfterMs is a hint in milliseconds; zero if there is none.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// NewError returns an *Error with a formatted message.
func NewError(code Code, format string, args ...any) error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// NewRetryAfterError returns an *Error that carries a retry time.
func NewRetryAfterError(code Code, after time.Duration, format string, args ...any) error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), RetryAfterMs: after.Milliseconds()}
}

// AsError returns the typed failure in err's chain; an error of any other type
// becomes one of CodeInternal. It returns nil for a nil error.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return &Error{Code: CodeInternal, Message: err.Error()}
}

// CodeOf returns the type of err, CodeInternal for an untyped one and the empty
// code for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	return AsError(err).Code
}
