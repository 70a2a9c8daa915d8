package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// changeTimeout limits the wait until an appended change has been read back.
const changeTimeout = 10 * time.Second

// operatorBackend implements operator.Backend.
type operatorBackend struct {
	e *Entry
}

// commitChange appends a change. The result tells whether the change was accepted, and
// which value and version are in force; current returns those on the control goroutine.
// A conflict with another change is no error.
func (b *operatorBackend) commitChange(ctx context.Context, ch state.Change, current func() (any, int64)) (operator.Change, error) {
	if ch.ID == "" {
		ch.ID = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	r, err := b.e.commitControl(ctx, ch)
	if err != nil {
		return operator.Change{}, err
	}
	if !r.Accepted && r.Err != nil && r.Err.Code != structs.CodeConflict {
		return operator.Change{}, r.Err
	}
	out := operator.Change{Accepted: r.Accepted}
	b.e.runOnControl(func() { out.Current, out.Version = current() })
	if r.Accepted {
		out.Version = r.Offset
	}
	return out, nil
}

// SetClass implements operator.Backend.
func (b *operatorBackend) SetClass(ctx context.Context, c structs.Class, base int64, changeID string) (operator.Change, error) {
	if err := c.Validate(); err != nil {
		return operator.Change{}, err
	}
	ch := state.Change{ID: changeID, Type: state.ClassSet, Base: base, Class: &c}
	return b.commitChange(ctx, ch, func() (any, int64) {
		v, _ := b.e.core.control.Class(c.Name)
		return v, v.Version
	})
}

// Classes implements operator.Backend.
func (b *operatorBackend) Classes(context.Context) (out []structs.Class) {
	b.e.runOnControl(func() { out = b.e.core.control.Classes() })
	return out
}

// SetQuota implements operator.Backend.
func (b *operatorBackend) SetQuota(ctx context.Context, q structs.Quota, base int64, changeID string) (operator.Change, error) {
	ch := state.Change{ID: changeID, Type: state.QuotaSet, Base: base, Quota: &q}
	b.e.runOnControl(func() { ch.Groups = b.e.core.firstGroupPerRegion() })
	return b.commitChange(ctx, ch, func() (any, int64) {
		v, _ := b.e.core.control.Quota(q.Team)
		return v, v.Version
	})
}

// Quotas implements operator.Backend.
func (b *operatorBackend) Quotas(context.Context) (out []structs.Quota) {
	b.e.runOnControl(func() { out = b.e.core.control.Quotas() })
	return out
}

// SetLeaving implements operator.Backend. It refuses an unknown instance unless it is
// declared as unlisted: its name may be mistyped, and the instance that was meant would
// go on receiving work.
func (b *operatorBackend) SetLeaving(ctx context.Context, l structs.LeavingDeclaration, remove bool, base int64, changeID string) (operator.Change, error) {
	known := true
	b.e.runOnControl(func() { known = b.e.core.knowsInstance(l.Instance) })
	if !known && !remove && !l.Unlisted {
		return operator.Change{}, structs.NewError(structs.CodeNotFound,
			"instance %s is neither in the platform's list nor a member; it can be declared as unlisted", l.Instance)
	}
	ch := state.Change{ID: changeID, Type: state.LeavingAdd, Base: base, Leaving: &l}
	if remove {
		ch.Type = state.LeavingRemove
	}
	return b.commitChange(ctx, ch, func() (any, int64) {
		v, ok := b.e.core.control.Leaving(l.Instance)
		version := b.e.core.control.LeavingVersion(l.Instance)
		if !ok {
			return nil, version
		}
		return v, version
	})
}

// Leavings implements operator.Backend.
func (b *operatorBackend) Leavings(context.Context) (out []structs.LeavingDeclaration) {
	b.e.runOnControl(func() { out = b.e.core.control.Leavings() })
	return out
}

// statusTimeout limits the wait for the status of all members.
const statusTimeout = 2 * time.Second

// Status implements operator.Backend: it asks every member for its status, and lists the
// members that did not answer as missing.
func (b *operatorBackend) Status(ctx context.Context) (structs.CellStatus, error) {
	var cell structs.CellStatus
	if !b.e.runOnControl(func() { cell.Members = b.e.core.control.Members() }) {
		return cell, errShuttingDown()
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := make([]*structs.EntryStatus, len(cell.Members))
	done := make(chan struct{})
	for i, m := range cell.Members {
		go func() {
			answers[i] = b.statusOf(ctx, m)
			done <- struct{}{}
		}()
	}
	for range cell.Members {
		<-done
	}
	for i, a := range answers {
		if a == nil {
			cell.Unresponsive = append(cell.Unresponsive, cell.Members[i].ID)
			continue
		}
		cell.Entries = append(cell.Entries, *a)
	}
	return cell, nil
}

func (b *operatorBackend) statusOf(ctx context.Context, m structs.Member) *structs.EntryStatus {
	resp, err := b.e.peerClientFor(m).Status(ctx, &peerv1.StatusRequest{})
	if err != nil {
		return nil
	}
	var s structs.EntryStatus
	if json.Unmarshal(resp.Json, &s) != nil {
		return nil
	}
	return &s
}

// Explain implements operator.Backend.
func (b *operatorBackend) Explain(ctx context.Context, jobID string) (structs.JobStatus, error) {
	return b.e.requests.JobStatus(ctx, jobID, 0)
}

func (c *core) isLeaving(id string) bool {
	_, declared := c.control.Leaving(id)
	return declared || c.fleet.Worker(id).Info.State != structs.WorkerLive
}
