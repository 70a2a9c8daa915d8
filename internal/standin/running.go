package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

// closeWithin bounds how long a drained worker's connections take to close.
const closeWithin = time.Second

// RunningWorker is a worker of a cell and its server.
type RunningWorker struct {
	*workersvc.Worker
	// Description is what the instance list says of the worker.
	Description structs.Worker

	cell   *Cell
	server *server
	once   sync.Once
	done   chan struct{}
}

// lateHandler serves a handler that is set after the listener was opened.
type lateHandler struct {
	ready   chan struct{}
	handler http.Handler
}

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	<-l.ready
	l.handler.ServeHTTP(w, r)
}

// StartWorkers runs the workers of a group and adds them to the list.
func (c *Cell) StartWorkers(g WorkerGroup) error {
	g.SetDefaults()
	if err := g.Validate(); err != nil {
		return err
	}
	var started []structs.Worker
	for i := range g.Count {
		w, err := c.startWorker(g, i)
		if err != nil {
			return err
		}
		started = append(started, w.Description)
	}
	return c.register(started)
}

func (c *Cell) startWorker(g WorkerGroup, i int) (*RunningWorker, error) {
	late := &lateHandler{ready: make(chan struct{})}
	srv, err := serve(g.listen(i), late, g.Connections)
	if err != nil {
		return nil, err
	}
	r := &RunningWorker{Description: g.worker(i, srv.addr), cell: c, server: srv, done: make(chan struct{})}
	r.Worker = workersvc.New(workersvc.Config{
		Worker:      r.Description,
		Keys:        c.options.Keys,
		Clock:       c.clock,
		Recorder:    c.recorder(r.Description.ID),
		ServiceTime: g.ServiceTime.AsDuration(),
		UsageLag:    g.UsageLag.AsDuration(),
	})
	late.handler = r.Worker
	close(late.ready)
	go r.closeAfterDrain()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers = append(c.workers, r)
	c.addrs = append(c.addrs, Address{Name: r.Description.ID, Addr: srv.addr})
	return r, nil
}

// closeAfterDrain ends the worker once a drain has ended, whoever began it, and
// tells the list that it has gone.
func (r *RunningWorker) closeAfterDrain() {
	select {
	case <-r.DrainDone():
	case <-r.done:
		return
	}
	r.server.shutdown(closeWithin)
	r.cell.setState(r.ID(), structs.WorkerRemoved)
	r.Kill()
}

// Drain shuts the worker down gracefully.
func (r *RunningWorker) Drain(ctx context.Context) {
	_ = r.Worker.Drain(ctx)
	select {
	case <-r.done:
	case <-ctx.Done():
		r.Kill()
	}
}

// Kill ends the worker at once and breaks its connections.
func (r *RunningWorker) Kill() {
	r.once.Do(func() {
		close(r.done)
		r.Close()
		r.server.close()
	})
}

// Done closes when the worker has ended.
func (r *RunningWorker) Done() <-chan struct{} { return r.done }

// Workers returns the workers that were started.
func (c *Cell) Workers() []*RunningWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*RunningWorker(nil), c.workers...)
}

// Worker returns a worker by its name, nil if there is none.
func (c *Cell) Worker(id string) *RunningWorker {
	for _, w := range c.Workers() {
		if w.ID() == id {
			return w
		}
	}
	return nil
}
