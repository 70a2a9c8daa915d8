// Package standin runs the stand-ins for the platform: a log service, an
// instance list and workers, in one process, each on a TCP address of its own. It
// is for tests and the demo; it is no simulator.
package standin

import (
	"context"
	"io"
	"sync"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/standin/listsvc"
	"dotterelhitch/internal/standin/logsvc"
	"dotterelhitch/internal/structs"
)

// Options apply to all stand-ins of a process.
type Options struct {
	// Keys are the shared keys; empty turns authentication off.
	Keys httpx.Keys
	// ListBase is the "http://host:port" of an instance list in another process,
	// to which the cell's workers are added; empty for none.
	ListBase string
	// Events gets the JSON event log; nil drops it.
	Events io.Writer
	// OnEvent gets every event; nil for none. It must not call back.
	OnEvent func(event.Event)
}

// Cell is a set of running stand-ins.
type Cell struct {
	options Options
	clock   *event.Clock
	events  io.Writer

	mu      sync.Mutex
	log     *logsvc.Service
	list    *listsvc.Service
	servers []*server
	workers []*RunningWorker
	addrs   []Address
}

// Address says where one stand-in listens.
type Address struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Names of the stand-ins in addresses and as processes in events.
const (
	LogName  = "log"
	ListName = "list"
)

// NewCell returns a cell without stand-ins.
func NewCell(o Options) *Cell {
	c := &Cell{options: o, clock: &event.Clock{}}
	if o.Events != nil {
		c.events = &lockedWriter{w: o.Events}
	}
	return c
}

// Start runs all that a topology describes.
func Start(t Topology, o Options) (*Cell, error) {
	c := NewCell(o)
	if err := c.StartAll(t); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// StartAll runs all that a topology describes.
func (c *Cell) StartAll(t Topology) error {
	if err := c.StartLog(t.Log); err != nil {
		return err
	}
	if err := c.StartList(t.List); err != nil {
		return err
	}
	for _, g := range t.Workers {
		if err := c.StartWorkers(g); err != nil {
			return err
		}
	}
	return nil
}

// StartLog runs the log service.
func (c *Cell) StartLog(s LogSettings) error {
	log := logsvc.New(logsvc.Config{
		Keys:     c.options.Keys,
		Clock:    c.clock,
		Recorder: c.recorder(LogName),
		Faults: logsvc.Faults{
			AppendsPerSecond: s.AppendsPerSecond,
			MaxAgeMs:         s.Retention.AsDuration().Milliseconds(),
			DelayMs:          s.Delay.AsDuration().Milliseconds(),
		},
	})
	srv, err := serve(s.Listen, log, 0)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = log
	c.add(LogName, srv)
	return nil
}

// StartList runs the instance list with the workers that run already.
func (c *Cell) StartList(s ListSettings) error {
	list := listsvc.New(listsvc.Config{
		Keys:     c.options.Keys,
		Clock:    c.clock,
		Recorder: c.recorder(ListName),
		Lag:      s.Lag.AsDuration(),
		Workers:  c.descriptions(),
	})
	srv, err := serve(s.Listen, list, 0)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = list
	c.add(ListName, srv)
	return nil
}

// add needs the lock.
func (c *Cell) add(name string, srv *server) {
	c.servers = append(c.servers, srv)
	c.addrs = append(c.addrs, Address{Name: name, Addr: srv.addr})
}

// Log returns the log service, nil if there is none.
func (c *Cell) Log() *logsvc.Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log
}

// List returns the instance list, nil if there is none.
func (c *Cell) List() *listsvc.Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}

// Addresses says where each stand-in listens.
func (c *Cell) Addresses() []Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Address(nil), c.addrs...)
}

// Addr returns where a stand-in listens, empty if there is none of the name.
func (c *Cell) Addr(name string) string {
	for _, a := range c.Addresses() {
		if a.Name == name {
			return a.Addr
		}
	}
	return ""
}

// Clock returns the clock that all stand-ins of the cell share.
func (c *Cell) Clock() *event.Clock { return c.clock }

func (c *Cell) recorder(proc string) *event.Recorder {
	r := event.NewRecorder(proc, c.clock, c.events)
	if c.options.OnEvent != nil {
		r.OnEvent(c.options.OnEvent)
	}
	return r
}

// descriptions returns the workers as the instance list describes them.
func (c *Cell) descriptions() []structs.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []structs.Worker
	for _, w := range c.workers {
		out = append(out, w.Description)
	}
	return out
}

// AllWorkersDone closes when every worker of a cell of workers alone has ended. For any
// other cell it never closes.
func (c *Cell) AllWorkersDone() <-chan struct{} {
	ended := make(chan struct{})
	workers := c.Workers()
	if c.Log() != nil || c.List() != nil || len(workers) == 0 {
		return ended
	}
	go func() {
		for _, w := range workers {
			<-w.Done()
		}
		close(ended)
	}()
	return ended
}

// Close ends all stand-ins at once, as a kill would.
func (c *Cell) Close() {
	for _, w := range c.Workers() {
		w.Kill()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		s.close()
	}
}

// Shutdown drains every worker, then ends the rest. It returns at the latest
// when ctx ends.
func (c *Cell) Shutdown(ctx context.Context) {
	var drains sync.WaitGroup
	for _, w := range c.Workers() {
		drains.Go(func() { w.Drain(ctx) })
	}
	drains.Wait()
	c.Close()
}

// lockedWriter lets several recorders write whole lines to one file.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}
