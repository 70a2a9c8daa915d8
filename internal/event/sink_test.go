package event

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// lockedBuffer is a buffer for two goroutines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestBlockedOutputNeverBlocksALine has nobody read the output: lines are dropped and
// counted.
func TestBlockedOutputNeverBlocksALine(t *testing.T) {
	r, w := io.Pipe()
	s := NewSink(w, "p-1", &Clock{})
	began := time.Now()
	for range 3 * sinkLines {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("%d lines took %v", 3*sinkLines, took)
	}
	if s.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	s.Close()
	_ = r.Close()
}

// TestLinesAreBounded writes more than the bound allows for ten seconds: what is written
// keeps to it, and the rest is told.
func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lockedBuffer{}
		s := NewSink(out, "p-1", &Clock{})
		const seconds = 10
		for range seconds * 100 {
			for range sinkPerSecond / 50 {
				_, _ = s.Write([]byte("line\n"))
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		s.Close()
		written := strings.Count(out.String(), "line\n")
		if most := sinkBurst + seconds*sinkPerSecond + sinkPerSecond; written > most || written < seconds*sinkPerSecond/2 {
			t.Errorf("%d lines were written, at most %d are allowed", written, most)
		}
		told := droppedLine(t, out.String())
		if told.Type != LinesDropped || told.Proc != "p-1" || told.Time.Micros == 0 || told.Count == 0 {
			t.Errorf("the dropped lines are told by %+v", told)
		}
	})
}

// droppedLine returns the first line of JSON.
func droppedLine(t *testing.T, out string) Event {
	t.Helper()
	var e Event
	_, rest, _ := strings.Cut(out, "{")
	line, _, _ := strings.Cut(rest, "\n")
	if err := json.Unmarshal([]byte("{"+line), &e); err != nil {
		t.Fatalf("%v: %q", err, line)
	}
	return e
}

// TestLinesOfDetailGoFirst records more lines on tasks than the bound allows, and now and
// then one on a dependency: none of these is dropped (tairi-bale-grown trouble-1: the line on
// the lost store was).
func TestLinesOfDetailGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lockedBuffer{}
		clock := &Clock{}
		s := NewSink(out, "p-1", clock)
		r := NewRecorder("p-1", clock, s)
		const rounds = 300
		for range rounds {
			for range sinkPerSecond / 20 {
				r.Record(Event{Type: TaskPlaced})
			}
			r.Record(Event{Type: StoreLost})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		dropped := s.Dropped()
		s.Close()
		if got := strings.Count(out.String(), string(StoreLost)); got != rounds {
			t.Errorf("%d of %d lines on the store were written", got, rounds)
		}
		placed := strings.Count(out.String(), string(TaskPlaced))
		if placed+int(dropped) > rounds*sinkPerSecond/20 || placed < rounds*sinkPerSecond/100/2 {
			t.Errorf("%d lines on tasks were written", placed)
		}
	})
}
