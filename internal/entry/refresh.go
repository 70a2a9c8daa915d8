package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// refreshTimeout bounds a read of a jobs stream to its end.
const refreshTimeout = 2 * time.Second

// refreshJobs reads the jobs stream of a group to its present end, so that this
// entry knows every job that was accepted before the call, whichever member
// accepted it. It fails with CodeBehind if the stream is not held here, else with
// the error of the log.
func (e *Entry) refreshJobs(ctx context.Context, group string) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	var s *jobStream
	var next int64
	if !e.do(func() { s, next = e.core.readJobs(group) }) {
		return errEnding()
	}
	if s == nil {
		return structs.NewError(structs.CodeBehind, "the jobs of group %q are not read here", group)
	}
	return journal.ReadToTail(ctx, journal.LogSource{Log: e.log}, state.JobsStream(group), next, func(p journal.Page) int64 {
		e.do(func() { next = e.core.takeJobs(s, p) })
		return next
	})
}

// readersOf reports whether this entry has read a jobs stream to its end, and returns
// the other members that follow it.
func (e *Entry) readersOf(group string) (here bool, others []structs.Member) {
	e.do(func() {
		s, _ := e.core.readJobs(group)
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

// readJobs returns a jobs stream that was read to its end once, and the offset to
// read next; nil if there is none.
func (c *core) readJobs(group string) (*jobStream, int64) {
	s := c.streams[group]
	if s == nil || !s.caughtUp {
		return nil, 0
	}
	return s, s.table.NextOffset()
}
