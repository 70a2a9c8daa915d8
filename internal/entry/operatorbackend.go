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

// changeTimeout bounds the wait for a change to be read back.
const changeTimeout = 10 * time.Second

// operatorBackend implements operator.Backend.
type operatorBackend struct {
	e *Entry
}

// change appends a change and tells whether it or another one is in force.
func (b *operatorBackend) change(ctx context.Context, ch state.Change, current func() (any, int64)) (operator.Change, error) {
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
	b.e.do(func() { out.Current, out.Version = current() })
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
	return b.change(ctx, ch, func() (any, int64) {
		v, _ := b.e.core.control.Class(c.Name)
		return v, v.Version
	})
}

// Classes implements operator.Backend.
func (b *operatorBackend) Classes(context.Context) (out []structs.Class) {
	b.e.do(func() { out = b.e.core.control.Classes() })
	return out
}

// SetQuota implements operator.Backend.
func (b *operatorBackend) SetQuota(ctx context.Context, q structs.Quota, base int64, changeID string) (operator.Change, error) {
	ch := state.Change{ID: changeID, Type: state.QuotaSet, Base: base, Quota: &q}
	b.e.do(func() { ch.Groups = b.e.core.firstGroups() })
	return b.change(ctx, ch, func() (any, int64) {
		v, _ := b.e.core.control.Quota(q.Team)
		return v, v.Version
	})
}

// Quotas implements operator.Backend.
func (b *operatorBackend) Quotas(context.Context) (out []structs.Quota) {
	b.e.do(func() { out = b.e.core.control.Quotas() })
	return out
}

// SetLeaving implements operator.Backend. An instance that nobody knows is refused, as
// its name may be mistyped and the meant one would go on getting work.
func (b *operatorBackend) SetLeaving(ctx context.Context, l structs.LeavingDeclaration, remove bool, base int64, changeID string) (operator.Change, error) {
	known := true
	b.e.do(func() { known = b.e.core.knowsInstance(l.Instance) })
	if !known && !remove && !l.Unlisted {
		return operator.Change{}, structs.NewError(structs.CodeNotFound,
			"instance %s is neither in the platform's list nor a member; it can be declared as unlisted", l.Instance)
	}
	ch := state.Change{ID: changeID, Type: state.LeavingAdd, Base: base, Leaving: &l}
	if remove {
		ch.Type = state.LeavingRemove
	}
	return b.change(ctx, ch, func() (any, int64) {
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
	b.e.do(func() { out = b.e.core.control.Leavings() })
	return out
}

// statusTimeout bounds the time in which a member has to tell its state.
const statusTimeout = 2 * time.Second

// Status implements operator.Backend: it asks every member.
func (b *operatorBackend) Status(ctx context.Context) (structs.CellStatus, error) {
	var cell structs.CellStatus
	if !b.e.do(func() { cell.Members = b.e.core.control.Members() }) {
		return cell, errEnding()
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
	resp, err := b.e.peerOf(m).Status(ctx, &peerv1.StatusRequest{})
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
	return b.e.traffic.JobStatus(ctx, jobID, 0)
}

func (c *core) isLeaving(id string) bool {
	_, declared := c.control.Leaving(id)
	return declared || c.fleet.Worker(id).Info.State != structs.WorkerLive
}
