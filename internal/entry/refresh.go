package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// readToTailTimeout bounds a read of a jobs stream to its end.
const readToTailTimeout = 2 * time.Second

// readJobsToTail reads the jobs stream of a group to its present end, so that this
// entry knows every job that was accepted before the call, whichever member
// accepted it. It fails with CodeBehind if the stream is not held here, else with
// the error of the log.
func (e *Entry) readJobsToTail(ctx context.Context, group string) error {
	ctx, cancel := context.WithTimeout(ctx, readToTailTimeout)
	defer cancel()
	var s *jobStream
	var next int64
	if !e.runOnControl(func() { s, next = e.core.caughtUpStream(group) }) {
		return errShuttingDown()
	}
	if s == nil {
		return structs.NewError(structs.CodeBehind, "the jobs of group %q are not read here", group)
	}
	return journal.ReadToTail(ctx, journal.LogSource{Log: e.log}, state.JobsStream(group), next, func(p journal.Page) int64 {
		e.runOnControl(func() { next = e.core.applyJobsPage(s, p) })
		return next
	})
}

// streamReaders reports whether this entry has read a jobs stream to its end, and returns
// the other members that follow it.
func (e *Entry) streamReaders(group string) (here bool, others []structs.Member) {
	e.runOnControl(func() {
		s, _ := e.core.caughtUpStream(group)
		here = s != nil
		g, _ := e.core.table.GroupOfJobs(group)
		for _, m := range g.Members {
			if m.ID != e.member.ID {
				others = append(others, m)
			}
		}
	})
	return here, others
}

// caughtUpStream returns a jobs stream that was read to its end once, and the offset to
// read next; nil if there is none.
func (c *core) caughtUpStream(group string) (*jobStream, int64) {
	s := c.streams[group]
	if s == nil || !s.caughtUp {
		return nil, 0
	}
	return s, s.table.NextOffset()
}
