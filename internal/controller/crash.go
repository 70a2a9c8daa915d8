package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/workload"
)

// Crash handling: a task may crash each worker that starts it. When a worker crashes, each run that
// it had begun shortly before makes its task a suspect. Suspects are started again one to a worker,
// and nothing else is started on that worker until it has outlived the start. So the next crash
// shows which one is to blame, and the others lose little time.

const (
	// crashWindow is how long after the start of a run its worker has to live so that the run is
	// not suspected of a later crash.
	crashWindow = 500 * time.Millisecond
	// crashesToGiveUp is the number of workers that have to crash shortly after the start of a task
	// for the task to be given up, if no other run had begun shortly before the last crash.
	crashesToGiveUp = 2
	// Workers that fall silent within sharedCrashWindow of each other crashed together if there are
	// sharedCrashWorkers others.
	sharedCrashWindow  = 50 * time.Millisecond
	sharedCrashWorkers = 2
	// maxCrashes is the number of workers after whose crashes a task is given up whoever is to blame.
	maxCrashes = 3
	// maxSuspicion is the sum of weights of crashes in a row shortly after the start of a task at which
	// the task is given up whoever is to blame.
	maxSuspicion = 6
	// Weights of crashes for maxSuspicion.
	likelyCrashWeight   = 2
	possibleCrashWeight = 1
)

// suspect reports whether a worker crashed shortly after the last start of the task.
func (t *task) suspect() bool { return t.crashesAtStart() > 0 }

// crashesAtStart returns the number of crashes shortly after the start of the task since a worker last
// outlived one.
func (t *task) crashesAtStart() int {
	n := 0
	for _, crash := range t.crashes {
		if crash.AtStart {
			n++
		}
	}
	return n
}

// suspicion returns the weight of the crashes that crashesAtStart counts.
func (t *task) suspicion() int {
	sum := 0
	for _, crash := range t.crashes {
		switch {
		case !crash.AtStart:
		case crash.Finding == workload.CrashPossible:
			sum += possibleCrashWeight
		default:
			sum += likelyCrashWeight
		}
	}
	return sum
}

// certainCrashes returns the number of workers that crashed while they certainly had a run of the task.
func (t *task) certainCrashes() int {
	n := 0
	for _, crash := range t.crashes {
		if crash.Finding == workload.CrashCertain {
			n++
		}
	}
	return n
}

// blame counts a crash for the tasks that were on the worker, and gives up those that are to blame.
// It is called after the worker's runs have been removed.
func (c *Controller) blame(w *worker, crash workerCrash, now time.Time) {
	if len(crash.lost) == 0 {
		return
	}
	var suspects []*task
	for _, r := range crash.lost {
		if c.countLostRun(r, crash.evidence) && r.number > r.task.outlivedRun {
			suspects = append(suspects, r.task)
		}
	}
	c.record(event.Event{
		Type: event.WorkerCrashed, Worker: w.info.ID, Epoch: c.epoch,
		Count: len(crash.lost), Candidates: len(suspects), Detail: crash.evidence,
	})
	if len(suspects) == 1 && suspects[0].crashedBefore() && !c.crashedWithOthers(w) {
		c.giveUpTask(suspects[0], now)
	}
	for _, r := range crash.lost {
		c.giveUpAfterCrashes(r.task, now)
	}
}

// crashedBefore reports whether the latest crash under the task is one of several in a row, and enough of
// them are certain for the task to be given up if it is the only suspect.
func (t *task) crashedBefore() bool {
	return t.crashesAtStart() > 1 && t.certainCrashes() >= crashesToGiveUp
}

// countLostRun counts a crash for the task of a run, unless it is over or the crash says nothing of it: a
// worker has outlived this start or a later one, and this one may not have had the run any more.
func (c *Controller) countLostRun(r lostRun, evidence string) bool {
	t := r.task
	outlived := r.number <= t.outlivedRun
	if t.done || t.step.job().ended() || outlived && r.finding != workload.CrashCertain {
		return false
	}
	crash := workload.TaskCrash{Run: r.number, Worker: r.worker.info.ID, Finding: r.finding, AtStart: !outlived}
	c.countCrash(t, crash, evidence)
	return true
}

// countCrash counts a crash for a task. A suspect is not started again before that is stored: the next
// controller has to know of it. A run counts for one crash at most, whatever boots of its worker end while
// its start may still arrive there.
func (c *Controller) countCrash(t *task, crash workload.TaskCrash, evidence string) {
	sameRun := func(other workload.TaskCrash) bool { return other.Run == crash.Run && other.Worker == crash.Worker }
	if i := slices.IndexFunc(t.crashes, sameRun); i >= 0 {
		crash.Finding = max(crash.Finding, t.crashes[i].Finding)
		t.crashes[i] = crash
	} else {
		t.crashes = append(t.crashes, crash)
	}
	j := t.step.job()
	c.markProgressDirty(j)
	if crash.AtStart {
		t.suspicionVersion = j.progressVersion
	}
	c.recordTaskCrash(t, crash, evidence)
}

// suspicionStored reports whether the store holds the suspicion of the task.
func (t *task) suspicionStored() bool {
	return t.suspicionVersion <= t.step.job().storedProgressVersion
}

// crashedWithOthers reports whether several workers fell silent at the same moment. Then a fault that
// they share is a likelier cause than a task.
func (c *Controller) crashedWithOthers(w *worker) bool {
	others := 0
	for _, other := range c.workers {
		if other != w && other.silentSince.After(w.silentAfter.Add(-sharedCrashWindow)) && other.silentAfter.Before(w.silentSince.Add(sharedCrashWindow)) {
			others++
		}
	}
	return others >= sharedCrashWorkers
}

// giveUpAfterCrashes gives up a task under which so many workers have crashed that it does not matter
// which task was to blame.
func (c *Controller) giveUpAfterCrashes(t *task, now time.Time) {
	if t.certainCrashes() >= maxCrashes || t.suspicion() >= maxSuspicion {
		c.giveUpTask(t, now)
	}
}

// giveUpTask fails the job of a task that crashes its workers.
func (c *Controller) giveUpTask(t *task, now time.Time) {
	if t.done {
		return
	}
	reason := fmt.Sprintf("workers crashed under task %s: %s", t.id(), describeCrashes(t.crashes))
	c.endJob(t.step.job(), workload.JobFailed, reason, now)
}

// describeCrashes lists crashes for the reason of a job's end.
func describeCrashes(crashes []workload.TaskCrash) string {
	parts := make([]string, len(crashes))
	for i, crash := range crashes {
		parts[i] = fmt.Sprintf("run %d on %s (%s)", crash.Run, crash.Worker, crash.Finding)
	}
	return strings.Join(parts, ", ")
}

// noteOutlived clears the tasks of which a worker has outlived the start. It is called with the
// response of the worker to a poll.
func (c *Controller) noteOutlived(w *worker, now time.Time) {
	for _, r := range w.runs {
		if r.outlived || !r.listedByWorker || now.Sub(r.confirmedAt) < crashWindow {
			continue
		}
		c.endSuspectTest(r)
		r.outlived = true
		r.task.outlivedRun = max(r.task.outlivedRun, r.number)
		c.clearSuspicion(r.task)
	}
}

// clearSuspicion ends the suspicion of a task, of which a worker has outlived a start. The crashes that it may
// not have been part of count no more, for a long-running task none, since in a long life many workers
// crash under it.
func (c *Controller) clearSuspicion(t *task) {
	if len(t.crashes) == 0 {
		return
	}
	suspect := t.suspect()
	counted := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(crash workload.TaskCrash) bool {
		return crash.Finding != workload.CrashCertain || t.step.def.LongRunning
	})
	for i := range t.crashes {
		t.crashes[i].AtStart = false
	}
	if suspect || len(t.crashes) < counted {
		c.markProgressDirty(t.step.job())
	}
}
