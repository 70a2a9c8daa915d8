package operator

import (
	"context"
	"net/http"
	"slices"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// handler serves the interface over a backend.
type handler struct {
	backend Backend
}

// NewHandler returns the interface; requests need one of the keys.
func NewHandler(backend Backend, keys httpx.Keys) http.Handler {
	h := &handler{backend: backend}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+classesPath, h.listClasses)
	mux.HandleFunc("GET "+classesPath+"/{name}", h.getClass)
	mux.HandleFunc("PUT "+classesPath+"/{name}", h.setClass)
	mux.HandleFunc("GET "+quotasPath, h.listQuotas)
	mux.HandleFunc("GET "+quotasPath+"/{team}", h.getQuota)
	mux.HandleFunc("PUT "+quotasPath+"/{team}", h.setQuota)
	mux.HandleFunc("GET "+leavingsPath, h.listLeavings)
	mux.HandleFunc("GET "+leavingsPath+"/{instance}", h.getLeaving)
	mux.HandleFunc("PUT "+leavingsPath+"/{instance}", h.addLeaving)
	mux.HandleFunc("DELETE "+leavingsPath+"/{instance}", h.removeLeaving)
	mux.HandleFunc("GET "+statusPath, h.status)
	mux.HandleFunc("GET "+explainPath+"/{job}", h.explain)
	mux.HandleFunc("/", notFound)
	return keys.Require(mux)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	httpx.WriteError(w, structs.NewError(structs.CodeNotFound, "%s %s: no such call", r.Method, r.URL.Path))
}

func (h *handler) listClasses(w http.ResponseWriter, r *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, ClassList{Classes: h.backend.Classes(r.Context())})
}

func (h *handler) getClass(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	writeFound(w, h.backend.Classes(r.Context()), "class "+name, func(c structs.Class) bool {
		return c.Name == name
	})
}

func (h *handler) setClass(w http.ResponseWriter, r *http.Request) {
	var in ClassChange
	id, err := readChange(r, &in)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if err := resolveName(r.PathValue("name"), &in.Class.Name); err != nil {
		httpx.WriteError(w, err)
		return
	}
	if err := in.Class.Validate(); err != nil {
		httpx.WriteError(w, err)
		return
	}
	in.Class.Version = 0
	h.apply(w, r, func(ctx context.Context) (Change, error) {
		return h.backend.SetClass(ctx, in.Class, in.BaseVersion, id)
	})
}

func (h *handler) listQuotas(w http.ResponseWriter, r *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, QuotaList{Quotas: h.backend.Quotas(r.Context())})
}

func (h *handler) getQuota(w http.ResponseWriter, r *http.Request) {
	team := r.PathValue("team")
	writeFound(w, h.backend.Quotas(r.Context()), "quota of team "+team, func(q structs.Quota) bool {
		return q.Team == team
	})
}

func (h *handler) setQuota(w http.ResponseWriter, r *http.Request) {
	var in QuotaChange
	id, err := readChange(r, &in)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if err := resolveName(r.PathValue("team"), &in.Quota.Team); err != nil {
		httpx.WriteError(w, err)
		return
	}
	if in.Quota.Limit.HasNegative() {
		httpx.WriteError(w, structs.NewError(structs.CodeInvalid, "limit: must not be negative"))
		return
	}
	in.Quota.Version = 0
	h.apply(w, r, func(ctx context.Context) (Change, error) {
		return h.backend.SetQuota(ctx, in.Quota, in.BaseVersion, id)
	})
}

func (h *handler) listLeavings(w http.ResponseWriter, r *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, LeavingList{Declarations: h.backend.Leavings(r.Context())})
}

func (h *handler) getLeaving(w http.ResponseWriter, r *http.Request) {
	instance := r.PathValue("instance")
	writeFound(w, h.backend.Leavings(r.Context()), "declaration for instance "+instance, func(l structs.LeavingDeclaration) bool {
		return l.Instance == instance
	})
}

func (h *handler) addLeaving(w http.ResponseWriter, r *http.Request) {
	h.changeLeaving(w, r, false)
}

func (h *handler) removeLeaving(w http.ResponseWriter, r *http.Request) {
	h.changeLeaving(w, r, true)
}

func (h *handler) changeLeaving(w http.ResponseWriter, r *http.Request, remove bool) {
	var in LeavingChange
	id, err := readChange(r, &in)
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	leaving := structs.LeavingDeclaration{ConfirmedStopped: in.ConfirmedStopped, Unlisted: in.Unlisted}
	if err := resolveName(r.PathValue("instance"), &leaving.Instance); err != nil {
		httpx.WriteError(w, err)
		return
	}
	h.apply(w, r, func(ctx context.Context) (Change, error) {
		return h.backend.SetLeaving(ctx, leaving, remove, in.BaseVersion, id)
	})
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.backend.Status(r.Context())
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, status)
}

func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	status, err := h.backend.Explain(r.Context(), r.PathValue("job"))
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, status)
}

// apply makes a change and answers 200 if it is accepted, else 409 with the
// value that is in force.
func (h *handler) apply(w http.ResponseWriter, r *http.Request, change func(context.Context) (Change, error)) {
	out, err := change(r.Context())
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	if out.Accepted {
		httpx.WriteJSON(w, http.StatusOK, out)
		return
	}
	err = structs.NewError(structs.CodeConflict, "another change came first: version %d is in force", out.Version)
	httpx.WriteJSON(w, http.StatusConflict, struct {
		Error  *structs.Error `json:"error"`
		Change Change         `json:"change"`
	}{structs.AsError(err), out})
}

// readChange decodes the body of a change and returns the change ID.
func readChange(r *http.Request, in any) (string, error) {
	id := r.Header.Get(ChangeIDHeader)
	if id == "" || len(id) > maxChangeIDBytes {
		return "", structs.NewError(structs.CodeInvalid, "header %s: want 1 to %d bytes", ChangeIDHeader, maxChangeIDBytes)
	}
	return id, httpx.ReadJSON(r, maxBodyBytes, in)
}

// resolveName validates the name in the path and sets it in the body, which must
// have the same name or none.
func resolveName(path string, body *string) error {
	if !structs.ValidName(path) {
		return structs.NewError(structs.CodeInvalid, "name %q: want 1 to 63 of a-z 0-9 . _ -", path)
	}
	if *body != "" && *body != path {
		return structs.NewError(structs.CodeInvalid, "the path names %q, the body %q", path, *body)
	}
	*body = path
	return nil
}

// writeFound answers with the first value that matches, or not found.
func writeFound[T any](w http.ResponseWriter, all []T, what string, match func(T) bool) {
	i := slices.IndexFunc(all, match)
	if i < 0 {
		httpx.WriteError(w, structs.NewError(structs.CodeNotFound, "no %s", what))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, all[i])
}
