package entry

import (
	"time"

	"github.com/google/uuid"

	"dotterelhitch/internal/journal"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// appendDueSnapshots appends a snapshot of a table when the last one in its stream is
// too old. The first member of the table, or of the stream's group, appends it. The
// others do so after twice the interval, so that snapshots continue if the first member
// fails.
func (c *core) appendDueSnapshots(now time.Time) {
	interval := c.e.timing.Snapshot
	if !c.joined || !c.logReadRecently(now) {
		return
	}
	if now.Sub(c.lastSnapshotAt) > c.snapshotDueAge(interval, c.control.Members()) {
		c.lastSnapshotAt = now
		c.submitSnapshot(c.e.controlLog, state.ControlSnapshotPart, c.control.NextOffset(), c.control.Snapshot())
	}
	group, _ := c.table.GroupOfMember(c.self())
	for _, s := range c.streams {
		if s.caughtUp && now.Sub(s.lastSnapshotAt) > c.snapshotDueAge(interval, group.Members) {
			s.lastSnapshotAt = now
			c.submitSnapshot(s.committer, state.JobsSnapshotPart, s.table.NextOffset(), s.table.Snapshot())
		}
	}
}

// snapshotDueAge returns the age of the last snapshot at which this entry appends a new
// one, given the members that read the stream.
func (c *core) snapshotDueAge(interval time.Duration, readers []structs.Member) time.Duration {
	if len(readers) > 0 && readers[0].ID == c.self() {
		return interval
	}
	return 2 * interval
}

func (c *core) submitSnapshot(committer *journal.Committer, t state.ChangeType, next int64, snapshot any) {
	changes, err := state.SnapshotChanges(uuid.NewString(), t, next, snapshot)
	if err != nil {
		c.e.logger.Error("snapshot failed", "error", err.Error())
		return
	}
	for _, ch := range changes {
		if err := committer.Submit(c.e.ctx, ch); err != nil {
			c.e.logger.Warn("snapshot could not be queued for the log", "error", err.Error())
			return
		}
	}
}
