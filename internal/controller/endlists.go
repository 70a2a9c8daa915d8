package controller

import (
	"time"

	"dotterelhitch/internal/workload"
)

// A worker lists maxEndsListed ends in one response at most, those with the lowest numbers, and further ones once these are
// acknowledged. The first response of a boot to a controller therefore shows all runs in progress there, but not always all
// runs of earlier controllers that have ended. The takeover goes on until these ends are read, too: their tasks must not be
// started again.
//
// Runs that end after the first response do not put that off. Ends are numbered in their order, so the end of such a run
// shows that those from before the response have been listed.

// maxEndsListed is the largest number of ends that a worker lists in one response. A list of that length may be incomplete.
const maxEndsListed = 500

// endLists is what the responses of a boot say of its ends.
type endLists struct {
	// truncated says that the latest response may not list all ends. Nothing is started on the worker meanwhile, so
	// that a response lists them all after a limited time.
	truncated bool
	// firstAt is when the first response under this epoch arrived.
	firstAt time.Time
	// unread says that the boot may have ends from before that response which no response has listed.
	unread bool
	// readEnds counts the ends that were read while unread was set.
	readEnds int
}

// listsAllEnds reports whether a response certainly lists all ends that are not acknowledged.
func listsAllEnds(result *workload.PollResult) bool { return len(result.Ended) < maxEndsListed }

// begin notes the first response of a boot under this epoch.
func (l *endLists) begin(result *workload.PollResult, now time.Time) {
	*l = endLists{firstAt: now, unread: !listsAllEnds(result)}
}

// noteEnd notes that a response lists the end of a run, nil if that is not known.
func (l *endLists) noteEnd(r *run) {
	if !l.unread {
		return
	}
	l.readEnds++
	if r != nil && (r.listedByWorker || !r.startSent.Before(l.firstAt)) {
		// The run was in progress at the first response or has been started since.
		l.unread = false
	}
}

// noteResponse notes a response whose ends were all passed to noteEnd.
func (l *endLists) noteResponse(result *workload.PollResult) {
	l.truncated = !listsAllEnds(result)
	l.unread = l.unread && l.truncated
}

// noteEnds processes the ends in a response.
func (c *Controller) noteEnds(w *worker, result *workload.PollResult, now time.Time) {
	unread := w.endLists.unread
	for i := range result.Ended {
		c.handleListedEnd(w, &result.Ended[i], now)
	}
	w.endLists.noteResponse(result)
	if unread && !w.endLists.unread {
		c.recordEndsRead(w, now)
	}
}

// handleListedEnd processes an end that a worker lists.
func (c *Controller) handleListedEnd(w *worker, e *workload.EndedTask, now time.Time) {
	if e.Seq <= w.ackedSeq || w.processedEnds[e.Seq] {
		return
	}
	w.processedEnds[e.Seq] = true
	c.removeOrphan(w, e.Run)
	c.noteInheritedRun(w, e.Run)
	j := c.jobs[e.Run.Task.Job]
	r := w.runs[e.Run]
	w.endLists.noteEnd(r)
	t := c.findShownTask(e.Run.Task, now)
	if r != nil {
		t = r.task
		c.removeRun(r)
	}
	stored := true
	if j != nil && t != nil && !j.ended() {
		c.markStarted(j, now)
		stored = !c.handleRunEnd(t, r, e, now)
	}
	ack := endAck{worker: w, boot: w.boot, seq: e.Seq, heldFor: c.taskToHoldAckFor(t, e)}
	if j == nil || stored && !j.hasUnstoredProgress() {
		c.ackEnd(ack, now)
		return
	}
	j.pendingAcks = append(j.pendingAcks, ack)
	c.markProgressDirty(j)
}

// skipAckedEnds raises ackedSeq to just below the first end listed. The worker has dropped
// earlier ends at the request of an earlier controller.
func (w *worker) skipAckedEnds(result *workload.PollResult) {
	w.acks.lowestListedEnd = 0
	w.acks.listedEnds = len(result.Ended)
	if len(result.Ended) == 0 {
		return
	}
	lowest := result.Ended[0].Seq
	for i := range result.Ended {
		lowest = min(lowest, result.Ended[i].Seq)
	}
	w.acks.lowestListedEnd = lowest
	w.ackedSeq = max(w.ackedSeq, lowest-1)
}

// ackEnd marks an end as stored, so that the worker may drop it, or holds the acknowledgment back while a late start
// may follow the end.
func (c *Controller) ackEnd(ack endAck, now time.Time) {
	if ack.worker.boot != ack.boot || ack.seq <= ack.worker.ackedSeq {
		return
	}
	if ack.heldFor != nil && ack.heldFor.startMayArrive(now) {
		c.heldAcks = append(c.heldAcks, ack)
		return
	}
	ack.worker.storedEnds[ack.seq] = true
	for ack.worker.storedEnds[ack.worker.ackedSeq+1] {
		ack.worker.ackedSeq++
		delete(ack.worker.storedEnds, ack.worker.ackedSeq)
		delete(ack.worker.processedEnds, ack.worker.ackedSeq)
	}
}

// settled reports whether no run of an earlier controller can be on the worker, or have ended there, without being known.
func (w *worker) settled() bool { return w.accountedFor && !w.endLists.unread }
