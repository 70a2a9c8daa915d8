package entry

import (
	"time"

	"github.com/google/uuid"

	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// takeSnapshots appends the whole of a table when the last snapshot of its stream
// is old. The first member of the table, or of the stream's group, does so; the
// others follow after twice the time, so that its silence leaves no gap.
func (c *core) takeSnapshots(now time.Time) {
	every := c.e.timing.Snapshot
	if !c.joined || !c.readLately(now) {
		return
	}
	if now.Sub(c.snapshotAt) > c.snapshotAfter(every, c.control.Members()) {
		c.snapshotAt = now
		c.submitSnapshot(c.e.controlLog, state.ControlSnapshotPart, c.control.NextOffset(), c.control.Snapshot())
	}
	group, _ := c.table.GroupOfMember(c.self())
	for _, s := range c.streams {
		if s.caughtUp && now.Sub(s.snapshotAt) > c.snapshotAfter(every, group.Members) {
			s.snapshotAt = now
			c.submitSnapshot(s.committer, state.JobsSnapshotPart, s.table.NextOffset(), s.table.Snapshot())
		}
	}
}

// snapshotAfter is the age of the last snapshot at which this entry takes one: the
// first of the stream's readers takes it, the others stand in.
func (c *core) snapshotAfter(every time.Duration, readers []structs.Member) time.Duration {
	if len(readers) > 0 && readers[0].ID == c.self() {
		return every
	}
	return 2 * every
}

func (c *core) submitSnapshot(to *journal.Committer, t state.ChangeType, next int64, snapshot any) {
	changes, err := state.SnapshotChanges(uuid.NewString(), t, next, snapshot)
	if err != nil {
		c.e.logger.Error("snapshot failed", "error", err.Error())
		return
	}
	for _, ch := range changes {
		if err := to.Submit(c.e.ctx, ch); err != nil {
			c.e.logger.Warn("snapshot waits for the log", "error", err.Error())
			return
		}
	}
}
