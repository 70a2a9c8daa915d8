package cell

import (
	"sync"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/workload"
)

// configReadWait is how long a read of the configuration waits for a change. After all connections
// went silent, the next read begins configReadWait plus readTimeout later at most, which is a second
// before the platform counts the member as in touch again.
const configReadWait = time.Second

// configVersion is a version of the configuration and the record from which it was decoded.
type configVersion struct {
	*workload.Config
	record []byte
}

// configSource tells how a version of the configuration reached this member.
type configSource struct {
	kind string
	// member is the member that passed it on, empty for a direct read of the store.
	member string
}

// Kinds of configSource.
const (
	sourceStore     = "store"
	sourceRelay     = "relay"
	sourceHeartbeat = "heartbeat"
)

// configState is the configuration in force at a member.
type configState struct {
	version atomic.Pointer[configVersion]
	// confirmedAt is the latest time at which the version in force is known to have been the
	// newest, in Unix nanoseconds of the steady clock; zero if it never was.
	confirmedAt atomic.Int64

	mu      sync.Mutex
	changed chan struct{}
}

// nextChange returns a channel that is closed when the next version is in force.
func (s *configState) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify closes the channel that nextChange returned.
func (s *configState) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// confirm records that the version in force was the newest at a time.
func (s *configState) confirm(at time.Time) {
	if !at.IsZero() {
		raiseTime(&s.confirmedAt, at)
	}
}

// age returns the time since the version in force was known to be the newest, false if it never was.
func (s *configState) age(now time.Time) (time.Duration, bool) {
	if s.confirmedAt.Load() == 0 {
		return 0, false
	}
	return max(now.Sub(loadTime(&s.confirmedAt)), 0), true
}

// ageMs returns the age in milliseconds for an event, zero if there is none.
func (s *configState) ageMs(now time.Time) int64 {
	age, _ := s.age(now)
	return age.Milliseconds()
}

// number returns the number of the version in force, zero while there is none.
func (s *configState) number() int64 {
	if v := s.version.Load(); v != nil {
		return v.Version
	}
	return 0
}

// followConfig reads the configuration topic, and applies each newer version, until the node
// stops. Reads confirm the version in force unless the newest record can't be decoded.
func (n *Node) followConfig() {
	f := stream.Follower{
		Reader:   n.log,
		Topic:    n.opts.Topics.ConfigTopic,
		PollWait: configReadWait,
		OnError:  func(error) {},
	}
	newestApplied := true
	apply := func(records []stream.Record, _ time.Time) {
		source := sourceOfRead(f.LastRelay)
		for i := range records {
			if records[i].Key == n.opts.Topics.ConfigKey {
				newestApplied = n.applyConfig(records[i].Value, source)
			}
		}
		if newestApplied {
			n.config.confirm(f.CurrentAt)
		}
	}
	f.OnReload = apply
	f.OnRecords = apply
	f.Run(n.ctx)
}

// sourceOfRead returns the source of what was read through a relay, or directly if it is empty.
func sourceOfRead(relay string) configSource {
	if relay != "" {
		return configSource{kind: sourceRelay, member: relay}
	}
	return configSource{kind: sourceStore}
}

// applyConfig decodes a configuration record and puts it in force if its version is higher than
// the one in force. It returns false if the record can't be decoded.
func (n *Node) applyConfig(raw []byte, source configSource) bool {
	if len(raw) == 0 {
		return true
	}
	cfg, err := n.opts.Topics.DecodeConfig(raw)
	if err != nil {
		n.recordAlarm(err)
		return false
	}
	next := &configVersion{Config: cfg, record: raw}
	for {
		old := n.config.version.Load()
		if old != nil && old.Version >= cfg.Version {
			return true
		}
		if n.config.version.CompareAndSwap(old, next) {
			break
		}
	}
	n.record(event.Event{
		Type:    event.ConfigApplied,
		Version: cfg.Version,
		Count:   len(cfg.Classes),
		Member:  source.member,
		AgeMs:   n.config.ageMs(clock.Now()),
		Detail:  source.kind,
	})
	if l := n.term.Load(); l != nil {
		l.setConfig(cfg)
	}
	n.config.notify()
	return true
}

const (
	// configStaleAfter is the age from which a configuration counts as stale: a newer version may be
	// about to be, or already, in force elsewhere.
	configStaleAfter = 2 * time.Second
	// configAgePeriod is the period at which the age of the configuration is checked.
	configAgePeriod = 500 * time.Millisecond
)

// The states of event.ConfigStale.
const (
	stateStale   = "stale"
	stateCurrent = "current"
)

// ConfigIsCurrent reports whether the configuration in force was known to be the newest within
// configStaleAfter.
func (n *Node) ConfigIsCurrent() bool {
	age, confirmed := n.config.age(clock.Now())
	return confirmed && age < configStaleAfter
}

// monitorConfigAge records when the configuration becomes stale, and when it is confirmed again, until
// the node stops.
func (n *Node) monitorConfigAge() {
	oldest := time.Duration(0)
	for n.sleep(configAgePeriod) {
		age, _ := n.config.age(clock.Now())
		switch {
		case age >= configStaleAfter:
			if oldest == 0 {
				n.recordConfigAge(stateStale, age)
			}
			oldest = max(oldest, age)
		case oldest > 0:
			n.recordConfigAge(stateCurrent, oldest)
			oldest = 0
		}
	}
}

func (n *Node) recordConfigAge(state string, age time.Duration) {
	n.record(event.Event{Type: event.ConfigStale, Version: n.config.number(), State: state, AgeMs: age.Milliseconds()})
}

// configAgeSeconds returns the age of the configuration for a metric.
func (n *Node) configAgeSeconds() float64 {
	age, _ := n.config.age(clock.Now())
	return age.Seconds()
}
