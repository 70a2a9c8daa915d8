package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dotterelhitch/internal/structs"
)

// handleRequest reads one complete request, passes it to the backend and writes
// the outcome. The request occupies an in-flight slot only while the backend
// handles it, so a caller that sends or reads slowly does not occupy one.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := s.opts.NewID()
	w.Header().Set(HeaderRequestID, id)
	answer := s.answer(w, r, id, arrived)
	s.counts.countOutcome(answer.Outcome)
	writeAnswer(w, answer)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, arrived time.Time) structs.Answer {
	req, timeout, err := parseRequest(r.PathValue("class"), r.Header, s.opts.DefaultDeadline)
	if err != nil {
		return notRunAnswer(id, err)
	}
	req.ID = id
	req.Body, err = s.readBody(w, r, structs.MaxRequestBytes)
	if err != nil {
		return notRunAnswer(id, err)
	}
	if !tryAcquire(s.inFlightSlots) {
		return notRunAnswer(id, s.refuseAtLimit())
	}
	defer release(s.inFlightSlots)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), arrived.Add(timeout))
	defer cancel()
	return s.backend.Request(ctx, req)
}

// refuseAtLimit counts a call refused because MaxInFlight was reached and returns
// its error, which carries a retry hint.
func (s *Server) refuseAtLimit() error {
	s.counts.refusedAtLimit.Inc()
	return structs.NewRetryAfterError(structs.CodeOverload, retryAfterAtLimit, "the entry has reached its limit of calls in flight")
}

func notRunAnswer(id string, err error) structs.Answer {
	return structs.Answer{RequestID: id, Outcome: structs.OutcomeNotRun, Err: structs.AsError(err)}
}

// parseRequest builds a request, without ID and body, from the class in the path
// and the headers. It also returns the request's timeout, def if the caller set
// none.
func parseRequest(class string, h http.Header, def time.Duration) (structs.Request, time.Duration, error) {
	r := structs.Request{Class: class, Key: h.Get(HeaderKey)}
	if !structs.ValidName(class) {
		return r, 0, structs.NewError(structs.CodeInvalid, "class %.80q: want 1 to 63 of a-z 0-9 . _ -", class)
	}
	if err := checkKey(r.Key); err != nil {
		return r, 0, err
	}
	idempotent, err := parseIdempotent(h.Get(HeaderIdempotent))
	if err != nil {
		return r, 0, err
	}
	r.Idempotent = idempotent
	timeout, err := parseMillis(HeaderDeadline, h.Get(HeaderDeadline), def, time.Millisecond, MaxDeadline)
	return r, timeout, err
}

// checkKey accepts an empty key, or printable ASCII without blanks of at most
// MaxKeyBytes.
func checkKey(key string) error {
	if len(key) > structs.MaxKeyBytes {
		return structs.NewError(structs.CodeInvalid, "%s of %d bytes: at most %d", HeaderKey, len(key), structs.MaxKeyBytes)
	}
	unprintable := func(c rune) bool { return c <= ' ' || c > '~' }
	if strings.ContainsFunc(key, unprintable) {
		return structs.NewError(structs.CodeInvalid, "%s: want printable ASCII without blanks", HeaderKey)
	}
	return nil
}

// parseIdempotent treats a missing header as false, the safe default: a request
// that is not idempotent is never run twice.
func parseIdempotent(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false", "":
		return false, nil
	}
	return false, structs.NewError(structs.CodeInvalid, "%s %.20q: want true or false", HeaderIdempotent, s)
}

// parseMillis parses s as a number of milliseconds from low to high, both
// inclusive. An empty s yields def.
func parseMillis(name, s string, def, low, high time.Duration) (time.Duration, error) {
	if s == "" {
		return def, nil
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil || ms < low.Milliseconds() || ms > high.Milliseconds() {
		return 0, structs.NewError(structs.CodeInvalid, "%s %.20q: want %d to %d", name, s, low.Milliseconds(), high.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
