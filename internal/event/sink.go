package event

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a sink: queued lines, sustained lines per second, and burst size.
const (
	sinkQueueLines     = 4096
	sinkLinesPerSecond = 1000
	sinkBurst          = 3000
	sinkFlushInterval  = 100 * time.Millisecond
	// sinkDetailReserve is the part of the burst that is reserved for other than detail lines, and
	// sinkDetailHeadroom is the part of the queue that is.
	sinkDetailReserve  = 1000
	sinkDetailHeadroom = 1024
	// sinkWriteBytes is the buffer size in bytes from which lines are written without waiting for
	// more. It is small enough that a pipe accepts a write as a whole.
	sinkWriteBytes = 3 << 10
)

// Sink writes lines without ever blocking its caller. Lines are dropped and counted if
// the output is blocked and the queue is full, or if the rate limit is exceeded.
type Sink struct {
	proc      string
	clock     *Clock
	out       io.Writer
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Int64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewSink returns a sink that writes to out. The LinesDropped events that the sink adds
// carry the name proc and the time of clock.
func NewSink(out io.Writer, proc string, clock *Clock) *Sink {
	s := &Sink{
		proc:       proc,
		clock:      clock,
		out:        out,
		lines:      make(chan []byte, sinkQueueLines),
		done:       make(chan struct{}),
		tokens:     sinkBurst,
		refilledAt: time.Now(),
	}
	go s.run()
	return s
}

// Write enqueues a copy of one line or drops it. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	if s.admit(false) {
		s.enqueue(append([]byte(nil), line...))
	}
	return len(line), nil
}

// admit reports whether a line may be enqueued and counts a refused one as dropped. It is
// called before the line is encoded, so that refused lines cost no encoding. Detail lines
// are dropped before others.
func (s *Sink) admit(detail bool) bool {
	if detail && len(s.lines) > cap(s.lines)-sinkDetailHeadroom || !s.takeToken(time.Now(), detail) {
		s.dropped.Add(1)
		return false
	}
	return true
}

// enqueue adds an admitted line to the queue; the caller must not modify it afterwards.
func (s *Sink) enqueue(line []byte) {
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
}

// Dropped returns the number of dropped lines that no LinesDropped event has reported yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// takeToken consumes one token of the rate limit; it reports false if none is available.
func (s *Sink) takeToken(now time.Time, detail bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+now.Sub(s.refilledAt).Seconds()*sinkLinesPerSecond, sinkBurst)
	s.refilledAt = now
	least := 1.0
	if detail {
		least += sinkDetailReserve
	}
	if s.tokens < least {
		return false
	}
	s.tokens--
	return true
}

// run writes lines in batches, so that a busy process makes few system calls.
func (s *Sink) run() {
	defer close(s.done)
	var buf []byte
	for line := range s.lines {
		buf = append(buf[:0], line...)
		buf = s.fillBatch(buf)
		if n := s.dropped.Swap(0); n > 0 {
			buf = append(buf, s.linesDroppedRecord(n)...)
		}
		// A write error is ignored: there is no other output to report it to.
		_, _ = s.out.Write(buf)
	}
}

// linesDroppedRecord returns a LinesDropped event as one line. The event has no sequence
// number of the recorder.
func (s *Sink) linesDroppedRecord(n int64) []byte {
	line, err := json.Marshal(Event{Time: s.clock.Now(), Proc: s.proc, Type: LinesDropped, Count: int(n)})
	if err != nil {
		// The next LinesDropped event includes these lines.
		s.dropped.Add(n)
		return nil
	}
	return append(line, '\n')
}

// fillBatch appends the lines that arrive within the flush interval, up to the size of a
// write.
func (s *Sink) fillBatch(buf []byte) []byte {
	flush := time.After(sinkFlushInterval)
	for len(buf) < sinkWriteBytes {
		select {
		case line, open := <-s.lines:
			if !open {
				return buf
			}
			buf = append(buf, line...)
		case <-flush:
			return buf
		}
	}
	return buf
}

// closeTimeout limits how long Close waits for a blocked output to accept the last lines.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines and returns; if the output is blocked it returns after
// closeTimeout. Write must not be called after Close.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
