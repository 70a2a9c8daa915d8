package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// elapsedTime counts the time for which the cell has had a controller. Each controller goes on from the
// highest reading in the store, so that the difference of two readings, of whatever controllers, is at
// most the time that has passed between them. Times of day of machines have no part in it.
type elapsedTime struct {
	start time.Time // when this controller loaded the store, zero before
	base  int64     // the reading at start, in milliseconds
}

// firstElapsedMs is the first reading. Zero stands for a record without a reading, which is one of an
// earlier program.
const firstElapsedMs = 1

// maxElapsedMs bounds the readings that are accepted from the store, so that no sum overflows.
const maxElapsedMs = int64(200 * 365 * 24 * time.Hour / time.Millisecond)

// startAt begins the time of this controller at a reading of an earlier one.
func (e *elapsedTime) startAt(now time.Time, reading int64) {
	e.start = now
	e.base = max(reading, firstElapsedMs)
}

// readingAt returns the reading at a time, in milliseconds.
func (e *elapsedTime) readingAt(at time.Time) int64 {
	if e.start.IsZero() {
		e.startAt(at, 0)
	}
	return max(e.base+at.Sub(e.start).Milliseconds(), firstElapsedMs)
}

// timeOf returns the time of a reading from the store by this controller's clock. Without a reading
// it is the time at which the store was loaded: nothing is known of what passed before.
func (e *elapsedTime) timeOf(reading int64) time.Time {
	if reading < firstElapsedMs || reading > e.base {
		return e.start
	}
	return e.start.Add(-time.Duration(e.base-reading) * time.Millisecond)
}

// elapsedRecordKey holds a reading of the elapsed time.
const elapsedRecordKey = "m/elapsed"

// elapsedRecordPeriod is the period at which a reading is stored while there are ended jobs. A term that
// lasts less may not count for their retention.
const elapsedRecordPeriod = 30 * time.Second

// highestElapsed returns the highest reading in the store, of which recorded is that of elapsedRecordKey.
func highestElapsed(recorded int64, specs map[string]*workload.Job, progress map[string]*workload.Progress) int64 {
	var highest int64
	add := func(reading int64) {
		if reading <= maxElapsedMs {
			highest = max(highest, reading)
		}
	}
	add(recorded)
	for _, spec := range specs {
		add(spec.AcceptedElapsedMs)
	}
	for _, p := range progress {
		add(p.EndedElapsedMs)
	}
	return highest
}

// refreshElapsedRecord has a reading of the elapsed time stored if it is due.
func (c *Controller) refreshElapsedRecord(now time.Time) {
	if len(c.ended) == 0 || now.Before(c.elapsedRecordDue) {
		return
	}
	c.elapsedRecordDue = now.Add(elapsedRecordPeriod)
	c.wakeups.add(c.elapsedRecordDue)
	c.dirty.elapsedMs = c.elapsed.readingAt(now)
}
