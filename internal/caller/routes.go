package caller

import (
	"net/http"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// Handler returns the handler of the callers' interface. Any path or method
// without a route gets an error with the code not_found.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/classes/{class}/requests", s.handleRequest)
	mux.HandleFunc("POST /v1/jobs", s.handleSubmit)
	mux.HandleFunc("POST /v1/jobs/cancel", s.handleCancelMany)
	mux.HandleFunc("GET /v1/jobs/{id}", s.handleStatus)
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.handleCancelOne)
	mux.HandleFunc("/", notFound)

	outer := http.NewServeMux()
	outer.HandleFunc("GET /healthz", s.handleHealth)
	outer.HandleFunc("GET /readyz", s.handleReady)
	outer.Handle("/", s.opts.Keys.Require(mux))

	h := s.withLimits(outer)
	if s.opts.Clock != nil {
		h = s.opts.Clock.Middleware(h)
	}
	return h
}

// withLimits sets the headers common to all answers, the read deadline of the
// request body and the write deadline of the answer.
func (s *Server) withLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(HeaderClientID); id != "" && len(id) <= maxClientIDBytes {
			w.Header().Set(HeaderClientID, id)
		}
		if s.shouldCloseConns() {
			w.Header().Set("Connection", "close")
		}
		setBodyDeadline(w, r, s.opts.BodyTimeout)
		next.ServeHTTP(&answerWriter{ResponseWriter: w, timeout: s.opts.WriteTimeout}, r)
	})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, structs.NewError(structs.CodeNotFound, "no %s %.80q on this interface", r.Method, r.URL.Path))
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		writeError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}
