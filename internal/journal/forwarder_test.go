package journal

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// fakeLog is a stream in memory.
type fakeLog struct {
	mu      sync.Mutex
	records [][]byte
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	return int64(len(l.records)), nil
}

// jobs folds the stream and counts the changes that it holds for each job.
func (l *fakeLog) jobs(t *testing.T) (table *state.JobTable, appended map[string]int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	table, appended = state.NewJobTable(), map[string]int{}
	for i, data := range l.records {
		for _, r := range table.Apply(int64(i+1), data) {
			if !r.Accepted {
				t.Errorf("change %s refused: %v", r.Change.ID, r.Err)
			}
			appended[r.Change.Job.ID]++
		}
	}
	return table, appended
}

func acceptance(i int) state.Change {
	id := structs.NewJobID("casa-0", "team", fmt.Sprintf("j%d", i))
	job := &structs.Job{ID: id, Class: "c", Kind: structs.KindBatch, Count: 1, Size: structs.Resources{CPUMilli: 1, MemoryMiB: 1}}
	return state.Change{ID: id, Type: state.JobAccept, Job: job}
}

var errLost = structs.NewError(structs.CodeUnknown, "answer lost")

// TestForwarderLosesAndDoublesNothing submits changes while the appender fails in
// each way in turn: it answers, refuses, freezes, or appends and its answer is lost.
func TestForwarderLosesAndDoublesNothing(t *testing.T) {
	const changes = 200
	for name, forward := range map[string]func(l *fakeLog) ForwardFunc{
		"answers": func(l *fakeLog) ForwardFunc {
			return func(ctx context.Context, data []byte) (bool, error) {
				_, err := l.Append(ctx, "", data)
				return true, err
			}
		},
		"is this process": func(*fakeLog) ForwardFunc {
			return func(context.Context, []byte) (bool, error) { return false, nil }
		},
		"refuses": func(*fakeLog) ForwardFunc {
			return func(context.Context, []byte) (bool, error) { return true, errLost }
		},
		"is frozen": func(*fakeLog) ForwardFunc {
			return func(ctx context.Context, _ []byte) (bool, error) {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				<-ctx.Done()
				return true, errLost
			}
		},
		"appends, its answer is lost": func(l *fakeLog) ForwardFunc {
			return func(ctx context.Context, data []byte) (bool, error) {
				_, _ = l.Append(ctx, "", data)
				return true, errLost
			}
		},
		"appends late, after this process did": func(l *fakeLog) ForwardFunc {
			return func(ctx context.Context, data []byte) (bool, error) {
				time.AfterFunc(time.Minute, func() { _, _ = l.Append(ctx, "", data) })
				return true, errLost
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &fakeLog{}
				logger := slog.New(slog.NewJSONHandler(io.Discard, nil))
				ctx, cancel := context.WithCancel(t.Context())
				own := NewCommitter(log, "jobs.casa-0", 20*time.Millisecond, logger)
				f := NewForwarder(own, forward(log), logger)
				go own.Run(ctx)
				go f.Run(ctx)
				for i := range changes {
					if err := f.Submit(ctx, acceptance(i)); err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(10 * time.Minute)
				cancel()
				synctest.Wait()
				table, appended := log.jobs(t)
				for i := range changes {
					id := acceptance(i).Job.ID
					if table.Get(id) == nil || appended[id] == 0 {
						t.Errorf("job %s is lost", id)
					}
				}
				if got := len(table.All()); got != changes {
					t.Errorf("%d jobs, want %d", got, changes)
				}
			})
		})
	}
}

// TestForwarderDropsWhatNobodyWants ends the submitter's context before the change is
// tried: it is never appended.
func TestForwarderDropsWhatNobodyWants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		logger := slog.New(slog.NewJSONHandler(io.Discard, nil))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		own := NewCommitter(log, "jobs.casa-0", 0, logger)
		f := NewForwarder(own, func(ctx context.Context, data []byte) (bool, error) {
			_, err := log.Append(ctx, "", data)
			return true, err
		}, logger)
		gone, end := context.WithCancel(ctx)
		if err := f.Submit(gone, acceptance(0)); err != nil {
			t.Fatal(err)
		}
		end()
		go own.Run(ctx)
		go f.Run(ctx)
		synctest.Wait()
		if _, appended := log.jobs(t); len(appended) != 0 {
			t.Errorf("appended: %v", appended)
		}
	})
}

// TestCommitAnswersAfterTheLog holds the log's answer back: Commit returns after it.
func TestCommitAnswersAfterTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &slowLog{wait: time.Second}
		logger := slog.New(slog.NewJSONHandler(io.Discard, nil))
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(log.wait)
		defer cancel()
		own := NewCommitter(log, "jobs.casa-0", 0, logger)
		go own.Run(ctx)
		start := time.Now()
		if err := own.Commit(ctx, []state.Change{acceptance(0), acceptance(1)}); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took < log.wait {
			t.Errorf("acknowledged after %v, the log took %v", took, log.wait)
		}
		short, end := context.WithTimeout(ctx, log.wait/2)
		defer end()
		if err := own.Commit(short, []state.Change{acceptance(2)}); structs.CodeOf(err) != structs.CodeUnknown {
			t.Errorf("not acknowledged in time: %v, want unknown", err)
		}
	})
}

// slowLog acknowledges after a while.
type slowLog struct {
	fakeLog
	wait time.Duration
}

func (l *slowLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	time.Sleep(l.wait)
	return l.fakeLog.Append(ctx, stream, data)
}
