package logsvc

import (
	"io"
	"net/http"
	"strings"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/standin/query"
	"dotterelhitch/internal/structs"
)

// maxAdminBytes bounds the body of an admin call.
const maxAdminBytes = 64 << 10

func (s *Service) routes(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.guard(s.handleAppend))
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.guard(s.handleRead))
	mux.HandleFunc("POST /admin/faults", s.handleFaults)
	mux.HandleFunc("GET /admin/status", s.handleStatus)
	handler := cfg.Keys.Require(mux)
	if cfg.Clock == nil {
		return handler
	}
	return cfg.Clock.Middleware(handler)
}

// guard applies the outage and the delay around a call. The second half of the
// delay follows the effect, so that a caller that gives up meets both cases.
func (s *Service) guard(next func(http.ResponseWriter, *http.Request, Faults)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.passOutage(w, r) {
			return
		}
		faults := s.Status().Faults
		time.Sleep(faults.halfDelay())
		next(w, r, faults)
	}
}

// passOutage reports whether the call may go on. In an outage it refuses the
// call or holds it until the outage ends and then drops it.
func (s *Service) passOutage(w http.ResponseWriter, r *http.Request) bool {
	outage, changed := s.outage()
	switch outage {
	case OutageRefuse:
		httpx.WriteError(w, structs.NewError(structs.CodeUnavailable, "the log service is out"))
		return false
	case OutageHang:
		// The server notices that a caller leaves once it has read the body.
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, platformlog.MaxRecordBytes))
		for outage == OutageHang {
			select {
			case <-changed:
			case <-r.Context().Done():
				return false
			}
			outage, changed = s.outage()
		}
		panic(http.ErrAbortHandler)
	default:
		return true
	}
}

func (s *Service) outage() (Outage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage, s.changed
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request, faults Faults) {
	name := r.PathValue("stream")
	if !validStream(name) {
		httpx.WriteError(w, structs.NewError(structs.CodeInvalid, "stream name %q", name))
		return
	}
	data, err := httpx.ReadLimited(r.Body, platformlog.MaxRecordBytes)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if err := s.awaitTurn(r.Context()); err != nil {
		httpx.WriteError(w, err)
		return
	}
	if lost := s.takeLost(name); lost != nil {
		s.loseAnswer(r, name, data, *lost)
	}
	offset := s.Append(name, data)
	time.Sleep(faults.halfDelay())
	if outage, _ := s.outage(); outage != OutageNone {
		// The append has taken effect: a refusal would be a lie.
		panic(http.ErrAbortHandler)
	}
	httpx.WriteJSON(w, http.StatusOK, platformlog.AppendResult{Offset: offset})
}

func (s *Service) takeLost(name string) *LostAnswers {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.takeLost(name)
}

// loseAnswer makes the append take effect and breaks the caller's connection
// without an answer. It does not return.
func (s *Service) loseAnswer(r *http.Request, name string, data []byte, lost LostAnswers) {
	effect := time.Duration(lost.EffectAfterMs) * time.Millisecond
	switch {
	case lost.DropAppend:
	case effect > 0:
		time.AfterFunc(effect, func() { s.Append(name, data) })
	default:
		s.Append(name, data)
	}
	if lost.KeepConnOpen {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request, faults Faults) {
	q := query.New(r)
	from := q.Int("from", 1)
	limit := q.Int("max", maxBatchRecords)
	wait := q.Millis("wait_ms", maxWait)
	name := r.PathValue("stream")
	if err := q.Err(); err != nil || from < 1 || limit < 1 || !validStream(name) {
		httpx.WriteError(w, structs.NewError(structs.CodeInvalid, "read of %q: %s: want from >= 1, max >= 1, wait_ms >= 0", name, r.URL.RawQuery))
		return
	}
	batch := s.await(r, name, from, int(min(limit, maxBatchRecords)), wait)
	time.Sleep(faults.halfDelay())
	if !s.passOutage(w, r) {
		return
	}
	httpx.WriteJSON(w, http.StatusOK, batch)
}

// await reads, and waits up to wait for a record at or after from.
func (s *Service) await(r *http.Request, name string, from int64, limit int, wait time.Duration) platformlog.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed := s.read(name, from, limit)
		if len(batch.Records) > 0 {
			return batch
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.Read(name, from, limit)
		case <-r.Context().Done():
			return batch
		}
	}
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var change FaultChange
	if err := httpx.ReadJSON(r, maxAdminBytes, &change); err != nil {
		httpx.WriteError(w, err)
		return
	}
	if err := s.ChangeFaults(change); err != nil {
		httpx.WriteError(w, err)
		return
	}
	s.recorder.Record(event.Event{Type: event.FaultInjected, Detail: "log: " + change.String()})
	httpx.WriteJSON(w, http.StatusOK, s.Status())
}

func (s *Service) handleStatus(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, s.Status())
}

func validStream(name string) bool {
	return name != "" && len(name) <= 128 && !strings.Contains(name, "/")
}
