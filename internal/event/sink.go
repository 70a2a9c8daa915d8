package event

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a sink: lines that wait, and lines a second over a longer time.
const (
	sinkLines     = 4096
	sinkPerSecond = 1000
	sinkBurst     = 3000
	sinkFlush     = 100 * time.Millisecond
	// sinkReserve is the part of the burst that lines of detail leave to the others, and
	// sinkRoom the part of the lines that may wait.
	sinkReserve = 1000
	sinkRoom    = 1024
	// sinkWrite is the size from which lines are written at once, so that a write is
	// taken whole by a pipe.
	sinkWrite = 3 << 10
)

// Sink writes lines without ever making its caller wait: what the reader does not take,
// or what is more than the bound on lines a second, is dropped and counted.
type Sink struct {
	proc    string
	clock   *Clock
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// NewSink returns a sink that writes to out. The lines that tell of dropped ones bear the
// process's name and its clock's time.
func NewSink(out io.Writer, proc string, clock *Clock) *Sink {
	s := &Sink{
		proc:   proc,
		clock:  clock,
		out:    out,
		lines:  make(chan []byte, sinkLines),
		done:   make(chan struct{}),
		tokens: sinkBurst,
		at:     time.Now(),
	}
	go s.run()
	return s
}

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) {
	if s.admit(false) {
		s.put(append([]byte(nil), line...))
	}
	return len(line), nil
}

// admit reports whether a line will be taken, and counts it as dropped if not, so that a
// line that is not need not be made. Lines of detail are dropped before others.
func (s *Sink) admit(detail bool) bool {
	if detail && len(s.lines) > cap(s.lines)-sinkRoom || !s.allow(time.Now(), detail) {
		s.dropped.Add(1)
		return false
	}
	return true
}

// put takes a line that was admitted; the sink keeps it.
func (s *Sink) put(line []byte) {
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
}

// Dropped returns the number of lines that were dropped and not told yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// allow takes one line's part of the bound.
func (s *Sink) allow(now time.Time, detail bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+now.Sub(s.at).Seconds()*sinkPerSecond, sinkBurst)
	s.at = now
	least := 1.0
	if detail {
		least += sinkReserve
	}
	if s.tokens < least {
		return false
	}
	s.tokens--
	return true
}

// run writes lines together, so that a busy process makes few calls.
func (s *Sink) run() {
	defer close(s.done)
	var buf []byte
	for line := range s.lines {
		buf = append(buf[:0], line...)
		buf = s.gather(buf)
		if n := s.dropped.Swap(0); n > 0 {
			buf = append(buf, s.tellDropped(n)...)
		}
		// An output that is gone can't be told of; the lines are lost.
		_, _ = s.out.Write(buf)
	}
}

// tellDropped returns the line that tells of dropped ones. It stands outside the sequence
// of the recorder's lines.
func (s *Sink) tellDropped(n int64) []byte {
	line, err := json.Marshal(Event{Time: s.clock.Now(), Proc: s.proc, Type: LinesDropped, Count: int(n)})
	if err != nil {
		// They are told of with the next ones.
		s.dropped.Add(n)
		return nil
	}
	return append(line, '\n')
}

// gather adds the lines that come within the flush time, up to the size of a write.
func (s *Sink) gather(buf []byte) []byte {
	flush := time.After(sinkFlush)
	for len(buf) < sinkWrite {
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

// closeWithin bounds the wait for a reader that does not take the last lines.
const closeWithin = 200 * time.Millisecond

// Close writes what waits, unless the reader does not take it. Nothing may be written
// after it.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.lines) })
	select {
	case <-s.done:
	case <-time.After(closeWithin):
	}
}
