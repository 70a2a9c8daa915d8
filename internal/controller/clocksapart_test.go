package controller

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/workload"
)

// clockDifferences are how far the clock of a controller is ahead of that of the controllers before it.
var clockDifferences = []time.Duration{
	0, 2 * time.Second, -2 * time.Second, 100 * time.Second, 150 * time.Second, -150 * time.Second, time.Hour, -time.Hour,
}

// checkKnown checks that the job j1 is known as completed, by the controller and in the store.
func (sim *simulation) checkKnown(when string) {
	sim.t.Helper()
	if state, known := sim.ctl.JobState("j1"); !known || state != workload.JobCompleted {
		sim.t.Errorf("%s: a job that has ended is %q (known: %v)", when, state, known)
	}
	if _, stored := sim.store[progressPrefix+"j1"]; !stored {
		sim.t.Errorf("%s: its record is dropped", when)
	}
}

// TestSuccessorsClockForgetsNoJob guards against jobs that are not known any more after a change of the
// controller, and run again if they are submitted again, because the times of day of the two machines differ by
// more than the time for which the state of an ended job is kept (LOST, TWICE).
func TestSuccessorsClockForgetsNoJob(t *testing.T) {
	for _, ahead := range clockDifferences {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			sim := newOneTaskSimulation(t, 2, time.Second)
			sim.advance(5 * time.Second)
			sim.checkKnown("before the change")
			sim.clockAhead = ahead
			sim.startController(true)
			sim.advance(time.Second)
			sim.checkKnown("after the change")
		})
	}
}

// TestEndedJobIsKeptForItsRetention guards against a state that is dropped before its time, or never, in
// a series of controllers whose clocks are apart.
func TestEndedJobIsKeptForItsRetention(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			sim := newOneTaskSimulation(t, 2, time.Second)
			sim.advance(5 * time.Second)
			sim.checkKnown("before the changes")
			end := sim.now.Add(sim.timing.StatusRetention - 5*time.Second)
			for sim.now.Before(end) {
				sim.clockAhead = clockDifferences[rng.IntN(len(clockDifferences))]
				sim.startController(true)
				sim.advance(time.Duration(1+rng.IntN(40_000)) * time.Millisecond)
				if sim.now.Before(end) {
					sim.checkKnown(sim.now.String())
				}
			}
			// Terms of less than elapsedRecordPeriod may not count.
			for range 8 {
				sim.clockAhead = clockDifferences[rng.IntN(len(clockDifferences))]
				sim.startController(true)
				sim.advance(elapsedRecordPeriod + 2*time.Second)
			}
			if _, known := sim.ctl.JobState("j1"); known {
				t.Error("the job is still known long after its retention")
			}
			if n := len(sim.store); sim.store[progressPrefix+"j1"] != nil {
				t.Errorf("its record is still stored, among %d", n)
			}
		})
	}
}

// TestWaitingJobStartsUnderASuccessorWhoseClockIsBehind guards against a job that is accepted and not
// started for as long as the clock of the next controller is behind (LOST).
func TestWaitingJobStartsUnderASuccessorWhoseClockIsBehind(t *testing.T) {
	for _, ahead := range clockDifferences {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.timing.LateStartTime = 0 // TestSuccessorWaitsForAnUnansweredStart has the wait for late starts
			sim.addWorkers(1, 4000)
			sim.startController(true)
			sim.advance(100 * time.Millisecond)
			sim.workers["i-aa"].partitioned = true
			sim.submit(simpleJob("j1", "batch", 1, 1000, nil))
			sim.advance(300 * time.Millisecond)
			sim.clockAhead = ahead
			sim.startController(true)
			sim.workers["i-aa"].partitioned = false
			sim.advance(5 * time.Second)
			if state := sim.state("j1"); state != workload.JobCompleted {
				t.Errorf("the job is %q 5 s after the change", state)
			}
		})
	}
}

// TestRecordsOfEarlierProgramsAreKept guards against jobs that a rolling change of programs forgets: the records
// of earlier programs hold times of day alone.
func TestRecordsOfEarlierProgramsAreKept(t *testing.T) {
	for _, ahead := range clockDifferences {
		t.Run(fmt.Sprint(ahead), func(t *testing.T) {
			sim := newOneTaskSimulation(t, 2, time.Second)
			sim.advance(5 * time.Second)
			sim.storeAsEarlierProgram()
			sim.clockAhead = ahead
			sim.startController(true)
			sim.advance(sim.timing.StatusRetention - 10*time.Second)
			sim.checkKnown("within the retention")
			sim.advance(30 * time.Second)
			if _, known := sim.ctl.JobState("j1"); known {
				t.Error("the job is still known after its retention")
			}
		})
	}
}

// storeAsEarlierProgram turns the records in the store into those of a program that knows no elapsed time.
func (sim *simulation) storeAsEarlierProgram() {
	delete(sim.store, elapsedRecordKey)
	for key, value := range sim.store {
		if !strings.HasPrefix(key, jobPrefix) && !strings.HasPrefix(key, progressPrefix) {
			continue
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(value, &fields); err != nil {
			sim.t.Fatal(err)
		}
		delete(fields, "accepted_elapsed_ms")
		delete(fields, "ended_elapsed_ms")
		sim.store[key] = mustJSON(fields)
	}
}

// TestOddElapsedRecordsForgetNoJob guards against records that can't be a reading of the elapsed time.
func TestOddElapsedRecordsForgetNoJob(t *testing.T) {
	for _, value := range []string{"null", "{}", "-1", "0", "1e300", "9223372036854775807", `"x"`, ""} {
		t.Run(value, func(t *testing.T) {
			sim := newOneTaskSimulation(t, 2, time.Second)
			sim.advance(5 * time.Second)
			sim.store[elapsedRecordKey] = []byte(value)
			sim.startController(true)
			sim.advance(time.Second)
			sim.checkKnown("after the change")
		})
	}
}

// clockSeeds is the number of seeds that TestClocksApart runs.
var clockSeeds = flag.Uint64("clock-seeds", 40, "number of seeds of controllers with clocks apart")

// TestClocksApart guards against jobs that are lost, or started again, by controllers whose clocks are apart
// by up to an hour, among faults of workers, store and controllers.
func TestClocksApart(t *testing.T) {
	for seed := range *clockSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			rng := rand.New(rand.NewPCG(seed, 4))
			sim.addWorkers(8, 8000)
			sim.lostAnswerShare = 0.03 * rng.Float64()
			sim.startController(true)
			sim.advance(200 * time.Millisecond)
			for i := range 30 {
				sim.clockAhead = clockDifferences[rng.IntN(len(clockDifferences))]
				sim.advance(time.Duration(rng.IntN(700)) * time.Millisecond)
				sim.injectFault(rng)
				if rng.IntN(4) == 0 {
					sim.replaceController(rng, time.Second)
				}
				if sim.ctl != nil {
					sim.submit(randomJob(fmt.Sprintf("j%d", i), rng))
				}
			}
			sim.endFaults()
			sim.advance(60 * time.Second)
			sim.checkAllJobsEnded()
			sim.checkAcceptedAreKnown()
		})
	}
}

// checkAcceptedAreKnown checks that the controller knows all accepted jobs. None is as old as the retention.
func (sim *simulation) checkAcceptedAreKnown() {
	sim.t.Helper()
	for id := range sim.accepted {
		if _, known := sim.ctl.JobState(id); !known {
			sim.t.Errorf("job %s was accepted and is not known", id)
		}
	}
}

// newTimetableSimulation returns a simulation of a recurring job, and its controller, whose clock is right. An
// occurrence is due each 2 s, from 1 s after the start on, and its task runs for 3 s.
func newTimetableSimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed)
	sim.addWorkers(4, 8000)
	sim.drawResult = func(workload.TaskID, *fakeWorker) (time.Duration, workload.EndReason) {
		return 3 * time.Second, workload.EndDone
	}
	sim.startController(true)
	sim.advance(100 * time.Millisecond)
	job := simpleJob("j1", "batch", 1, 3000, nil)
	job.Recurrence = workload.Recurrence{Count: 8, StartMs: sim.now.Add(time.Second).UnixMilli(), IntervalMs: 2000}
	sim.submit(job)
	return sim
}

// TestOccurrenceOpenedByAnEarlierControllerGoesOn guards against runs of a recurring job that are stopped, or
// run again, because they are not due yet by the clock of the next controller (TWICE).
func TestOccurrenceOpenedByAnEarlierControllerGoesOn(t *testing.T) {
	for _, behind := range []time.Duration{0, 3 * time.Second, 7 * time.Second, 100 * time.Second, time.Hour} {
		for _, ended := range []bool{false, true} {
			t.Run(fmt.Sprint(behind, " ended ", ended), func(t *testing.T) {
				sim := newTimetableSimulation(t, 1)
				sim.advance(5500 * time.Millisecond) // the first three have started
				runs := sim.runCount()
				stops := sim.stopsSent
				sim.ctl = nil
				if ended {
					sim.advance(4 * time.Second) // the runs end, and no controller learns of it
				}
				sim.clockAhead = -behind
				sim.startController(true)
				sim.advance(1500 * time.Millisecond)
				if sim.stopsSent != stops {
					t.Errorf("%d of %d runs were stopped", sim.stopsSent-stops, runs)
				}
				if behind > 10*time.Second {
					sim.clockAhead = 0
					sim.startController(true)
				}
				sim.advance(30 * time.Second)
				if state := sim.state("j1"); state != workload.JobCompleted {
					t.Errorf("the job is %q", state)
				}
			})
		}
	}
}

// TestScheduledTimesByTheTimeOfDay guards against occurrences that start early, or late, because the clock of the
// controller is off (ORDER).
func TestScheduledTimesByTheTimeOfDay(t *testing.T) {
	for _, ahead := range clockDifferences {
		for _, known := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(ahead, " known after ", known), func(t *testing.T) {
				sim := newTimetableSimulation(t, 1)
				sim.timeKnownAfter = known
				sim.advance(time.Duration(5700) * time.Millisecond)
				sim.clockAhead = ahead
				sim.startController(true)
				sim.advance(20 * time.Second)
				if state := sim.state("j1"); state != workload.JobCompleted {
					t.Errorf("the job is %q", state)
				}
				limit := known + 200*time.Millisecond
				for class, late := range sim.maxStartDelay {
					if late > limit {
						t.Errorf("%s: an occurrence started %v late, want at most %v", class, late, limit)
					}
				}
			})
		}
	}
}

// TestTimetablesWithClocksApart guards against occurrences that start early, twice or never under a series of
// controllers whose clocks are apart, and which learn the time of day, among faults.
func TestTimetablesWithClocksApart(t *testing.T) {
	for seed := range *clockSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			rng := rand.New(rand.NewPCG(seed, 5))
			sim.addWorkers(6, 8000)
			sim.allowedShare = 1
			sim.lostAnswerShare = 0.02 * rng.Float64()
			sim.timeKnownAfter = time.Duration(rng.IntN(1500)) * time.Millisecond
			sim.startController(true)
			sim.advance(200 * time.Millisecond)
			for i := range 4 {
				job := randomJob(fmt.Sprintf("j%d", i), rng)
				start := sim.now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
				job.Recurrence = workload.Recurrence{Count: 1 + rng.IntN(12), StartMs: start.UnixMilli(), IntervalMs: int64(200 + rng.IntN(3000))}
				sim.submit(job)
			}
			for range 20 {
				sim.clockAhead = clockDifferences[rng.IntN(len(clockDifferences))]
				sim.advance(time.Duration(rng.IntN(1000)) * time.Millisecond)
				sim.injectFault(rng)
				if rng.IntN(4) == 0 {
					sim.replaceController(rng, time.Second)
				}
			}
			sim.endFaults()
			sim.advance(90 * time.Second)
			sim.checkAllJobsEnded()
			sim.checkAcceptedAreKnown()
		})
	}
}
