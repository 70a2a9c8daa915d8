// Package logsvc is a small stand-in for the platform's log service: streams of
// records with offsets in memory, a limit of appends a second, retention, and
// faults that an admin interface switches on and off.
package logsvc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/structs"
)

// Bounds of the service.
const (
	maxBatchBytes   = 4 << 20
	maxBatchRecords = 10000
	maxWait         = time.Minute
	// maxQueueWait is how long an append may wait for its turn under the limit.
	maxQueueWait = 2 * time.Second
)

// Config sets up a Service.
type Config struct {
	// Keys are the shared keys; empty turns authentication off.
	Keys httpx.Keys
	// Clock is observed and stamped on every call; it may be nil.
	Clock *event.Clock
	// Recorder gets a Fault event for every admin change; it may be nil.
	Recorder *event.Recorder
	// Faults are in effect from the start.
	Faults Faults
}

// Service is the log service. It implements http.Handler.
type Service struct {
	recorder *event.Recorder
	handler  http.Handler

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	limiter *rate.Limiter
	// changed is closed and replaced when the faults change.
	changed  chan struct{}
	appends  int64
	received int64
}

// New returns a service with empty streams.
func New(cfg Config) *Service {
	s := &Service{
		recorder: cfg.Recorder,
		streams:  make(map[string]*stream),
		changed:  make(chan struct{}),
	}
	s.setFaults(cfg.Faults)
	s.handler = s.routes(cfg)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// ChangeFaults changes the faults.
func (s *Service) ChangeFaults(c FaultChange) error {
	if err := c.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(c.apply(s.faults))
	return nil
}

// setFaults needs the lock, or sole use.
func (s *Service) setFaults(f Faults) {
	if f.Outage == "" {
		f.Outage = OutageNone
	}
	if f.AppendsPerSecond != s.faults.AppendsPerSecond {
		s.limiter = newLimiter(f.AppendsPerSecond)
	}
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := int(perSecond/10) + 1
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// Status is what the service reports of itself.
type Status struct {
	Faults Faults `json:"faults"`
	// Appends counts the appends that took effect.
	Appends int64 `json:"appends"`
	// AppendedBytes counts their bytes.
	AppendedBytes int64 `json:"appended_bytes"`
}

// Status returns the faults and counts.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Faults: s.faults, Appends: s.appends, AppendedBytes: s.received}
}

// Append adds a record past all limits and faults and returns its offset.
func (s *Service) Append(name string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	s.received += int64(len(data))
	return s.stream(name).append(data, time.Now())
}

// Read returns records past all faults.
func (s *Service) Read(name string, from int64, limit int) platformlog.Batch {
	batch, _ := s.read(name, from, limit)
	return batch
}

// read also returns a channel that closes at the next append.
func (s *Service) read(name string, from int64, limit int) (platformlog.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.retain(s.faults.MaxRecords, s.faults.maxAge(), time.Now())
	return st.read(from, limit), st.changed
}

// stream needs the lock.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// awaitTurn waits for the limit of appends a second.
func (s *Service) awaitTurn(ctx context.Context) error {
	s.mu.Lock()
	limiter := s.limiter
	s.mu.Unlock()
	if limiter == nil {
		return nil
	}
	turn := limiter.Reserve()
	if wait := turn.Delay(); wait > maxQueueWait {
		turn.Cancel()
		return structs.NewRetryAfterError(structs.CodeOverload, wait, "more appends than the limit")
	}
	return sleep(ctx, turn.Delay())
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return structs.NewError(structs.CodeDeadline, "the caller has gone")
	}
}
