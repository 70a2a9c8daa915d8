package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// fakeBackend keeps classes and declarations with the rule of the log: a change
// whose base is not current is refused, a repeated change does nothing.
type fakeBackend struct {
	mu       sync.Mutex
	version  int64
	classes  map[string]structs.Class
	leavings map[string]structs.LeavingDeclaration
	done     map[string]Change
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{
		classes:  map[string]structs.Class{},
		leavings: map[string]structs.LeavingDeclaration{},
		done:     map[string]Change{},
	}
}

func (b *fakeBackend) SetClass(_ context.Context, c structs.Class, base int64, id string) (Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if done, repeated := b.done[id]; repeated {
		return done, nil
	}
	if now := b.classes[c.Name]; now.Version != base {
		return Change{Version: now.Version, Current: now}, nil
	}
	b.version++
	c.Version = b.version
	b.classes[c.Name] = c
	b.done[id] = Change{Version: c.Version, Accepted: true, Current: c}
	return b.done[id], nil
}

func (b *fakeBackend) Classes(context.Context) []structs.Class {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []structs.Class
	for _, c := range b.classes {
		all = append(all, c)
	}
	return all
}

func (b *fakeBackend) SetQuota(_ context.Context, q structs.Quota, _ int64, _ string) (Change, error) {
	return Change{Version: 1, Accepted: true, Current: q}, nil
}

func (b *fakeBackend) Quotas(context.Context) []structs.Quota { return nil }

func (b *fakeBackend) SetLeaving(_ context.Context, l structs.LeavingDeclaration, remove bool, _ int64, _ string) (Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version++
	if remove {
		delete(b.leavings, l.Instance)
		return Change{Version: b.version, Accepted: true}, nil
	}
	l.Version = b.version
	b.leavings[l.Instance] = l
	return Change{Version: b.version, Accepted: true, Current: l}, nil
}

func (b *fakeBackend) Leavings(context.Context) []structs.LeavingDeclaration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []structs.LeavingDeclaration
	for _, l := range b.leavings {
		all = append(all, l)
	}
	return all
}

func (b *fakeBackend) Status(context.Context) (structs.CellStatus, error) {
	return structs.CellStatus{Unresponsive: []string{"casa-2"}}, nil
}

func (b *fakeBackend) Explain(_ context.Context, id string) (structs.JobStatus, error) {
	if id != "casa-0:j1" {
		return structs.JobStatus{}, structs.NewError(structs.CodeNotFound, "no job %s", id)
	}
	return structs.JobStatus{Job: structs.Job{ID: id}, Reasons: []string{"no worker is free"}}, nil
}

const key = "an-operator-key-1"

func startServer(t *testing.T, b Backend) *Client {
	t.Helper()
	server := httptest.NewServer(NewHandler(b, httpx.Keys{key}))
	t.Cleanup(server.Close)
	return &Client{ServerURLs: []string{server.URL}, HTTP: server.Client(), Keys: httpx.Keys{key}}
}

func lookups(within time.Duration) structs.Class {
	return structs.Class{Name: "lookups", Kind: structs.KindService, Target: structs.Target{AnswerWithin: structs.Duration(within)}}
}

func TestRaceHasOneWinnerWhoIsTold(t *testing.T) {
	ctx := context.Background()
	c := startServer(t, newFakeBackend())
	first, err := c.SetClass(ctx, lookups(time.Second), 0)
	if err != nil || !first.Accepted || first.Version != 1 {
		t.Fatalf("first change: %+v, %v", first, err)
	}
	second, err := c.SetClass(ctx, lookups(2*time.Second), 0)
	if err != nil || second.Accepted || second.Version != 1 {
		t.Fatalf("second change: %+v, %v; want it beaten by version 1", second, err)
	}
	winner, ok := second.Current.(*structs.Class)
	if !ok || winner.Target.AnswerWithin.AsDuration() != time.Second {
		t.Errorf("winner %+v, want the first change", second.Current)
	}
}

func TestRepeatOfAChangeIsHarmless(t *testing.T) {
	backend := newFakeBackend()
	c := startServer(t, backend)
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		NewHandler(backend, nil).ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	c.ServerURLs = []string{lossy.URL, c.ServerURLs[0]}
	change, err := c.SetClass(context.Background(), lookups(time.Second), 0)
	if err != nil || !change.Accepted || change.Version != 1 {
		t.Errorf("change %+v, %v; want version 1 accepted once", change, err)
	}
}

func TestLeavingAddListRemove(t *testing.T) {
	ctx := context.Background()
	c := startServer(t, newFakeBackend())
	var said []event.Event
	c.Events = event.NewRecorder("test", &event.Clock{}, nil)
	c.Events.OnEvent(func(e event.Event) { said = append(said, e) })
	if _, err := c.SetLeaving(ctx, structs.LeavingDeclaration{Instance: "w-1", ConfirmedStopped: true}, false, 0); err != nil {
		t.Fatal(err)
	}
	all, err := c.Leavings(ctx)
	if err != nil || len(all) != 1 || !all[0].ConfirmedStopped {
		t.Fatalf("leavings %+v, %v", all, err)
	}
	change, err := c.SetLeaving(ctx, structs.LeavingDeclaration{Instance: "w-1"}, true, 1)
	if err != nil || !change.Accepted || change.Current != nil {
		t.Errorf("removal: %+v, %v", change, err)
	}
	if len(said) != 2 || said[0].Type != event.LeavingAccepted || said[0].State != "" || said[1].State != StateRemoved {
		t.Errorf("recorded %+v, want both declarations", said)
	}
}

func TestReadCalls(t *testing.T) {
	ctx := context.Background()
	c := startServer(t, newFakeBackend())
	if status, err := c.Status(ctx); err != nil || len(status.Unresponsive) != 1 {
		t.Errorf("status %+v, %v", status, err)
	}
	if job, err := c.Explain(ctx, "casa-0:j1"); err != nil || len(job.Reasons) != 1 {
		t.Errorf("explain %+v, %v", job, err)
	}
	if _, err := c.Explain(ctx, "casa-0:j2"); structs.CodeOf(err) != structs.CodeNotFound {
		t.Errorf("explain of no job: %v, want not_found", err)
	}
	if _, err := c.Class(ctx, "none"); structs.CodeOf(err) != structs.CodeNotFound {
		t.Errorf("class: %v, want not_found", err)
	}
	c.Keys = nil
	if _, err := c.Status(ctx); structs.CodeOf(err) != structs.CodeUnauthorized {
		t.Errorf("without a key: %v, want unauthorized", err)
	}
}

func TestBadChangesAreTyped(t *testing.T) {
	h := NewHandler(newFakeBackend(), nil)
	for _, c := range []struct {
		name, path, id, body string
		want                 int
	}{
		{"no change ID", "/v1/classes/a", "", `{}`, http.StatusBadRequest},
		{"bad name", "/v1/classes/A", "x", `{}`, http.StatusBadRequest},
		{"other name", "/v1/classes/a", "x", `{"class":{"name":"b"}}`, http.StatusBadRequest},
		{"unknown member", "/v1/classes/a", "x", `{"weight":1}`, http.StatusBadRequest},
		{"no target", "/v1/classes/a", "x", `{"class":{"kind":"batch"}}`, http.StatusBadRequest},
		{"negative quota", "/v1/quotas/a", "x", `{"quota":{"limit":{"cpu_milli":-1}}}`, http.StatusBadRequest},
		{"too large", "/v1/quotas/a", "x", strings.Repeat(" ", maxBodyBytes+1), http.StatusRequestEntityTooLarge},
		{"no such call", "/v1/weights/a", "x", `{}`, http.StatusNotFound},
	} {
		r := httptest.NewRequest(http.MethodPut, c.path, strings.NewReader(c.body))
		r.Header.Set(ChangeIDHeader, c.id)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != c.want {
			t.Errorf("%s: status %d, want %d: %s", c.name, w.Code, c.want, w.Body)
		}
		if structs.CodeOf(httpx.DecodeError(w.Code, w.Body.Bytes())) == structs.CodeInternal {
			t.Errorf("%s: body %s, want a typed error", c.name, w.Body)
		}
	}
}
