package load

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/structs"
)

// ProcName is the name of the tool in events.
const ProcName = "load"

// Options are what an experiment doesn't state.
type Options struct {
	// Events gets what the callers sent and got; nil drops it.
	Events *event.Recorder
	// OperatorKeys sign the calls that set classes.
	OperatorKeys httpx.Keys
	// AdminKeys sign fault steps.
	AdminKeys httpx.Keys
	Logger    *slog.Logger
}

// runner is one run of an experiment.
type runner struct {
	experiment *Experiment
	options    Options
	http       *http.Client
	targets    []*caller.Client
	// id makes the callers' IDs and keys differ from those of other runs.
	id       string
	start    time.Time
	inFlight chan struct{}
	open     sync.WaitGroup
	mu       sync.Mutex
	steps    []StepReport
}

// idleConnections bounds the connections that are kept to one entry.
const idleConnections = 4096

// Run runs an experiment to its end and reports on it. It stops early when ctx
// ends.
func Run(ctx context.Context, e *Experiment, o Options) (*Report, error) {
	r := newRunner(e, o)
	if err := r.setClasses(ctx); err != nil {
		return nil, err
	}
	before := r.scrape(ctx)
	r.start = time.Now()
	all := r.startStreams(ctx)
	r.startSteps(ctx)
	r.open.Wait()
	report := r.report(all)
	report.Metrics = difference(e.Metrics, before, r.scrape(ctx))
	return report, nil
}

func newRunner(e *Experiment, o Options) *runner {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	now := time.Now()
	r := &runner{
		experiment: e,
		options:    o,
		http:       &http.Client{Transport: newTransport(o.Events.Clock())},
		id:         fmt.Sprintf("%x-%x", e.Seed, now.UnixMilli()),
		inFlight:   make(chan struct{}, e.MaxInFlight),
	}
	for _, target := range e.Targets {
		r.targets = append(r.targets, &caller.Client{BaseURL: baseURL(target), HTTP: r.http})
	}
	return r
}

// newTransport returns a transport without a bound on open connections, so that
// the tool doesn't queue what was to be sent.
func newTransport(clock *event.Clock) http.RoundTripper {
	t := &http.Transport{
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	if clock == nil {
		return t
	}
	return clock.Transport(t)
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimRight(address, "/")
	}
	return "http://" + address
}

// setClasses states the experiment's classes.
func (r *runner) setClasses(ctx context.Context) error {
	if len(r.experiment.Classes) == 0 {
		return nil
	}
	client := &operator.Client{HTTP: r.http, Keys: r.options.OperatorKeys, Events: r.options.Events}
	for _, address := range r.experiment.Operators {
		client.ServerURLs = append(client.ServerURLs, baseURL(address))
	}
	for _, setup := range r.experiment.Classes {
		if err := setClass(ctx, client, setup.class()); err != nil {
			return err
		}
	}
	return nil
}

func setClass(ctx context.Context, client *operator.Client, class structs.Class) error {
	now, err := client.Class(ctx, class.Name)
	if err != nil && structs.CodeOf(err) != structs.CodeNotFound {
		return err
	}
	class.Version = now.Version
	if now == class {
		return nil
	}
	change, err := client.SetClass(ctx, class, now.Version)
	if err != nil {
		return err
	}
	if !change.Accepted {
		return structs.NewError(structs.CodeConflict, "class %s: another change came first", class.Name)
	}
	return nil
}

// stream is a running stream with what is gathered of it.
type stream struct {
	name     string
	kind     string
	window   Window
	within   time.Duration
	arrivals []arrival
	stats    *stats
	// send does one arrival's work to its end.
	send func(ctx context.Context, a arrival)
}

func (r *runner) startStreams(ctx context.Context) []*stream {
	var all []*stream
	for _, s := range r.experiment.Requests {
		all = append(all, r.newRequestStream(s))
	}
	for _, s := range r.experiment.Jobs {
		all = append(all, r.newJobStream(s))
	}
	for i, s := range all {
		s.arrivals = schedule(s.window, len(r.targets), newSource(r.experiment.Seed, i))
		r.open.Go(func() { r.dispatch(ctx, s) })
	}
	return all
}

// dispatch begins every arrival's work at its time, whatever became of the ones
// before.
func (r *runner) dispatch(ctx context.Context, s *stream) {
	for _, a := range s.arrivals {
		if !r.sleepUntil(ctx, a.after) {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			s.stats.drop()
			continue
		}
		s.stats.send(a.after)
		r.open.Go(func() {
			defer func() { <-r.inFlight }()
			s.send(ctx, a)
		})
	}
}

// sleepUntil waits until after the start; it reports false if ctx ended first.
func (r *runner) sleepUntil(ctx context.Context, after time.Duration) bool {
	wait := time.Until(r.start.Add(after))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waited returns the time since an arrival was to be sent.
func (r *runner) waited(a arrival) time.Duration {
	return time.Since(r.start.Add(a.after))
}

// target returns the entry for an arrival's attempt: each goes to the next one.
func (r *runner) target(a arrival, attempt int) *caller.Client {
	return r.targets[(a.target+attempt)%len(r.targets)]
}
