package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/timeline"
)

func TestExampleExperimentsAreAccepted(t *testing.T) {
	files, err := filepath.Glob("../../examples/experiments/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, file := range files {
		if _, err := ReadFile(file); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

func TestBadExperimentsAreRefusedWithEveryReason(t *testing.T) {
	_, err := Parse([]byte("[[requests]]\nname = \"a\"\nretries = 1\narrivals = \"often\"\n[[cancels]]\n"))
	for _, want := range []string{"targets", "class: want a name", "retries need", `arrivals "often"`, "filter"} {
		if structs.CodeOf(err) != structs.CodeInvalid || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one about %s", err, want)
		}
	}
	_, err = Parse([]byte("targets = [\"a:1\"]\nweight = 3\n"))
	if err == nil || !strings.Contains(err.Error(), "weight") {
		t.Errorf("error %v, want the unknown key", err)
	}
}

func TestScheduleIsAFunctionOfTheSeed(t *testing.T) {
	w := Window{Arrivals: Poisson, Rate: 1000, From: structs.Duration(time.Second), Until: structs.Duration(11 * time.Second)}
	first := schedule(w, 3, newSource(7, 0))
	if !reflect.DeepEqual(first, schedule(w, 3, newSource(7, 0))) {
		t.Error("the same seed gave other arrivals")
	}
	if reflect.DeepEqual(first, schedule(w, 3, newSource(8, 0))) || reflect.DeepEqual(first, schedule(w, 3, newSource(7, 1))) {
		t.Error("another seed or stream gave the same arrivals")
	}
	if n := len(first); n < 9500 || n > 10500 {
		t.Errorf("%d arrivals, want about 10000", n)
	}
	last := time.Second
	for _, a := range first {
		if a.after < last || a.after >= 11*time.Second || a.target < 0 || a.target > 2 {
			t.Fatalf("arrival %+v out of its window or order", a)
		}
		last = a.after
	}
	e := &Experiment{Seed: 7, Duration: structs.Duration(100 * time.Second), RandomFaults: []RandomFault{
		{URL: "http://a", Rate: 0.5, Duration: structs.Duration(time.Second), BeginBody: "on", EndBody: "off"},
	}}
	steps := e.faultSteps()
	if len(steps) < 20 || !reflect.DeepEqual(steps, e.faultSteps()) || steps[1].At != steps[0].At+e.RandomFaults[0].Duration {
		t.Errorf("random faults %+v", steps)
	}
	burst := schedule(Window{Arrivals: AtOnce, Count: 5, From: structs.Duration(time.Second)}, 1, newSource(1, 0))
	if len(burst) != 5 || burst[4].after != time.Second {
		t.Errorf("burst %+v", burst)
	}
}

// TestWaitsRunFromTheIntendedSending lets every answer take longer than the gap
// between arrivals: none may be sent late and no wait be hidden.
func TestWaitsRunFromTheIntendedSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Experiment{Duration: structs.Duration(time.Second), MaxInFlight: 8}
		r := newRunner(e, Options{})
		r.start = time.Now()
		s := &stream{stats: newStats()}
		for i := range 10 {
			s.arrivals = append(s.arrivals, arrival{number: i, after: time.Duration(i) * 100 * time.Millisecond})
		}
		s.send = func(_ context.Context, a arrival) {
			if late := r.waited(a); late != 0 {
				t.Errorf("arrival %d sent %s late", a.number, late)
			}
			time.Sleep(5 * time.Second)
			s.stats.done(result{after: a.after, wait: r.waited(a), outcome: "answered"})
		}
		r.open.Go(func() { r.dispatch(context.Background(), s) })
		r.open.Wait()
		report := s.report()
		if report.Sent != 8 || report.Dropped != 2 || report.Answered() != 8 {
			t.Errorf("sent %d, dropped %d, answered %d; want 8, 2, 8", report.Sent, report.Dropped, report.Answered())
		}
		if report.Latency.P50Ms < 4990 || report.Latency.MaxMs > 5010 {
			t.Errorf("waits %+v, want 5000 ms", report.Latency)
		}
	})
}

// fakeEntry answers requests as a worker's endpoint does and keeps its record;
// it ends every job at once and gets every tenth answer wrong if asked to.
type fakeEntry struct {
	mu       sync.Mutex
	events   *event.Recorder
	confuse  bool
	requests int
	answers  map[string][]byte
	jobs     map[string]string
}

func (f *fakeEntry) request(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	a := structs.Answer{RequestID: "r-" + r.Header.Get(caller.HeaderClientID), Outcome: structs.OutcomeAnswered}
	key := r.Header.Get(caller.HeaderKey)
	answer, known := f.answers[key]
	if key == "" || !known {
		answer = workersvc.Answer(body)
		f.events.Record(event.Event{Type: event.RequestRun, Worker: "w", Request: a.RequestID, Key: key, Class: r.PathValue("class")})
	}
	if key != "" && !known {
		f.answers[key] = answer
		a.Outcome = structs.OutcomeUnknown
		httpx.WriteJSON(w, caller.StatusOf(a), a)
		return
	}
	a.Body = answer
	if f.confuse && f.requests%10 == 0 {
		a.Body = answer[1:]
	}
	httpx.WriteJSON(w, caller.StatusOf(a), a)
}

func (f *fakeEntry) submit(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := "g:" + r.Header.Get(caller.HeaderKey)
	f.jobs[id] = id
	httpx.WriteJSON(w, http.StatusAccepted, caller.JobAccepted{ID: id})
}

func (f *fakeEntry) status(w http.ResponseWriter, r *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, structs.JobStatus{State: structs.JobComplete, StartedMs: time.Now().UnixMilli()})
}

// runAgainst runs an experiment against a fake entry and a dead one.
func runAgainst(t *testing.T, confuse bool) (*Report, *checker.Report) {
	t.Helper()
	var events bytes.Buffer
	recorder := event.NewRecorder(ProcName, &event.Clock{}, &events)
	f := &fakeEntry{events: recorder, confuse: confuse, answers: map[string][]byte{}, jobs: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/classes/{class}/requests", f.request)
	mux.HandleFunc("POST /v1/jobs", f.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", f.status)
	mux.HandleFunc("POST /v1/jobs/cancel", func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, caller.JobsCancelled{Cancelled: 3})
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "# HELP x\nhitch_sent_bytes_total{peer=\"a b\"} 17\nother 1\n")
	})
	live := httptest.NewServer(mux)
	t.Cleanup(live.Close)
	dead := httptest.NewServer(nil)
	dead.Close()
	e, err := Parse([]byte(`seed = 3
duration = "200ms"
settle = "20s"
targets = ["` + live.URL + `", "` + dead.URL + `"]
[[requests]]
class = "lookups"
idempotent = true
rate = 200.0
within = "20s"
[[requests]]
class = "tickets"
keyed = true
retries = 1
arrivals = "at_once"
arrival_count = 10
[[jobs]]
class = "nightly"
cpu = 1.0
arrivals = "at_once"
arrival_count = 3
[[cancels]]
at = "100ms"
class = "nightly"
[[faults]]
at = "100ms"
url = "` + live.URL + `/admin/none"
[[metrics]]
name = "entry"
url = "` + live.URL + `/metrics"
series = ["hitch_"]
`))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(context.Background(), e, Options{Events: recorder})
	if err != nil {
		t.Fatal(err)
	}
	log, err := timeline.Read("events", &events)
	if err != nil {
		t.Fatal(err)
	}
	return report, checker.Check(timeline.Merge(log), checker.Options{})
}

func TestRunAgainstAFakeEntry(t *testing.T) {
	report, checked := runAgainst(t, false)
	lookups, tickets, jobs := report.Streams[0], report.Streams[1], report.Streams[2]
	if lookups.Sent == 0 || lookups.Answered() != lookups.Sent || lookups.WithinTarget != lookups.Sent || lookups.WrongAnswers != 0 {
		t.Errorf("lookups %+v", lookups)
	}
	if tickets.Answered() != 10 || tickets.Retries != 10 || tickets.Failovers == 0 {
		t.Errorf("tickets %+v, want each answered at the second attempt", tickets)
	}
	if jobs.Answered() != 3 || jobs.EndLatency.Count != 3 {
		t.Errorf("jobs %+v", jobs)
	}
	if len(report.Steps) != 2 || len(report.Metrics) != 1 || report.Metrics[0].After != 17 {
		t.Errorf("steps %+v, metrics %+v", report.Steps, report.Metrics)
	}
	if !checked.OK() || checked.Checked.Answers != lookups.Sent+10 {
		t.Errorf("checker %+v", checked)
	}
}

func TestWrongAnswersAreFound(t *testing.T) {
	report, checked := runAgainst(t, true)
	if wrong := report.Streams[0].WrongAnswers + report.Streams[1].WrongAnswers; wrong == 0 || checked.Count(checker.WrongAnswer) != wrong {
		t.Errorf("%d wrong answers, checker found %d", wrong, checked.Count(checker.WrongAnswer))
	}
}

func TestReportsArePrintedComparedAndDrawn(t *testing.T) {
	a := &Report{Experiment: &Experiment{Name: "fifo", Seed: 1}, Streams: []StreamReport{{Name: "lookups", Kind: "requests", Latency: Latency{P99Ms: 40}}}}
	s := newStats()
	s.done(result{wait: 20 * time.Millisecond, outcome: "answered"})
	b := &Report{Experiment: &Experiment{Name: "slack", Seed: 1}}
	b.Streams = []StreamReport{(&stream{name: "lookups", kind: "requests", stats: s}).report(), {Name: "extra"}}
	b.Streams[0].Latency.P99Ms = 20
	var out bytes.Buffer
	if err := WriteComparison(&out, Compare(a, b)); err != nil {
		t.Fatal(err)
	}
	if err := WriteMarkdown(&out, b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| lookups | p99 ms | 40 | 20 | 0.500 |", "Only one report has the stream extra", "# slack", "| answered 1 |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, &out)
		}
	}
	for _, file := range []string{"waits.svg", "waits.png"} {
		if err := PlotLatencies(filepath.Join(t.TempDir(), file), a, b); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
	if err := PlotRates(filepath.Join(t.TempDir(), "rates.svg"), b); err != nil {
		t.Error(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`targets = ["a:1"]
[[jobs]]
class = "nightly"
cpu = 1.0
rate = 2.0
`))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := Parse(b)
		if err == nil && len(e.Targets) == 0 {
			t.Errorf("accepted without a target: %q", b)
		}
		if err != nil && structs.CodeOf(err) == structs.CodeInternal {
			t.Errorf("error %v, want a type", err)
		}
	})
}

func FuzzParseMetrics(f *testing.F) {
	f.Add([]byte("hitch_x{a=\"b c\"} 1\n# y\n"))
	f.Fuzz(func(_ *testing.T, page []byte) { parseMetrics(page) })
}
