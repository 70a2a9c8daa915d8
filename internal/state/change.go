// Package state folds the records of the platform's log into tables. Every
// reader applies the same rules to the same prefix, so that all readers agree on
// the membership table, the configuration and the accepted jobs. The package is
// pure: it does no I/O and reads no clock.
package state

import (
	"encoding/json"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/structs"
)

// ControlStream holds membership and configuration.
const ControlStream = "control"

// JobsStream returns the stream of the jobs that a group of members decides.
func JobsStream(group string) string { return "jobs." + group }

// ChangeType names what a change does.
type ChangeType string

// The changes of the control stream, and below them those of a jobs stream.
const (
	Membership          ChangeType = "membership"
	ClassSet            ChangeType = "class_set"
	QuotaSet            ChangeType = "quota_set"
	QuotaMove           ChangeType = "quota_move"
	LeavingAdd          ChangeType = "leaving_add"
	LeavingRemove       ChangeType = "leaving_drop"
	ControlSnapshotPart ChangeType = "control_snapshot"

	JobAccept        ChangeType = "job_accept"
	JobCancel        ChangeType = "job_cancel"
	JobFail          ChangeType = "job_park"
	TasksEnd         ChangeType = "tasks_end"
	JobsSnapshotPart ChangeType = "jobs_snapshot"
)

// TaskEnd is the settled outcome of one task.
type TaskEnd struct {
	Index int                `json:"i"`
	State structs.AllocState `json:"s"`
}

// Change is one change of a table. Members that its type does not use are empty.
type Change struct {
	// ID makes a repeated append harmless and lets its author find the result.
	ID   string     `json:"id"`
	Type ChangeType `json:"type"`
	// Base is the version (configuration) or the read position (jobs) that the
	// change is based on.
	Base int64 `json:"base,omitempty"`
	// Epoch is that of the author when it made the change; it is set for acceptances
	// of jobs and moves of quotas.
	Epoch int64 `json:"epoch,omitempty"`

	Members *authority.MembershipChange `json:"members,omitempty"`

	Class *structs.Class `json:"class,omitempty"`
	Quota *structs.Quota `json:"quota,omitempty"`
	// Groups are those that a quota is split among as far as no group has it yet.
	Groups []string `json:"groups,omitempty"`
	// Move is based on the version of the part that it takes from (Base).
	Move    *structs.QuotaMove          `json:"move,omitempty"`
	Leaving *structs.LeavingDeclaration `json:"leaving,omitempty"`

	Job   *structs.Job `json:"job,omitempty"`
	JobID string       `json:"job_id,omitempty"`
	Ends  []TaskEnd    `json:"ends,omitempty"`
	// StartedMs is when the last task of the job first ran, in Unix milliseconds.
	StartedMs int64              `json:"started_ms,omitempty"`
	Filter    *structs.JobFilter `json:"filter,omitempty"`
	Reason    string             `json:"reason,omitempty"`

	Part *SnapshotPart `json:"part,omitempty"`
}

// Result is what the fold made of one change.
type Result struct {
	Offset   int64
	Change   Change
	Accepted bool
	// Err says why the change was refused.
	Err *structs.Error
}

// batch is the JSON form of a record: several changes appended at once.
type batch struct {
	Changes []Change `json:"changes"`
}

// Encode returns the record that holds the changes.
func Encode(changes []Change) ([]byte, error) {
	b, err := json.Marshal(batch{Changes: changes})
	if err != nil {
		return nil, structs.NewError(structs.CodeInvalid, "encoding changes: %v", err)
	}
	return b, nil
}

// Decode returns the changes of a record.
func Decode(data []byte) ([]Change, error) {
	var b batch
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, structs.NewError(structs.CodeInvalid, "record: %v", err)
	}
	return b.Changes, nil
}

// fold applies each change of a record and returns their results. A record that can't
// be read gives one result with its error.
func fold(offset int64, data []byte, apply func(int64, Change) Result) []Result {
	changes, err := Decode(data)
	if err != nil {
		return []Result{{Offset: offset, Err: structs.AsError(err)}}
	}
	results := make([]Result, 0, len(changes))
	for _, ch := range changes {
		results = append(results, apply(offset, ch))
	}
	return results
}

// refuse returns the result of a change that the rules do not accept.
func refuse(offset int64, ch Change, code structs.Code, format string, args ...any) Result {
	err := structs.AsError(structs.NewError(code, format, args...))
	return Result{Offset: offset, Change: ch, Err: err}
}

// accept returns the result of a change that took effect.
func accept(offset int64, ch Change) Result {
	return Result{Offset: offset, Change: ch, Accepted: true}
}
