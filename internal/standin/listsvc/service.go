// Package listsvc is a small stand-in for the platform's list of instances. A
// change of an instance's state shows in the list only after the lag.
package listsvc

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/standin/query"
	"dotterelhitch/internal/structs"
)

// Bounds of the service.
const (
	maxWait       = time.Minute
	maxAdminBytes = 4 << 20
)

// Config sets up a Service.
type Config struct {
	// Keys are the shared keys; empty turns authentication off.
	Keys httpx.Keys
	// Clock is observed and stamped on every call; it may be nil.
	Clock *event.Clock
	// Recorder gets a Fault event for every change of state; it may be nil.
	Recorder *event.Recorder
	// Lag is how long a change takes to show.
	Lag time.Duration
	// Workers show from the start.
	Workers []structs.Worker
	// Entries show from the start.
	Entries []instancelist.Entry
}

// Service is the instance list. It implements http.Handler.
type Service struct {
	recorder *event.Recorder
	handler  http.Handler

	mu      sync.Mutex
	lag     time.Duration
	workers map[string]structs.Worker
	entries map[string]instancelist.Entry
	// version counts the changes; visible is the list as callers see it.
	version int64
	visible instancelist.List
	// since holds the version at which each visible instance last changed.
	since map[string]int64
	// changed is closed and replaced when visible changes.
	changed chan struct{}
}

// New returns a list of the configured instances.
func New(cfg Config) *Service {
	s := &Service{
		recorder: cfg.Recorder,
		lag:      cfg.Lag,
		workers:  make(map[string]structs.Worker),
		entries:  make(map[string]instancelist.Entry),
		changed:  make(chan struct{}),
		since:    make(map[string]int64),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(cfg.Workers, cfg.Entries)
	s.publish(s.snapshot())
	s.handler = s.routes(cfg)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Put adds or replaces instances; they show after the lag.
func (s *Service) Put(workers []structs.Worker, entries []instancelist.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(workers, entries)
	s.publishLater()
}

// put needs the lock.
func (s *Service) put(workers []structs.Worker, entries []instancelist.Entry) {
	for _, w := range workers {
		if w.State == "" {
			w.State = structs.WorkerLive
		}
		s.workers[w.ID] = w
	}
	for _, e := range entries {
		if e.State == "" {
			e.State = structs.WorkerLive
		}
		s.entries[e.ID] = e
	}
}

// SetState changes the state of a worker or entry; it shows after the lag.
func (s *Service) SetState(id string, state structs.WorkerState) error {
	switch state {
	case structs.WorkerLive, structs.WorkerLeaving, structs.WorkerRemoved:
	default:
		return structs.NewError(structs.CodeInvalid, "state %q: want live, leaving or gone", state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.set(id, state) {
		return structs.NewError(structs.CodeNotFound, "instance %q is not in the list", id)
	}
	s.recorder.Record(event.Event{Type: event.FaultInjected, Detail: "list: " + id + " is " + string(state)})
	s.publishLater()
	return nil
}

// set needs the lock.
func (s *Service) set(id string, state structs.WorkerState) bool {
	if w, ok := s.workers[id]; ok {
		w.State = state
		s.workers[id] = w
		return true
	}
	if e, ok := s.entries[id]; ok {
		e.State = state
		s.entries[id] = e
		return true
	}
	return false
}

// SetLag changes the lag of later changes.
func (s *Service) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// publishLater needs the lock.
func (s *Service) publishLater() {
	list := s.snapshot()
	if s.lag <= 0 {
		s.publish(list)
		return
	}
	time.AfterFunc(s.lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish(list)
	})
}

// publish makes a snapshot visible unless a newer one is; it needs the lock.
func (s *Service) publish(list instancelist.List) {
	if list.Version <= s.visible.Version {
		return
	}
	s.noteChanges(list)
	s.visible = list
	close(s.changed)
	s.changed = make(chan struct{})
}

// noteChanges needs the lock.
func (s *Service) noteChanges(list instancelist.List) {
	workers := make(map[string]structs.Worker, len(s.visible.Instances))
	for _, w := range s.visible.Instances {
		workers[w.ID] = w
	}
	for _, w := range list.Instances {
		if workers[w.ID] != w {
			s.since[w.ID] = list.Version
		}
	}
	entries := make(map[string]instancelist.Entry, len(s.visible.Entries))
	for _, e := range s.visible.Entries {
		entries[e.ID] = e
	}
	for _, e := range list.Entries {
		if entries[e.ID] != e {
			s.since[e.ID] = list.Version
		}
	}
}

// changesAfter returns the visible list, or what changed after a version that the
// caller has.
func (s *Service) changesAfter(after int64) (instancelist.List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.visible
	list.Full = after <= 0 || after > list.Version
	if list.Full {
		return list, s.changed
	}
	list.Instances = slices.DeleteFunc(slices.Clone(list.Instances), func(w structs.Worker) bool { return s.since[w.ID] <= after })
	list.Entries = slices.DeleteFunc(slices.Clone(list.Entries), func(e instancelist.Entry) bool { return s.since[e.ID] <= after })
	return list, s.changed
}

// snapshot needs the lock.
func (s *Service) snapshot() instancelist.List {
	s.version++
	list := instancelist.List{
		Version:   s.version,
		LagMs:     s.lag.Milliseconds(),
		Instances: []structs.Worker{},
		Entries:   []instancelist.Entry{},
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		list.Instances = append(list.Instances, s.workers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		list.Entries = append(list.Entries, s.entries[id])
	}
	return list
}

// List returns the list as callers see it and a channel that closes when it
// changes.
func (s *Service) List() (instancelist.List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.visible, s.changed
}

func (s *Service) routes(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", s.handleRead)
	mux.HandleFunc("POST /admin/instances", s.handlePut)
	mux.HandleFunc("POST /admin/state", s.handleState)
	mux.HandleFunc("POST /admin/lag", s.handleLag)
	handler := cfg.Keys.Require(mux)
	if cfg.Clock == nil {
		return handler
	}
	return cfg.Clock.Middleware(handler)
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	q := query.New(r)
	after := q.Int("after", 0)
	timer := time.NewTimer(q.Millis("wait_ms", maxWait))
	defer timer.Stop()
	if err := q.Err(); err != nil {
		httpx.WriteError(w, err)
		return
	}
	list, changed := s.changesAfter(after)
	for list.Version == after {
		select {
		case <-changed:
			list, changed = s.changesAfter(after)
			continue
		case <-timer.C:
		case <-r.Context().Done():
		}
		break
	}
	httpx.WriteJSON(w, http.StatusOK, list)
}
