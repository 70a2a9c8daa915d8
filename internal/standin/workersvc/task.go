package workersvc

import (
	"strconv"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

const (
	// fullPercent is a task's processor time without a throttle.
	fullPercent = 100
	// failAfter is how long a task that fails runs.
	failAfter = 20 * time.Millisecond
)

// task is one run of a task. Its worker's lock guards it.
type task struct {
	start   worker.TaskStart
	payload payload
	state   structs.AllocState
	reason  string
	// seq is the worker's sequence number at the task's last change.
	seq int64
	// leaseEnd and started are readings of the monotonic clock.
	leaseEnd time.Time
	started  time.Time
	// workLeft is the run time left at full speed when progress was last
	// counted, at countedAt; it is not used if endless is set.
	workLeft  time.Duration
	workTotal time.Duration
	countedAt time.Time
	endless   bool
	fails     bool
	// percent is the processor share under a throttle.
	percent int
	// need is what a task of true use uses at most; share is the part of the
	// processor it wants that it gets.
	need  structs.Resources
	share float64
	// reportAt is when the usage shows; usage is what shows.
	reportAt   time.Time
	usage      structs.Resources
	checkpoint string
}

// newTask returns a task that begins to run at now.
func newTask(start worker.TaskStart, now time.Time) *task {
	t := &task{
		start:     start,
		payload:   parsePayload(start.Payload),
		state:     structs.AllocRunning,
		leaseEnd:  now.Add(millis(start.LeaseMs)),
		started:   now,
		countedAt: now,
		endless:   start.RunMs <= 0,
		percent:   fullPercent,
		share:     1,
	}
	if t.truly() {
		t.need = t.payload.use.draw(start.Task)
	}
	t.workTotal = time.Duration(float64(millis(start.RunMs)) * t.payload.runFactor)
	t.workLeft = max(0, t.workTotal-savedProgress(start.Checkpoint))
	return t
}

// fail makes the task fail soon.
func (t *task) fail() {
	t.fails = true
	t.endless = false
	t.workLeft = failAfter
}

func (t *task) running() bool { return t.state == structs.AllocRunning }

// speed is the rate at which work gets done, 1 at full speed.
func (t *task) speed(slow float64) float64 {
	if t.need.CPUMilli > 0 {
		return float64(t.wanted()) / float64(t.need.CPUMilli) * t.share / slow
	}
	return float64(t.percent) / fullPercent / slow
}

// count brings the progress up to now.
func (t *task) count(now time.Time, slow float64) {
	done := float64(now.Sub(t.countedAt)) * t.speed(slow)
	t.workLeft -= time.Duration(done)
	t.countedAt = now
}

// doneAt returns when the work will be done at the present speed; ok is false
// for a task that runs until it is stopped.
func (t *task) doneAt(slow float64) (at time.Time, ok bool) {
	if t.endless || t.speed(slow) == 0 {
		return time.Time{}, false
	}
	return t.countedAt.Add(time.Duration(float64(t.workLeft) / t.speed(slow))), true
}

// save returns the progress as a checkpoint, empty if the task can't save it.
func (t *task) save() string {
	if !t.payload.checkpoint {
		return ""
	}
	done := t.workTotal - max(0, t.workLeft)
	return strconv.FormatInt(done.Milliseconds(), 10)
}

// savedProgress reads a checkpoint, zero for one that is not ours.
func savedProgress(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return millis(ms)
}

// info returns what the inventory shows of the task.
func (t *task) info(now time.Time) worker.TaskInfo {
	info := worker.TaskInfo{
		TaskRef:    t.start.TaskRef,
		Class:      t.start.Class,
		Size:       t.start.Size,
		State:      t.state,
		Usage:      t.usage,
		Checkpoint: t.checkpoint,
		Reason:     t.reason,
	}
	if t.percent < fullPercent {
		info.CPUPercent = t.percent
	}
	if t.running() {
		info.LeaseLeftMs = t.leaseEnd.Sub(now).Milliseconds()
	}
	return info
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
