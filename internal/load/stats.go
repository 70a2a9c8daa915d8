package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelhitch/internal/structs"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestWait   = 1
	highestWait  = int64(time.Hour / time.Microsecond)
	waitDigits   = 3
	seriesStep   = time.Second
	maxSeriesLen = 24 * 60 * 60
)

// stats gathers what became of one stream's work. It is safe for concurrent use.
type stats struct {
	mu      sync.Mutex
	sent    int
	dropped int
	outcome map[string]int
	codes   map[structs.Code]int
	wrong   int
	within  int
	retries int
	moved   int
	waits   *hdrhistogram.Histogram
	ends    *hdrhistogram.Histogram
	series  []SecondStats
}

// SecondStats is what happened to the arrivals of one second.
type SecondStats struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// MaxMs is the longest wait of an answer.
	MaxMs float64 `json:"max_ms"`
}

func newStats() *stats {
	return &stats{
		outcome: map[string]int{},
		codes:   map[structs.Code]int{},
		waits:   hdrhistogram.New(lowestWait, highestWait, waitDigits),
		ends:    hdrhistogram.New(lowestWait, highestWait, waitDigits),
	}
}

func (s *stats) send(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	s.second(after).Sent++
}

func (s *stats) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
}

func (s *stats) retry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retries++
}

func (s *stats) move() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moved++
}

// result is the last outcome of one piece of work.
type result struct {
	// after is when it was to be sent, wait the time from then to its end.
	after   time.Duration
	wait    time.Duration
	outcome string
	code    structs.Code
	wrong   bool
	within  time.Duration
}

// answered reports whether the work got what it asked for.
func (r result) answered() bool {
	return r.outcome == string(structs.OutcomeAnswered) || r.outcome == outcomeStarted
}

func (s *stats) done(r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcome[r.outcome]++
	if r.code != "" {
		s.codes[r.code]++
	}
	if r.wrong {
		s.wrong++
	}
	second := s.second(r.after)
	switch {
	case r.answered():
		s.answer(r, second)
	case r.outcome == outcomeUntimed:
		second.Answered++
	case r.outcome == string(structs.OutcomeNotRun):
		second.NotRun++
	default:
		second.Unknown++
	}
}

// answer needs the lock.
func (s *stats) answer(r result, second *SecondStats) {
	_ = s.waits.RecordValue(clamp(r.wait))
	if r.within == 0 || r.wait <= r.within {
		s.within++
	}
	second.Answered++
	second.MaxMs = max(second.MaxMs, millis(r.wait))
}

// end records the time from a job's intended submission to its end.
func (s *stats) end(wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.ends.RecordValue(clamp(wait))
}

// second needs the lock.
func (s *stats) second(after time.Duration) *SecondStats {
	i := min(int(after/seriesStep), maxSeriesLen)
	for len(s.series) <= i {
		s.series = append(s.series, SecondStats{})
	}
	return &s.series[i]
}

func clamp(d time.Duration) int64 {
	return min(max(d.Microseconds(), lowestWait), highestWait)
}

func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
