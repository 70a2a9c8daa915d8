// Package clock is the clock by which members of a cell measure leases and timeouts. It counts
// the time for which the machine is suspended, and steps of the time of day do not affect it.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Steady is a clock that began with the time of day at its creation. Its times have no
// monotonic reading, so that they compare correctly across a suspension. It is safe for
// concurrent use.
type Steady struct {
	read func() time.Time
	// readSuspended returns the time since boot for which the machine was suspended.
	readSuspended func() time.Duration

	start        time.Time // with a monotonic reading
	startSuspend time.Duration
	suspended    atomic.Int64 // since start, in nanoseconds
	wallOffset   atomic.Int64 // the time of day less the monotonic clock, since start, in nanoseconds
	mu           sync.Mutex
}

// maxWallDrift is the change of the time of day against the monotonic clock from which the
// machine may have been suspended since the last reading.
const maxWallDrift = 10 * time.Millisecond

var system = newSteady(time.Now, systemSuspended)

// Now returns the current time of the system's steady clock.
func Now() time.Time { return system.Now() }

// Since returns the time that has passed since t, a time of the steady clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t, a time of the steady clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

func newSteady(read func() time.Time, readSuspended func() time.Duration) *Steady {
	return &Steady{
		read:          read,
		readSuspended: readSuspended,
		start:         read(),
		startSuspend:  readSuspended(),
	}
}

// Now returns the current time. It asks the system for the time of suspensions only if the time
// of day has moved against the monotonic clock: a suspension always moves it.
func (s *Steady) Now() time.Time {
	now := s.read()
	elapsed := now.Sub(s.start)
	offset := now.Round(0).Sub(s.start.Round(0)) - elapsed
	if drift := offset - time.Duration(s.wallOffset.Load()); drift.Abs() > maxWallDrift {
		s.resync(offset)
	}
	return s.start.Round(0).Add(elapsed + time.Duration(s.suspended.Load()))
}

// resync reads the time of suspensions again. It never decreases.
func (s *Steady) resync(offset time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspended := int64(s.readSuspended() - s.startSuspend)
	if suspended > s.suspended.Load() {
		s.suspended.Store(suspended)
	}
	s.wallOffset.Store(int64(offset))
}

// systemSuspended returns the time since boot for which the system was suspended, zero if the
// system does not tell.
func systemSuspended() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
