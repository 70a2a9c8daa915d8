package listsvc

import (
	"net/http"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/structs"
)

// PutRequest is the body of an admin call that adds or replaces instances.
type PutRequest struct {
	Instances []structs.Worker     `json:"instances,omitempty"`
	Entries   []instancelist.Entry `json:"entries,omitempty"`
}

// StateChange is the body of an admin call that sets an instance's state.
type StateChange struct {
	ID    string              `json:"id"`
	State structs.WorkerState `json:"state"`
}

// LagChange is the body of an admin call that sets the lag.
type LagChange struct {
	LagMs int64 `json:"lag_ms"`
}

func (s *Service) handlePut(w http.ResponseWriter, r *http.Request) {
	var in PutRequest
	if err := httpx.ReadJSON(r, maxAdminBytes, &in); err != nil {
		httpx.WriteError(w, err)
		return
	}
	s.Put(in.Instances, in.Entries)
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Service) handleState(w http.ResponseWriter, r *http.Request) {
	var in StateChange
	err := httpx.ReadJSON(r, maxAdminBytes, &in)
	if err == nil {
		err = s.SetState(in.ID, in.State)
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Service) handleLag(w http.ResponseWriter, r *http.Request) {
	var in LagChange
	err := httpx.ReadJSON(r, maxAdminBytes, &in)
	if err == nil && in.LagMs < 0 {
		err = structs.NewError(structs.CodeInvalid, "lag_ms must not be negative")
	}
	if err != nil {
		httpx.WriteError(w, err)
		return
	}
	s.SetLag(time.Duration(in.LagMs) * time.Millisecond)
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}
