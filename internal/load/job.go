package load

import (
	"context"
	"fmt"
	"time"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Outcomes of jobs in reports.
const (
	outcomeStarted = "started"
	outcomeRefused = "refused"
	outcomeOpen    = "open"
	// outcomeUntimed is a job that ended well, but whose start isn't known.
	outcomeUntimed = "complete, start not known"
)

// Times of the calls that follow a job.
const (
	submitTimeout = 10 * time.Second
	statusWait    = 2 * time.Second
	statusTimeout = statusWait + 5*time.Second
	statusPause   = 50 * time.Millisecond
)

func (r *runner) newJobStream(s JobStream) *stream {
	stats := newStats()
	return &stream{
		name:   s.Name,
		kind:   "jobs",
		window: s.Window,
		within: s.StartTarget.AsDuration(),
		stats:  stats,
		send: func(ctx context.Context, a arrival) {
			r.sendJob(ctx, s, a, stats)
		},
	}
}

// sendJob submits a job and follows it to its end or the end of the settling
// time. Its wait is that until every task had started.
func (r *runner) sendJob(ctx context.Context, s JobStream, a arrival, stats *stats) {
	id, err := r.submit(ctx, s, a, stats)
	if err != nil {
		stats.done(result{after: a.after, wait: r.waited(a), outcome: outcomeRefused, code: structs.CodeOf(err)})
		return
	}
	r.options.Events.Record(event.Event{Type: event.CallerJobAccepted, Job: id, Class: s.Class, Count: s.Tasks})
	status := r.follow(ctx, id, a)
	if ended(status.State) {
		stats.end(r.waited(a))
		r.options.Events.Record(event.Event{Type: event.CallerJobEnded, Job: id, Class: s.Class, State: string(status.State)})
	}
	out := result{after: a.after, outcome: jobOutcome(status), within: s.StartTarget.AsDuration()}
	if status.StartedMs > 0 {
		out.wait = time.UnixMilli(status.StartedMs).Sub(r.start.Add(a.after))
	}
	stats.done(out)
}

// jobOutcome is the state of a job that ended otherwise than well, else whether
// its tasks are known to have started.
func jobOutcome(s structs.JobStatus) string {
	switch {
	case ended(s.State) && s.State != structs.JobComplete:
		return string(s.State)
	case s.StartedMs > 0:
		return outcomeStarted
	case ended(s.State):
		return outcomeUntimed
	default:
		return outcomeOpen
	}
}

// submit tries each entry until one has answered; the change ID makes it one job.
func (r *runner) submit(ctx context.Context, s JobStream, a arrival, stats *stats) (string, error) {
	changeID := fmt.Sprintf("%s-%s-%d", r.id, s.Name, a.number)
	var id string
	var err error
	for i := range r.targets {
		if i > 0 {
			stats.move()
		}
		id, err = submitOnce(ctx, r.target(a, i), s.job(), changeID)
		if !otherEntry(err) {
			break
		}
	}
	return id, err
}

func submitOnce(ctx context.Context, client *caller.Client, job structs.Job, changeID string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return client.SubmitJob(ctx, job, changeID)
}

// otherEntry reports whether another entry may do what this one could not.
func otherEntry(err error) bool {
	switch structs.CodeOf(err) {
	case structs.CodeUnavailable, structs.CodeDeadline, structs.CodeUnknown, structs.CodeDraining, structs.CodeNotOwner, structs.CodeBehind:
		return true
	default:
		return false
	}
}

// follow asks one entry after the other for the state of a job.
func (r *runner) follow(ctx context.Context, id string, a arrival) structs.JobStatus {
	until := r.start.Add((r.experiment.Duration + r.experiment.SettleTimeout).AsDuration())
	var last structs.JobStatus
	for attempt := 0; time.Now().Before(until) && ctx.Err() == nil; {
		asked := time.Now()
		status, err := statusOnce(ctx, r.target(a, attempt), id)
		if err != nil {
			attempt++
			sleep(ctx, statusPause)
			continue
		}
		last = status
		if ended(status.State) {
			break
		}
		sleep(ctx, statusPause-time.Since(asked))
	}
	return last
}

func statusOnce(ctx context.Context, client *caller.Client, id string) (structs.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return client.JobStatus(ctx, id, statusWait)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func ended(s structs.JobState) bool {
	return s == structs.JobComplete || s == structs.JobFailed || s == structs.JobCancelled
}
