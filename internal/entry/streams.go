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

// jobStream is a jobs stream that this entry's group decides: its own, and those
// of groups that exist no more.
type jobStream struct {
	group     string
	table     *state.JobTable
	bridge    *state.SnapshotRecovery
	committer *journal.Committer
	forwarder *journal.Forwarder
	// appender is the member that appends for this one, nil for itself.
	appender atomic.Pointer[structs.Member]
	cancel   context.CancelFunc
	caughtUp bool
	// over are the jobs that the record at overAt was seen to end.
	over   map[string]bool
	overAt int64
	// snapshotAt is when the last snapshot was read or the stream opened.
	snapshotAt time.Time
}

// jobsWait is how long a read of a jobs stream waits for a record.
const jobsWait = 2 * time.Second

// assignStreams follows the streams that the table gives to this entry's group.
func (c *core) assignStreams() {
	own, ok := c.table.GroupOfMember(c.self())
	if !ok {
		return
	}
	for _, group := range c.knownGroups() {
		decider, ok := c.table.GroupOfJobs(group)
		mine := ok && decider.Name == own.Name
		held := c.streams[group] != nil
		switch {
		case mine && !held:
			c.openStream(group)
		case !mine && held:
			c.closeStream(group)
		}
	}
}

// knownGroups are the groups of the present table, those whose streams are held,
// and the first group of each region that the settings name, which exists as long
// as the region ever had members.
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
	follower := journal.NewFollower(journal.LogSource{Log: c.e.log}, stream, jobsWait, func(p journal.Page) int64 {
		next := int64(1)
		c.e.do(func() { next = c.takeJobs(s, p) })
		return next
	}, c.e.logger)
	s.snapshotAt = time.Now()
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

// takeJobs folds a page of a jobs stream and returns the next offset.
func (c *core) takeJobs(s *jobStream, p journal.Page) int64 {
	if c.streams[s.group] != s {
		return s.table.NextOffset()
	}
	if p.First > s.table.NextOffset() && s.bridge == nil {
		s.bridge = state.NewSnapshotRecovery(p.First)
	}
	if s.bridge != nil {
		return c.bridgeJobs(s, p)
	}
	for _, r := range p.Records {
		for _, result := range s.table.Apply(r.Offset, r.Data) {
			c.noteJobs(s, result)
		}
	}
	if p.AtTail && !s.caughtUp {
		s.caughtUp = true
		c.assignJobs()
	}
	return s.table.NextOffset()
}

func (c *core) bridgeJobs(s *jobStream, p journal.Page) int64 {
	for _, r := range p.Records {
		table := s.bridge.AddJobsRecord(r.Data)
		if table == nil {
			continue
		}
		s.bridge = nil
		s.table = table
		return table.NextOffset()
	}
	if p.AtTail {
		c.alarm(structs.CodeBehind, "the log has removed job records of "+s.group+" that no snapshot covers")
	}
	return max(p.First, lastOffset(p)+1)
}

// noteJobs acts on one folded change of a jobs stream.
func (c *core) noteJobs(s *jobStream, r state.Result) {
	defer c.resolve(r)
	if !r.Accepted || !s.caughtUp {
		return
	}
	switch r.Change.Type {
	case state.JobsSnapshotPart:
		s.snapshotAt = time.Now()
	case state.JobAccept:
		c.noteAccepted(s, r)
	case state.TasksEnd:
		c.noteEnds(s, r)
	case state.JobFail:
		c.noteOver(s, s.table.Get(r.Change.JobID), r.Offset)
	case state.JobCancel:
		for _, j := range s.table.All() {
			if j.EndedOffset == r.Offset {
				c.noteOver(s, j, r.Offset)
			}
		}
	}
}

func (c *core) noteAccepted(s *jobStream, r state.Result) {
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
		// Another member may own the job at the epoch that is still to be read.
		return
	}
	// A job that was submitted at an older epoch may have had another owner.
	c.gainJob(j, r.Change.Epoch == c.table.Epoch())
	c.nextSchedule = time.Time{}
}

// gainJob takes over a job; fresh says that no other owner can have placed a task of it.
func (c *core) gainJob(j *state.Job, fresh bool) {
	if !fresh && !c.jobs.Owns(j.Job.ID) {
		c.unread[j.Job.ID] = true
	}
	class, _ := c.control.Class(j.Job.Class)
	c.jobs.AddJob(j, class, c.table.Epoch(), fresh)
}

// noteEnds tells the orchestrator of settled tasks.
func (c *core) noteEnds(s *jobStream, r state.Result) {
	id := r.Change.JobID
	for _, e := range r.Change.Ends {
		if c.jobs.Owns(id) {
			c.e.events.Record(event.Event{Type: event.TaskSettled, Job: id, Task: structs.NewTaskID(id, e.Index), State: string(e.State)})
		}
	}
	c.jobs.TaskEndsCommitted(id, r.Change.Ends)
	c.noteOver(s, s.table.Get(id), r.Offset)
}

// firstOver reports whether the end of a job by the record at offset is seen for the
// first time: a record may hold several changes of one job.
func (s *jobStream) firstOver(id string, offset int64) bool {
	if s.overAt != offset {
		s.overAt = offset
		s.over = map[string]bool{}
	}
	first := !s.over[id]
	s.over[id] = true
	return first
}

// noteOver acts on a job that a change has ended.
func (c *core) noteOver(s *jobStream, j *state.Job, offset int64) {
	if j == nil || j.EndedOffset != offset || !s.firstOver(j.Job.ID, offset) {
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

// jobState is the state of an ended job as the log has it.
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

// assignJobs takes over the jobs that the present table gives to this entry, and
// drops those that it gives to another.
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
				delete(c.unread, id)
			case !j.Ended():
				c.gainJob(j, false)
			}
		}
	}
}

// jobRecord returns a job of any held stream, nil if there is none.
func (c *core) jobRecord(id string) (*jobStream, *state.Job) {
	s := c.streams[structs.JobGroup(id)]
	if s == nil {
		return nil, nil
	}
	return s, s.table.Get(id)
}

// settle notes the end of a task for the log.
func (c *core) settle(id string, r orchestrator.TaskRun, st structs.AllocState) {
	c.ends[id] = append(c.ends[id], state.TaskEnd{Index: r.Index, State: st})
}

// flushEnds appends the ends of tasks to the log, one change for each job.
func (c *core) flushEnds() {
	for id, ends := range c.ends {
		delete(c.ends, id)
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
			c.e.logger.Warn("ends of tasks wait for the log", "job", id, "tasks", len(ends), "error", err.Error())
			c.jobs.RevertTaskEnds(id, ends)
		}
	}
}

// endsID names a change by what it does.
func endsID(job string, ends []state.TaskEnd) string {
	return "end/" + string(structs.NewTaskID(job, ends[0].Index))
}

// parkJobs gives up the jobs whose tasks fail everywhere.
func (c *core) parkJobs() {
	for _, id := range c.jobs.JobsToFail() {
		reason := c.jobs.FailReason(id)
		s, _ := c.jobRecord(id)
		if reason == "" || s == nil {
			continue
		}
		c.jobs.EndJob(id, false, reason)
		change := state.Change{ID: "park/" + id, Type: state.JobFail, JobID: id, Reason: reason}
		if err := s.Submit(c.e.ctx, change); err != nil {
			c.e.logger.Warn("parking waits for the log", "job", id, "error", err.Error())
		}
	}
}

// dropFinished forgets jobs for which nothing is left to do.
func (c *core) dropFinished() {
	for _, id := range c.jobs.FinishedJobs() {
		if _, j := c.jobRecord(id); j == nil || j.Ended() {
			c.jobs.RemoveJob(id)
			delete(c.unread, id)
			delete(c.waitingGangs, id)
			delete(c.stopped, id)
		}
	}
}
