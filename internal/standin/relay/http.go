package relay

import (
	"net/http"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// maxAdminBytes bounds the body of an admin call.
const maxAdminBytes = 4 << 10

// Admin returns the admin interface: POST /admin/cut, /admin/silence,
// /admin/blackhole, /admin/heal and /admin/shape, and GET /admin/status.
func (r *Relay) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/cut", r.action(r.Cut))
	mux.HandleFunc("POST /admin/silence", r.action(r.Silence))
	mux.HandleFunc("POST /admin/blackhole", r.action(r.Blackhole))
	mux.HandleFunc("POST /admin/heal", r.action(r.Heal))
	mux.HandleFunc("POST /admin/shape", r.handleShape)
	mux.HandleFunc("GET /admin/status", r.action(func() {}))
	return mux
}

func (r *Relay) action(do func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		do()
		httpx.WriteJSON(w, http.StatusOK, r.Status())
	}
}

func (r *Relay) handleShape(w http.ResponseWriter, req *http.Request) {
	var s Shape
	err := httpx.ReadJSON(req, maxAdminBytes, &s)
	if err == nil {
		err = s.Validate()
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	r.SetShape(s)
	httpx.WriteJSON(w, http.StatusOK, r.Status())
}

// Validate refuses a shape that no link can have.
func (s Shape) Validate() error {
	if !(s.DelayMs >= 0) || !(s.BitsPerSecond >= 0) {
		return structs.NewError(structs.CodeInvalid, "delay_ms %v, bits_per_second %v: must not be negative", s.DelayMs, s.BitsPerSecond)
	}
	return nil
}
