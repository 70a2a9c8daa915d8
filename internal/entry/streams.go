package entry

import (
	"context"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// jobStream is a jobs stream for which this entry's group is responsible: the group's
// own stream, or that of a group that no longer exists.
type jobStream struct {
	group          string
	table          *state.JobTable
	snapshotSearch *state.SnapshotRecovery
	committer      *journal.Committer
	forwarder      *journal.Forwarder
	// appender is the member that appends on behalf of this entry, nil if this entry
	// appends itself.
	appender atomic.Pointer[structs.Member]
	cancel   context.CancelFunc
	caughtUp bool
	// endedJobs has the jobs whose end by the record at endedOffset has been handled.
	endedJobs   map[string]bool
	endedOffset int64
	// lastSnapshotAt is when the last snapshot was read or submitted, or else when the
	// stream was opened.
	lastSnapshotAt time.Time
}

// jobsReadWait is how long a read of a jobs stream waits for new records.
const jobsReadWait = 2 * time.Second

// assignStreams opens the jobs streams for which the table makes this entry's group
// responsible, and closes the others.
func (c *core) assignStreams() {
	ownGroup, ok := c.table.GroupOfMember(c.self())
	if !ok {
		return
	}
	for _, group := range c.knownGroups() {
		decidingGroup, ok := c.table.GroupOfJobs(group)
		wanted := ok && decidingGroup.Name == ownGroup.Name
		open := c.streams[group] != nil
		switch {
		case wanted && !open:
			c.openStream(group)
		case !wanted && open:
			c.closeStream(group)
		}
	}
}

// knownGroups returns the groups of the present table, the groups whose streams are
// open, and the first group of each configured region. Once a region has had members, a
// stream of its first group exists.
func (c *core) knownGroups() []string {
	seen := map[string]bool{}
	for _, g := range c.table.Groups() {
		seen[g.Name] = true
	}
	for g := range c.streams {
		seen[g] = true
	}
	for _, region := range c.e.settings.Regions.Names {
		seen[region+"-0"] = true
	}
	out := make([]string, 0, len(seen))
	for g := range seen {
		out = append(out, g)
	}
	return out
}

func (c *core) openStream(group string) {
	ctx, cancel := context.WithCancel(c.e.ctx)
	stream := state.JobsStream(group)
	s := &jobStream{
		group:     group,
		table:     state.NewJobTable(),
		committer: journal.NewCommitter(c.e.log, stream, c.e.timing.AppendLinger, c.e.logger),
		cancel:    cancel,
	}
	s.forwarder = journal.NewForwarder(s.committer, func(ctx context.Context, data []byte) (bool, error) {
		return c.e.forwardAppend(ctx, s, data)
	}, c.e.logger)
	c.streams[group] = s
	c.e.spawn(func() { s.committer.Run(ctx) })
	c.e.spawn(func() { s.forwarder.Run(ctx) })
	follower := journal.NewFollower(journal.LogSource{Log: c.e.log}, stream, jobsReadWait, func(p journal.Page) int64 {
		next := int64(1)
		c.e.runOnControl(func() { next = c.applyJobsPage(s, p) })
		return next
	}, c.e.logger)
	s.lastSnapshotAt = time.Now()
	c.e.spawn(func() { follower.Run(ctx, 1) })
}

func (c *core) closeStream(group string) {
	s := c.streams[group]
	s.cancel()
	delete(c.streams, group)
	for _, j := range s.table.All() {
		c.jobs.RemoveJob(j.Job.ID)
	}
}

// applyJobsPage applies a page of a jobs stream and returns the next offset to read.
func (c *core) applyJobsPage(s *jobStream, p journal.Page) int64 {
	if c.streams[s.group] != s {
		return s.table.NextOffset()
	}
	if p.First > s.table.NextOffset() && s.snapshotSearch == nil {
		s.snapshotSearch = state.NewSnapshotRecovery(p.First)
	}
	if s.snapshotSearch != nil {
		return c.restoreJobs(s, p)
	}
	for _, r := range p.Records {
		for _, result := range s.table.Apply(r.Offset, r.Data) {
			c.applyJobsResult(s, result)
		}
	}
	if p.AtTail && !s.caughtUp {
		s.caughtUp = true
		c.assignJobs()
	}
	return s.table.NextOffset()
}

func (c *core) restoreJobs(s *jobStream, p journal.Page) int64 {
	for _, r := range p.Records {
		table := s.snapshotSearch.AddJobsRecord(r.Data)
		if table == nil {
			continue
		}
		s.snapshotSearch = nil
		s.table = table
		return table.NextOffset()
	}
	if p.AtTail {
		c.alarm(structs.CodeBehind, "the log has removed job records of "+s.group+" that no snapshot covers")
	}
	return max(p.First, lastOffset(p)+1)
}

// applyJobsResult acts on one change of a jobs stream that has been applied to the jobs
// table.
func (c *core) applyJobsResult(s *jobStream, r state.Result) {
	defer c.notifyWaiters(r)
	if !r.Accepted || !s.caughtUp {
		return
	}
	switch r.Change.Type {
	case state.JobsSnapshotPart:
		s.lastSnapshotAt = time.Now()
	case state.JobAccept:
		c.applyJobAccepted(s, r)
	case state.TasksEnd:
		c.applyTaskEnds(s, r)
	case state.JobFail:
		c.applyJobEnd(s, s.table.Get(r.Change.JobID), r.Offset)
	case state.JobCancel:
		for _, j := range s.table.All() {
			if j.EndedOffset == r.Offset {
				c.applyJobEnd(s, j, r.Offset)
			}
		}
	}
}

func (c *core) applyJobAccepted(s *jobStream, r state.Result) {
	j := s.table.Get(r.Change.Job.ID)
	if j == nil || j.AcceptedOffset != r.Offset {
		return
	}
	if !c.ownsJob(j.Job.ID) {
		return
	}
	c.e.events.Record(event.Event{
		Type:  event.JobAccepted,
		Job:   j.Job.ID,
		Class: j.Job.Class,
		Count: j.Job.Count,
	})
	if r.Change.Epoch > c.table.Epoch() {
		// At the newer epoch, whose record this entry has not read yet, another member
		// may own the job.
		return
	}
	// A job that was submitted at an older epoch may have had another owner.
	c.gainJob(j, r.Change.Epoch == c.table.Epoch())
	c.nextSchedule = time.Time{}
}

// gainJob takes over a job as its owner. fresh is set if no other owner can have placed
// a task of the job.
func (c *core) gainJob(j *state.Job, fresh bool) {
	if !fresh && !c.jobs.Owns(j.Job.ID) {
		c.unreadEnds[j.Job.ID] = true
	}
	class, _ := c.control.Class(j.Job.Class)
	c.jobs.AddJob(j, class, c.table.Epoch(), fresh)
}

// applyTaskEnds informs the orchestrator of task ends that the log has committed.
func (c *core) applyTaskEnds(s *jobStream, r state.Result) {
	id := r.Change.JobID
	for _, e := range r.Change.Ends {
		if c.jobs.Owns(id) {
			c.e.events.Record(event.Event{Type: event.TaskSettled, Job: id, Task: structs.NewTaskID(id, e.Index), State: string(e.State)})
		}
	}
	c.jobs.TaskEndsCommitted(id, r.Change.Ends)
	c.applyJobEnd(s, s.table.Get(id), r.Offset)
}

// markEnded reports whether the end of a job by the record at offset is handled for the
// first time, since one record may hold several changes of a job.
func (s *jobStream) markEnded(id string, offset int64) bool {
	if s.endedOffset != offset {
		s.endedOffset = offset
		s.endedJobs = map[string]bool{}
	}
	first := !s.endedJobs[id]
	s.endedJobs[id] = true
	return first
}

// applyJobEnd acts on the end of a job by the record at offset, once for each job.
func (c *core) applyJobEnd(s *jobStream, j *state.Job, offset int64) {
	if j == nil || j.EndedOffset != offset || !s.markEnded(j.Job.ID, offset) {
		return
	}
	id := j.Job.ID
	if c.jobs.Owns(id) {
		c.e.events.Record(event.Event{Type: event.JobEnded, Job: id, State: string(jobState(j))})
	}
	if j.Cancelled || j.FailReason != "" {
		c.jobs.EndJob(id, j.Cancelled, j.FailReason)
	}
}

// jobState returns the state of a job according to the log.
func jobState(j *state.Job) structs.JobState {
	switch {
	case j.Cancelled:
		return structs.JobCancelled
	case j.FailReason != "":
		return structs.JobFailed
	case j.Ended():
		return structs.JobComplete
	default:
		return structs.JobPending
	}
}

// assignJobs gains the jobs that the present table assigns to this entry, and drops
// those that it assigns to other members.
func (c *core) assignJobs() {
	for _, s := range c.streams {
		if !s.caughtUp {
			continue
		}
		for _, j := range s.table.All() {
			id := j.Job.ID
			switch {
			case !c.ownsJob(id):
				c.jobs.RemoveJob(id)
				delete(c.unreadEnds, id)
			case !j.Ended():
				c.gainJob(j, false)
			}
		}
	}
}

// jobRecord returns the open stream of a job's group and the job in it; each is nil if
// there is none.
func (c *core) jobRecord(id string) (*jobStream, *state.Job) {
	s := c.streams[structs.JobGroup(id)]
	if s == nil {
		return nil, nil
	}
	return s, s.table.Get(id)
}

// queueTaskEnd queues the end of a task for the log.
func (c *core) queueTaskEnd(id string, r orchestrator.TaskRun, st structs.AllocState) {
	c.pendingEnds[id] = append(c.pendingEnds[id], state.TaskEnd{Index: r.Index, State: st})
}

// appendTaskEnds submits the queued task ends to the log, one change for each job.
func (c *core) appendTaskEnds() {
	for id, ends := range c.pendingEnds {
		delete(c.pendingEnds, id)
		s, _ := c.jobRecord(id)
		if s == nil {
			continue
		}
		change := state.Change{
			ID:    endsID(id, ends),
			Type:  state.TasksEnd,
			JobID: id,
			Ends:  ends,

			StartedMs: c.jobs.StartedMs(id),
		}
		if err := s.Submit(c.e.ctx, change); err != nil {
			c.e.logger.Warn("task ends could not be queued for the log; they will be submitted again", "job", id, "tasks", len(ends), "error", err.Error())
			c.jobs.RevertTaskEnds(id, ends)
		}
	}
}

// endsID returns a change ID derived from the content of the change, so that a repeat
// has the same ID.
func endsID(job string, ends []state.TaskEnd) string {
	return "end/" + string(structs.NewTaskID(job, ends[0].Index))
}

// failHopelessJobs ends the jobs whose tasks fail on every worker.
func (c *core) failHopelessJobs() {
	for _, id := range c.jobs.JobsToFail() {
		reason := c.jobs.FailReason(id)
		s, _ := c.jobRecord(id)
		if reason == "" || s == nil {
			continue
		}
		c.jobs.EndJob(id, false, reason)
		change := state.Change{ID: "park/" + id, Type: state.JobFail, JobID: id, Reason: reason}
		if err := s.Submit(c.e.ctx, change); err != nil {
			c.e.logger.Warn("the failure of a job could not be queued for the log", "job", id, "error", err.Error())
		}
	}
}

// dropFinishedJobs drops the jobs that need no further action.
func (c *core) dropFinishedJobs() {
	for _, id := range c.jobs.FinishedJobs() {
		if _, j := c.jobRecord(id); j == nil || j.Ended() {
			c.jobs.RemoveJob(id)
			delete(c.unreadEnds, id)
			delete(c.waitingGangSplits, id)
			delete(c.stopRetryAt, id)
		}
	}
}
