package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// readToTailTimeout limits a read of a jobs stream to its end.
const readToTailTimeout = 2 * time.Second

// readJobsToTail reads the jobs stream of a group to its present end, so that this entry
// knows every job that any member accepted before the call. It fails with CodeBehind if
// this entry does not follow the stream, otherwise with the error of the log.
func (e *Entry) readJobsToTail(ctx context.Context, group string) error {
	ctx, cancel := context.WithTimeout(ctx, readToTailTimeout)
	defer cancel()
	var s *jobStream
	var next int64
	if !e.runOnControl(func() { s, next = e.core.caughtUpStream(group) }) {
		return errShuttingDown()
	}
	if s == nil {
		return structs.NewError(structs.CodeBehind, "this entry does not read the jobs stream of group %q", group)
	}
	return journal.ReadToTail(ctx, journal.LogSource{Log: e.log}, state.JobsStream(group), next, func(p journal.Page) int64 {
		e.runOnControl(func() { next = e.core.applyJobsPage(s, p) })
		return next
	})
}

// streamReaders reports whether this entry has read the jobs stream of a group to its
// end, and returns the other members that follow the stream.
func (e *Entry) streamReaders(group string) (readsStream bool, others []structs.Member) {
	e.runOnControl(func() {
		s, _ := e.core.caughtUpStream(group)
		readsStream = s != nil
		g, _ := e.core.table.GroupOfJobs(group)
		for _, m := range g.Members {
			if m.ID != e.member.ID {
				others = append(others, m)
			}
		}
	})
	return readsStream, others
}

// caughtUpStream returns the jobs stream of a group and the next offset to read, or nil
// if this entry has not read the stream to its end at least once.
func (c *core) caughtUpStream(group string) (*jobStream, int64) {
	s := c.streams[group]
	if s == nil || !s.caughtUp {
		return nil, 0
	}
	return s, s.table.NextOffset()
}
