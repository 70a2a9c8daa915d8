package caller

import (
	stderrors "errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// StatusOf returns the HTTP status of an answer. 504 is reserved for the unknown
// outcome and 200 for an answered request, so a status is never ambiguous.
func StatusOf(a structs.Answer) int {
	switch a.Outcome {
	case structs.OutcomeAnswered:
		return http.StatusOK
	case structs.OutcomeNotRun:
		return notRunStatus(a.Err)
	default:
		return http.StatusGatewayTimeout
	}
}

func notRunStatus(e *structs.Error) int {
	if e == nil {
		return http.StatusServiceUnavailable
	}
	status := httpx.StatusOf(e.Code)
	if status == http.StatusGatewayTimeout || status == http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	return status
}

func writeAnswer(w http.ResponseWriter, a structs.Answer) {
	setRetryAfter(w.Header(), a.Err)
	httpx.WriteJSON(w, StatusOf(a), a)
}

func writeError(w http.ResponseWriter, err error) {
	setRetryAfter(w.Header(), structs.AsError(err))
	httpx.WriteError(w, err)
}

// setRetryAfter sets the Retry-After header from e's retry hint, in whole seconds
// rounded up. Without a hint the header is not set.
func setRetryAfter(h http.Header, e *structs.Error) {
	if e == nil || e.RetryAfterMs <= 0 {
		return
	}
	const msPerSecond = 1000
	h.Set("Retry-After", strconv.FormatInt((e.RetryAfterMs+msPerSecond-1)/msPerSecond, 10))
}

// readBody reads the complete body, of at most limit bytes, before the deadline
// that setBodyDeadline set, and then clears that deadline. Nothing is dispatched
// before readBody returns.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, structs.NewError(structs.CodeTooLarge, "body of %d bytes: at most %d", r.ContentLength, limit)
	}
	body, err := httpx.ReadLimited(r.Body, limit)
	if err != nil {
		s.counts.badBody.Inc()
		return nil, bodyError(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// bodyError converts a failure to read a body into a *structs.Error.
func bodyError(err error) error {
	var typed *structs.Error
	if stderrors.As(err, &typed) {
		return typed
	}
	if stderrors.Is(err, os.ErrDeadlineExceeded) {
		return structs.NewError(structs.CodeDeadline, "the body did not arrive in time")
	}
	return structs.NewError(structs.CodeInvalid, "body: %v", err)
}
