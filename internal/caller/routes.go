package caller

import (
	"net/http"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// Handler returns the routes of the callers' interface. Every other path and
// method gets a typed not_found.
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

	h := s.prepare(outer)
	if s.opts.Clock != nil {
		h = s.opts.Clock.Middleware(h)
	}
	return h
}

// prepare sets what every answer bears and the times of its body and answer.
func (s *Server) prepare(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(HeaderClientID); id != "" && len(id) <= maxClientIDBytes {
			w.Header().Set(HeaderClientID, id)
		}
		if s.crowded() {
			w.Header().Set("Connection", "close")
		}
		limitBody(w, r, s.opts.BodyTimeout)
		next.ServeHTTP(&answerWriter{ResponseWriter: w, within: s.opts.WriteTimeout}, r)
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
