// Package operator is the operators' HTTP/JSON interface of an entry: targets of
// classes, quotas of teams, instances declared as leaving, and the state of the
// cell. It also holds the client that the command line uses.
package operator

import (
	"context"
	"encoding/json"

	"dotterelhitch/internal/structs"
)

// Change is the outcome of one change of the configuration.
type Change struct {
	// Version is that of the current value: the accepted change, or the one
	// that was accepted before it.
	Version int64 `json:"version"`
	// Accepted is false if another change came first.
	Accepted bool `json:"accepted"`
	// Current is the value in force, nil if there is none.
	Current any `json:"current,omitempty"`
}

// Backend is what the entry provides. Every change names the version it is based
// on, zero for a value that does not exist yet, and an ID that makes a repeat
// harmless. A version conflict is reported as a Change that is not accepted, not
// as an error.
type Backend interface {
	SetClass(ctx context.Context, c structs.Class, base int64, changeID string) (Change, error)
	Classes(ctx context.Context) []structs.Class
	SetQuota(ctx context.Context, q structs.Quota, base int64, changeID string) (Change, error)
	Quotas(ctx context.Context) []structs.Quota
	SetLeaving(ctx context.Context, l structs.LeavingDeclaration, remove bool, base int64, changeID string) (Change, error)
	Leavings(ctx context.Context) []structs.LeavingDeclaration
	Status(ctx context.Context) (structs.CellStatus, error)
	Explain(ctx context.Context, jobID string) (structs.JobStatus, error)
}

// ChangeIDHeader carries the ID of a change.
const ChangeIDHeader = "Hitch-Change-Id"

// Bounds of the interface.
const (
	maxBodyBytes     = 64 << 10
	maxChangeIDBytes = 64
)

// The paths of the interface.
const (
	classesPath  = "/v1/classes"
	quotasPath   = "/v1/quotas"
	leavingsPath = "/v1/leaving"
	statusPath   = "/v1/status"
	explainPath  = "/v1/explain"
)

// ClassChange is the body of PUT /v1/classes/{name}.
type ClassChange struct {
	BaseVersion int64         `json:"base"`
	Class       structs.Class `json:"class"`
}

// QuotaChange is the body of PUT /v1/quotas/{team}.
type QuotaChange struct {
	BaseVersion int64         `json:"base"`
	Quota       structs.Quota `json:"quota"`
}

// LeavingChange is the body of PUT and DELETE /v1/leaving/{instance}.
type LeavingChange struct {
	BaseVersion int64 `json:"base"`
	// ConfirmedStopped is the operator's word that the instance no longer runs anything.
	ConfirmedStopped bool `json:"gone,omitempty"`
	// Unlisted declares an instance that the platform's list does not hold.
	Unlisted bool `json:"unlisted,omitempty"`
}

// ClassList is the answer of GET /v1/classes.
type ClassList struct {
	Classes []structs.Class `json:"classes"`
}

// QuotaList is the answer of GET /v1/quotas.
type QuotaList struct {
	Quotas []structs.Quota `json:"quotas"`
}

// LeavingList is the answer of GET /v1/leaving.
type LeavingList struct {
	Declarations []structs.LeavingDeclaration `json:"leavings"`
}

// conflictBody is the answer to a change rejected by a version conflict: a typed
// error with the outcome of the change, including the version in force.
type conflictBody struct {
	Error  *structs.Error `json:"error"`
	Change *changeBody    `json:"change,omitempty"`
}

// changeBody is a Change whose value is still encoded.
type changeBody struct {
	Version  int64           `json:"version"`
	Accepted bool            `json:"accepted"`
	Current  json.RawMessage `json:"current,omitempty"`
}
