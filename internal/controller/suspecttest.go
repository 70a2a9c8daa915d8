package controller

import (
	"slices"
	"time"

	"dotterelhitch/internal/workload"
)

// A run is under test while its worker may crash under it: that of a suspect, and one that its worker had
// just got when it fell silent. Tests are stored, so that the next controller knows of a crash that this one
// does not see.

// beginSuspectTest notes that a run of a suspect is started on the worker.
func (c *Controller) beginSuspectTest(r *run) {
	if !r.task.suspect() {
		return
	}
	r.testsSuspect = true
	r.worker.suspectRuns++
	c.testRun(r)
}

// endSuspectTest notes that a run may not crash the worker any more.
func (c *Controller) endSuspectTest(r *run) {
	if r.testsSuspect {
		r.testsSuspect = false
		r.worker.suspectRuns--
	}
	if test := r.task.test; test != nil && test.Run == r.number {
		c.dropTest(r.task)
	}
}

// dropTest ends the test of a task, also in the store, so that it does not count against a later boot.
func (c *Controller) dropTest(t *task) {
	if t.test == nil || t.step.job().ended() {
		return
	}
	t.test = nil
	c.markProgressDirty(t.step.job())
}

// testRun has the store tell the next controller that the worker may crash under a run, and what is known of
// the run, unless its task is over.
func (c *Controller) testRun(r *run) {
	if r.task.done || r.task.step.job().ended() {
		return
	}
	test := workload.SuspectTest{Run: r.number, Worker: r.worker.info.ID, BootMs: r.worker.boot, Finding: workload.CrashPossible}
	if r.reached || r.acceptedByBoot || r.listedByWorker {
		test.Finding = workload.CrashLikely
	}
	if old := r.task.test; old == nil || *old != test {
		r.task.test = &test
		c.markProgressDirty(r.task.step.job())
	}
}

// testYoungRuns tests the runs of which a worker that has fallen silent has not outlived the start: this
// controller may be lost before it knows what has become of the worker.
func (c *Controller) testYoungRuns(w *worker) {
	for _, r := range w.crashedRuns() {
		if !r.outlived {
			c.testRun(r)
		}
	}
}

// inheritTest notes that under an earlier controller a worker may have crashed under the task.
func (c *Controller) inheritTest(t *task) {
	if t.test != nil {
		c.inheritedTests[t.test.Worker] = append(c.inheritedTests[t.test.Worker], t)
	}
}

// checkInheritedTests counts a crash for the tasks that an earlier controller tested on another boot of the
// worker. That controller had heard that boot before this one sent its first poll, so the boot that answers
// the poll is the later. It is called before the runs on the worker are adopted.
func (c *Controller) checkInheritedTests(w *worker, boot int64, now time.Time) {
	for _, t := range c.takeInheritedTests(w) {
		if t.test.BootMs != boot {
			c.blameInheritedTest(t, crashByNewBoot, now)
		} else {
			c.dropTest(t)
		}
	}
}

// blameInheritedTests counts a crash for the tasks that an earlier controller tested on a worker whose
// process has ended.
func (c *Controller) blameInheritedTests(w *worker, now time.Time) {
	for _, t := range c.takeInheritedTests(w) {
		c.blameInheritedTest(t, crashByOtherWorker, now)
	}
}

// takeInheritedTests returns the tasks that an earlier controller tested on a worker and that no worker
// has shown since.
func (c *Controller) takeInheritedTests(w *worker) []*task {
	tests := c.inheritedTests[w.info.ID]
	delete(c.inheritedTests, w.info.ID)
	return slices.DeleteFunc(tests, func(t *task) bool {
		return t.test == nil || len(t.runs) > 0 || t.done || t.step.job().ended()
	})
}

// blameInheritedTest counts a crash for a task that an earlier controller tested. It is not certain, since
// the lease may have ended before the process did.
func (c *Controller) blameInheritedTest(t *task, evidence string, now time.Time) {
	test := t.test
	t.test = nil
	crash := workload.TaskCrash{Run: test.Run, Worker: test.Worker, Finding: test.Finding, AtStart: true}
	c.countCrash(t, crash, evidence)
	c.giveUpAfterCrashes(t, now)
}

// dropInheritedTests ends the tests of earlier controllers whose workers have not shown a crash.
func (c *Controller) dropInheritedTests() {
	for _, tests := range c.inheritedTests {
		for _, t := range tests {
			tested := func(r *run) bool { return t.test != nil && r.number == t.test.Run }
			if !slices.ContainsFunc(t.runs, tested) {
				c.dropTest(t)
			}
		}
	}
	clear(c.inheritedTests)
}
