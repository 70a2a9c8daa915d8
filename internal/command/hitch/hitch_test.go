package hitch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/command/cli"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/timeline"
)

// fakeOperator has one class and rejects every change that is not based on the
// current version.
type fakeOperator struct {
	operator.Backend
	class structs.Class
}

func (f *fakeOperator) Classes(context.Context) []structs.Class { return []structs.Class{f.class} }

func (f *fakeOperator) SetClass(_ context.Context, c structs.Class, base int64, _ string) (operator.Change, error) {
	if base != f.class.Version {
		return operator.Change{Version: f.class.Version, Current: f.class}, nil
	}
	c.Version = base + 1
	f.class = c
	return operator.Change{Version: c.Version, Accepted: true, Current: c}, nil
}

func (f *fakeOperator) Leavings(context.Context) []structs.LeavingDeclaration { return nil }

// SetLeaving behaves as if version 4 had removed a declaration of the instance.
func (f *fakeOperator) SetLeaving(_ context.Context, l structs.LeavingDeclaration, _ bool, base int64, _ string) (operator.Change, error) {
	return operator.Change{Version: 4 + base/4, Accepted: base == 4, Current: nil}, nil
}

func (f *fakeOperator) Status(context.Context) (structs.CellStatus, error) {
	worker := structs.WorkerStatus{Worker: structs.Worker{ID: "w-1", Slots: 8}, Owner: "casa-1-a", InventoryRead: true}
	entry := structs.EntryStatus{
		Member:        structs.Member{ID: "casa-1-a", Region: "casa"},
		HasAuthority:  true,
		Workers:       []structs.WorkerStatus{worker},
		MissedTargets: []structs.MissedTarget{{Class: "lookups", Reason: "no free slot", AffectedCount: 3}},
	}
	return structs.CellStatus{Entries: []structs.EntryStatus{entry}, Unresponsive: []string{"fes-1-b"}}, nil
}

// fakeCaller serves the callers' interface; the class of a request and the ID of a
// job select the result.
func fakeCaller() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/classes/{class}/requests", func(w http.ResponseWriter, r *http.Request) {
		a := structs.Answer{RequestID: "r1", Outcome: structs.OutcomeAnswered, Body: []byte("range 7")}
		if class := r.PathValue("class"); class != "lookups" {
			a = structs.Answer{Outcome: structs.Outcome(class), Err: &structs.Error{Code: structs.CodeOverload}}
		}
		httpx.WriteJSON(w, caller.StatusOf(a), a)
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusAccepted, caller.JobAccepted{ID: "casa-0:good"})
	})
	mux.HandleFunc("GET /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		s := structs.JobStatus{Job: structs.Job{ID: r.PathValue("id")}, State: structs.JobComplete}
		if s.Job.ID == "casa-0:bad" {
			s.State = structs.JobFailed
		}
		httpx.WriteJSON(w, http.StatusOK, s)
	})
	mux.HandleFunc("POST /v1/jobs/cancel", func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, caller.JobsCancelled{Cancelled: 12})
	})
	return mux
}

func TestCommands(t *testing.T) {
	backend := &fakeOperator{class: structs.Class{
		Name: "lookups", Kind: structs.KindService, Version: 17,
		Target: structs.Target{AnswerWithin: 300e6},
	}}
	operators := httptest.NewServer(operator.NewHandler(backend, httpx.Keys{"the-operators-key"}))
	defer operators.Close()
	callers := httptest.NewServer(fakeCaller())
	defer callers.Close()
	down := httptest.NewServer(nil)
	down.Close()
	t.Setenv(operatorEnv, down.URL+","+operators.URL)
	t.Setenv(callerEnv, down.URL+","+callers.URL)
	t.Setenv(operatorKeyEnv, "the-operators-key")

	events := filepath.Join(t.TempDir(), "events.jsonl")

	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"class list", cli.ExitOK, "answer within 300ms"},
		{"class get none", cli.ExitNotFound, "not_found"},
		{"class set lookups --answer-within 1s --base 3", cli.ExitConflict, "version 17 came first: service, answer within 300ms"},
		{"class set lookups --answer-within 1s", cli.ExitOK, "accepted: class lookups, version 18"},
		{"class set lookups --answer-within 1x", cli.ExitUsage, "invalid argument"},
		{"class set lookups --weight 3", cli.ExitUsage, "unknown flag"},
		{"leaving list --json", cli.ExitOK, `"leavings": null`},
		{"leaving add w-1", cli.ExitOK, "accepted: leaving w-1, version 5"},
		{"leaving remove w-1", cli.ExitNotFound, "not declared"},
		{"status", cli.ExitOK, "late: class lookups at casa-1-a, 3 waiting: no free slot"},
		{"status", cli.ExitOK, "no answer: fes-1-b"},
		{"request lookups --idempotent --body x", cli.ExitOK, "range 7"},
		{"request not_run --body x", cli.ExitNotRun, "overload"},
		{"request unknown --body x", cli.ExitUnknown, "unknown"},
		{"job submit --class nightly --cpu 2 --memory 1GiB", cli.ExitOK, "casa-0:good"},
		{"job submit --class nightly", cli.ExitUsage, "size"},
		{"job submit --class nightly --cpu 1 --wait", cli.ExitOK, "complete"},
		{"job wait casa-0:bad", cli.ExitFailed, "failed"},
		{"job cancel", cli.ExitUsage, "filter"},
		{"job cancel --class nightly", cli.ExitOK, "cancelled 12 jobs"},
		{"check ../../../examples/raqm-tasalsul/casa-1.toml", cli.ExitOK, "1 files are good"},
		{"check none.toml --json", cli.ExitFailed, `"file": "none.toml"`},
		{"completion bash", cli.ExitOK, "hitch"},
		{"frobnicate", cli.ExitUsage, "unknown command"},
		{"status --operator " + down.URL, cli.ExitUnavailable, "unavailable"},
		{"class list --key-file /dev/null", cli.ExitUnauthorized, "unauthorized"},
	} {
		var out bytes.Buffer
		args := append(strings.Fields(c.args), "--events", events)
		code := cli.Run(context.Background(), New(), args, cli.Streams{In: strings.NewReader(""), Out: &out, Err: &out})
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("hitch %s: exit code %d, want %d with %q; output:\n%s", c.args, code, c.code, c.want, &out)
		}
	}
}

func TestCommandsRecordEvents(t *testing.T) {
	callers := httptest.NewServer(fakeCaller())
	defer callers.Close()
	file := filepath.Join(t.TempDir(), "events.jsonl")
	for _, args := range []string{"request lookups --key k", "request not_run --key l", "job submit --class nightly --cpu 1 --wait"} {
		args := append(strings.Fields(args), "--caller", callers.URL, "--events", file)
		cli.Run(context.Background(), New(), args, cli.Streams{Out: io.Discard, Err: io.Discard})
	}
	log, err := timeline.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var got []event.Type
	for _, e := range log.Events {
		got = append(got, e.Type)
	}
	want := []event.Type{event.CallerRequestSent, event.CallerRequestEnded, event.CallerRequestSent, event.CallerRequestEnded, event.CallerJobAccepted, event.CallerJobEnded}
	if !slices.Equal(got, want) {
		t.Errorf("recorded %v, want %v", got, want)
	}
}

func TestParseMemory(t *testing.T) {
	for text, want := range map[string]int64{"512MiB": 512, "4GiB": 4096, "0MiB": 0, "4GB": -1, "-1MiB": -1, "": -1} {
		got, err := parseMemory(text)
		if err != nil {
			got = -1
		}
		if got != want {
			t.Errorf("parseMemory(%q) = %d, %v; want %d", text, got, err, want)
		}
	}
}
