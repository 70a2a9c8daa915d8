package relay

import (
	"sync"
	"time"
)

// bitsPerByte converts a rate in bits to one in bytes.
const bitsPerByte = 8

// Shape is the delay and the bandwidth of a link.
type Shape struct {
	// DelayMs is the one-way delay in milliseconds.
	DelayMs float64 `json:"delay_ms"`
	// BitsPerSecond is the bandwidth each way; zero is no limit.
	BitsPerSecond float64 `json:"bits_per_second"`
}

// lane is one direction of a link. All connections share its bandwidth.
type lane struct {
	mu    sync.Mutex
	shape Shape
	// free is when the lane has sent all that it took.
	free  time.Time
	bytes int64
}

func (l *lane) setShape(s Shape) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shape = s
}

// schedule takes n bytes at now and returns when the last of them arrives.
func (l *lane) schedule(n int, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(n)
	if l.free.Before(now) {
		l.free = now
	}
	if l.shape.BitsPerSecond > 0 {
		seconds := float64(n) * bitsPerByte / l.shape.BitsPerSecond
		l.free = l.free.Add(time.Duration(seconds * float64(time.Second)))
	}
	return l.free.Add(time.Duration(l.shape.DelayMs * float64(time.Millisecond)))
}

func (l *lane) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}
