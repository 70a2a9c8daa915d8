package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// handleSubmit accepts a job.
func (s *Server) handleSubmit(w http.ResponseWriter, r *http.Request) {
	var job structs.Job
	s.change(w, r, &job, s.opts.NewJobKey, http.StatusCreated, func(ctx context.Context, changeID string) (any, error) {
		if err := job.Validate(); err != nil {
			return nil, err
		}
		id, err := s.backend.SubmitJob(ctx, job, changeID)
		return JobAccepted{ID: id, ChangeID: changeID}, err
	})
}

// handleCancelMany cancels the jobs that a filter selects.
func (s *Server) handleCancelMany(w http.ResponseWriter, r *http.Request) {
	var filter structs.JobFilter
	s.change(w, r, &filter, s.opts.NewID, http.StatusOK, func(ctx context.Context, changeID string) (any, error) {
		return s.cancel(ctx, filter, changeID)
	})
}

// handleCancelOne cancels one job.
func (s *Server) handleCancelOne(w http.ResponseWriter, r *http.Request) {
	filter := structs.JobFilter{ID: r.PathValue("id")}
	s.change(w, r, nil, s.opts.NewID, http.StatusOK, func(ctx context.Context, changeID string) (any, error) {
		if err := checkJobID(filter.ID); err != nil {
			return nil, err
		}
		return s.cancel(ctx, filter, changeID)
	})
}

func (s *Server) cancel(ctx context.Context, f structs.JobFilter, changeID string) (any, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	n, err := s.backend.CancelJobs(ctx, f, changeID)
	return JobsCancelled{Cancelled: n, ChangeID: changeID}, err
}

// change reads a body into v (nil for none) and applies it under the bound in
// flight. A caller that disconnects does not stop it. A change without an ID gets one
// from newID.
func (s *Server) change(w http.ResponseWriter, r *http.Request, v any, newID func() string, status int,
	apply func(context.Context, string) (any, error),
) {
	out, err := s.tryChange(w, r, v, newID, apply)
	if err != nil {
		writeError(w, err)
		return
	}
	httpx.WriteJSON(w, status, out)
}

func (s *Server) tryChange(w http.ResponseWriter, r *http.Request, v any, newID func() string,
	apply func(context.Context, string) (any, error),
) (any, error) {
	arrived := time.Now()
	changeID := r.Header.Get(HeaderKey)
	if err := checkKey(changeID); err != nil {
		return nil, err
	}
	if changeID == "" {
		changeID = newID()
	}
	w.Header().Set(HeaderKey, changeID)
	timeout, err := parseMillis(HeaderDeadline, r.Header.Get(HeaderDeadline), s.opts.DefaultDeadline, time.Millisecond, MaxDeadline)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r, maxJobBytes)
	if err != nil {
		return nil, err
	}
	if err := decodeBody(body, v); err != nil {
		return nil, err
	}
	if !acquire(s.inFlight) {
		return nil, s.full()
	}
	defer release(s.inFlight)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), arrived.Add(timeout))
	defer cancel()
	return apply(ctx, changeID)
}

// handleStatus returns a job's state, on request after waiting for its end.
func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.status(r)
	if err != nil {
		writeError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, status)
}

func (s *Server) status(r *http.Request) (structs.JobStatus, error) {
	id := r.PathValue("id")
	if err := checkJobID(id); err != nil {
		return structs.JobStatus{}, err
	}
	wait, err := parseMillis("wait_ms", r.URL.Query().Get("wait_ms"), 0, 0, MaxJobWait)
	if err != nil {
		return structs.JobStatus{}, err
	}
	bound := s.inFlight
	if wait > 0 {
		bound = s.waiting
	}
	if !acquire(bound) {
		return structs.JobStatus{}, s.full()
	}
	defer release(bound)
	ctx, cancel := context.WithTimeout(r.Context(), wait+s.opts.DefaultDeadline)
	defer cancel()
	return s.backend.JobStatus(ctx, id, wait)
}

func checkJobID(id string) error {
	if id == "" || len(id) > maxJobIDBytes || structs.JobGroup(id) == "" {
		return structs.NewError(structs.CodeInvalid, "job %.80q: want <group>:<name>", id)
	}
	return nil
}

// decodeBody decodes one JSON value into v, refusing unknown members and
// trailing data. A nil v takes no body.
func decodeBody(body []byte, v any) error {
	if v == nil {
		return nil
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return structs.NewError(structs.CodeInvalid, "body: %v", err)
	}
	if dec.More() {
		return structs.NewError(structs.CodeInvalid, "body: data after the JSON value")
	}
	return nil
}
