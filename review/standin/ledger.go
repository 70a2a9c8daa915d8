package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ledger records what requesters and workers see, writes it to record.txt, and checks the rules.
type ledger struct {
	mu     sync.Mutex
	began  time.Time
	out    *bufio.Writer
	file   *os.File
	jobs   map[string]*jobSeen
	tasks  map[string]*taskSeen
	broken []string
	starts int
}

// jobSeen is what a requester has seen of a job.
type jobSeen struct {
	spec       *jobSpec
	accepted   time.Time
	cancelled  time.Time // when a cancel of it was first sent
	final      string
	finalSeen  time.Time
	noAnswer   bool // some attempt to hand it in got no answer or one that says nothing
	refusedAll bool
}

type taskSeen struct {
	name string
	runs []*runSeen
}

// runSeen is one run of a task as its worker has seen it.
type runSeen struct {
	worker  string
	number  int64
	started time.Time
	ended   time.Time // zero while it runs
	how     string    // "crashed" if the worker's process ended under it
	noted   time.Time // when last_seen reached its end
	lapsed  bool      // the worker's lease lapsed between the two
}

func newLedger(path string) (*ledger, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &ledger{
		began: time.Now(), file: f, out: bufio.NewWriter(f),
		jobs: map[string]*jobSeen{}, tasks: map[string]*taskSeen{},
	}, nil
}

func (l *ledger) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log(format, args...)
}

func (l *ledger) log(format string, args ...any) {
	fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *ledger) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.broken = append(l.broken, text)
	l.log("BROKEN %s", text)
}

func (l *ledger) at(t time.Time) float64 { return t.Sub(l.began).Seconds() }

// stepOf returns the job and the step of a task, nil if no requester has sent the job.
func (l *ledger) stepOf(task string) (*jobSeen, *stepSpec) {
	parts := strings.Split(task, ".")
	j := l.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil, nil
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.spec.Steps) {
		return nil, nil
	}
	return j, &j.spec.Steps[n]
}

func (l *ledger) task(name string) *taskSeen {
	t := l.tasks[name]
	if t == nil {
		t = &taskSeen{name: name}
		l.tasks[name] = t
	}
	return t
}

// started records the start of a run, and checks TWICE as far as it can be at this moment.
func (l *ledger) started(worker, task string, number int64) *runSeen {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	t := l.task(task)
	r := &runSeen{worker: worker, number: number, started: time.Now()}
	l.log("start    %s run %d on %s", task, number, worker)
	for _, other := range t.runs {
		if other.ended.IsZero() {
			l.breaks("TWICE: %s run %d starts on %s while run %d runs on %s", task, number, worker, other.number, other.worker)
		}
	}
	t.runs = append(t.runs, r)
	return r
}

func (l *ledger) ended(task string, r *runSeen, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.how = time.Now(), how
	l.log("end      %s run %d on %s: %s", task, r.number, r.worker, how)
}

// noted records that last_seen has reached the end of a run.
func (l *ledger) noted(task string, r *runSeen, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.noted, r.lapsed = time.Now(), lapsed
	l.log("noted    %s run %d on %s: %s", task, r.number, r.worker, r.how)
}

// checkTwice checks the second part of TWICE: a start after a run has ended done, if that end is taken
// note of then or later, unless the worker's lease lapsed between the two.
func (l *ledger) checkTwice() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.tasks {
		for _, done := range t.runs {
			if done.how != "done" || done.noted.IsZero() || done.lapsed {
				continue
			}
			for _, r := range t.runs {
				if r.started.After(done.ended) {
					l.breaks("TWICE: %s run %d started on %s at %.3f after run %d ended done on %s at %.3f, and that end was taken note of at %.3f",
						t.name, r.number, r.worker, l.at(r.started), done.number, done.worker, l.at(done.ended), l.at(done.noted))
				}
			}
		}
	}
}

// finish writes the result and closes the record. It returns the exit status.
func (l *ledger) finish() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted, final := 0, map[string]int{}
	for _, j := range l.jobs {
		if !j.accepted.IsZero() {
			accepted++
			final[j.final]++
		}
	}
	l.log("result   %d jobs, %d accepted, %d starts, final states %v, %d times broken", len(l.jobs), accepted, l.starts, final, len(l.broken))
	for i, b := range l.broken {
		if i < 5 {
			fmt.Println(b)
		}
	}
	fmt.Printf("%d jobs, %d accepted, %d starts, final states %v, %d times broken\n", len(l.jobs), accepted, l.starts, final, len(l.broken))
	_ = l.out.Flush()
	_ = l.file.Close()
	switch {
	case len(l.broken) > 0:
		return 1
	case accepted == 0 || l.starts == 0:
		return 2
	}
	return 0
}
