package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dotterelhitch/internal/structs"
)

// handleRequest reads one request whole, has it run and writes its outcome. The
// place in flight is held only while the backend works, so that neither a slow
// sender nor a slow reader holds one.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := s.opts.NewID()
	w.Header().Set(HeaderRequestID, id)
	answer := s.answer(w, r, id, arrived)
	s.counts.outcome(answer.Outcome)
	writeAnswer(w, answer)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, id string, arrived time.Time) structs.Answer {
	req, timeout, err := parseRequest(r.PathValue("class"), r.Header, s.opts.DefaultDeadline)
	if err != nil {
		return notRun(id, err)
	}
	req.ID = id
	req.Body, err = s.readBody(w, r, structs.MaxRequestBytes)
	if err != nil {
		return notRun(id, err)
	}
	if !acquire(s.inFlight) {
		return notRun(id, s.full())
	}
	defer release(s.inFlight)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), arrived.Add(timeout))
	defer cancel()
	return s.backend.Request(ctx, req)
}

// full is the refusal of a call past the bound in flight.
func (s *Server) full() error {
	s.counts.full.Inc()
	return structs.NewRetryAfterError(structs.CodeOverload, retryWhenFull, "the entry has all the work it can hold")
}

func notRun(id string, err error) structs.Answer {
	return structs.Answer{RequestID: id, Outcome: structs.OutcomeNotRun, Err: structs.AsError(err)}
}

// parseRequest reads what the path and the headers say of a request.
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

// checkKey accepts printable ASCII of a bounded length, and the empty key.
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

// parseIdempotent takes a missing header as false, the side on which nothing is
// run twice.
func parseIdempotent(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false", "":
		return false, nil
	}
	return false, structs.NewError(structs.CodeInvalid, "%s %.20q: want true or false", HeaderIdempotent, s)
}

// parseMillis reads a number of milliseconds between low and high.
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
