// Package embedded runs a whole cell in one process: stand-ins for the platform
// and entries, with their events collected in memory. The demo and the failure
// tests use it.
package embedded

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/checker"
	"dotterelhitch/internal/entry"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/timeline"
)

// Config describes a cell.
type Config struct {
	Topology standin.Topology
	// Regions are the cell's regions; the first holds the log.
	Regions []string
	// Logger gets the logs of the entries; nil drops them.
	Logger *slog.Logger
	// AdjustSettings changes the settings of each entry before it starts; nil for none.
	AdjustSettings func(*settings.Entry)
}

// Cell is a running cell.
type Cell struct {
	cfg      Config
	Standins *standin.Cell
	clock    *event.Clock

	mu      sync.Mutex
	logs    map[string]*timeline.Log
	counts  map[event.Type]int
	entries []*Entry
}

// Entry is a running entry of the cell.
type Entry struct {
	*entry.Entry
	ended chan struct{}
}

// Done is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.ended }

// Start runs the stand-ins of a cell, without entries.
func Start(cfg Config) (*Cell, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	c := &Cell{cfg: cfg, clock: &event.Clock{}, logs: map[string]*timeline.Log{}, counts: map[event.Type]int{}}
	cell, err := standin.Start(cfg.Topology, standin.Options{OnEvent: c.collect})
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.Standins = cell
	return c, nil
}

// collect keeps an event in the log of its process.
func (c *Cell) collect(e event.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log := c.logs[e.Proc]
	if log == nil {
		log = &timeline.Log{File: e.Proc}
		c.logs[e.Proc] = log
	}
	log.Events = append(log.Events, e)
	c.counts[e.Type]++
}

// CountEvents returns the number of events of a type so far.
func (c *Cell) CountEvents(t event.Type) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[t]
}

// Recorder returns a recorder for a tool that takes part in the run.
func (c *Cell) Recorder(proc string) *event.Recorder {
	r := event.NewRecorder(proc, c.clock, nil)
	r.OnEvent(c.collect)
	return r
}

// StartEntry runs one more entry.
func (c *Cell) StartEntry(region, domain string) (*Entry, error) {
	s := settings.Default()
	s.Identity.Region = region
	s.Identity.Domain = domain
	s.Regions.Names = c.cfg.Regions
	s.Regions.StoreRegion = c.cfg.Regions[0]
	s.Listen = settings.Listen{Caller: anyPort, Operator: anyPort, Peer: anyPort, Metrics: anyPort}
	s.Platform.LogURL = "http://" + c.Standins.Addr(standin.LogName)
	s.Platform.ListURL = "http://" + c.Standins.Addr(standin.ListName)
	s.Auth.Insecure = true
	if c.cfg.AdjustSettings != nil {
		c.cfg.AdjustSettings(&s)
	}
	e, err := entry.New(entry.Config{Settings: s, Logger: c.cfg.Logger, OnEvent: c.collect})
	if err != nil {
		return nil, errors.Trace(err)
	}
	running := &Entry{Entry: e, ended: make(chan struct{})}
	go func() {
		_ = e.Run(context.Background())
		close(running.ended)
	}()
	c.mu.Lock()
	c.entries = append(c.entries, running)
	c.mu.Unlock()
	return running, nil
}

const anyPort = "127.0.0.1:0"

// LiveEntries returns the entries that have not ended.
func (c *Cell) LiveEntries() []*Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*Entry
	for _, e := range c.entries {
		select {
		case <-e.ended:
		default:
			live = append(live, e)
		}
	}
	return live
}

// AwaitReady waits until every live entry serves callers.
func (c *Cell) AwaitReady(ctx context.Context) error {
	for _, e := range c.LiveEntries() {
		if err := Await(ctx, "entry ready", func() bool { return e.Ready() == nil }); err != nil {
			return err
		}
	}
	return nil
}

// awaitPoll is the period at which Await looks again.
const awaitPoll = 5 * time.Millisecond

// Await polls until ok holds or ctx ends.
func Await(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-time.After(awaitPoll):
		case <-ctx.Done():
			return structs.NewError(structs.CodeDeadline, "not seen in time: %s", what)
		}
	}
	return nil
}

// Events returns all events so far in the order of the time line.
func (c *Cell) Events() []event.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	logs := make([]*timeline.Log, 0, len(c.logs))
	for _, l := range c.logs {
		logs = append(logs, &timeline.Log{File: l.File, Events: append([]event.Event(nil), l.Events...)})
	}
	return timeline.Merge(logs...)
}

// Check runs the checker over all events so far.
func (c *Cell) Check(o checker.Options) *checker.Report {
	return checker.Check(c.Events(), o)
}

// Close ends everything at once.
func (c *Cell) Close() {
	for _, e := range c.LiveEntries() {
		e.Kill()
		<-e.ended
	}
	c.Standins.Close()
}
