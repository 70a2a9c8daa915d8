// Package sizing learns what the tasks of a class really use and chooses what a new
// task is granted and what is done when a worker gets short. Declared sizes are often
// several times off; placing by learnt ones packs tighter without granting a worker
// more than it has. It does no I/O, starts no goroutine and gets reports as
// arguments.
//
// What has to fit is the sum of the tasks on a worker, and the sum of many varies less
// than each. So a grant is the mean of the peaks plus a number of standard deviations
// divided by the square root of the number of such tasks that fill a worker: the
// normal form of effective bandwidth (Guerin, Ahmadi and Naghshineh, 1991). A task that
// fills a worker alone is granted a high quantile of its own.
package sizing

import (
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// processorDeviations is how many standard deviations of the sum of a worker's
	// tasks are granted above the mean as processor, which can be throttled; one
	// covers 84 of 100 cases of a normal sum.
	processorDeviations = 1.0
	// memoryDeviations is the same for memory, which only a stop takes back; 3.3
	// cover 9,995 of 10,000.
	memoryDeviations = 3.3
	// minTasks is the number of ended or long-running tasks from which on grants
	// are learnt.
	minTasks = 20
	// sampleEvery is how long a long-running task runs for each further sample that
	// it gives.
	sampleEvery = time.Hour
	// minProcessorMilli and minMemoryMiB are the least grants.
	minProcessorMilli = 10
	minMemoryMiB      = 16
)

// Sizer learns the sizes of classes.
type Sizer struct {
	classes map[string]*usage
	tasks   map[structs.TaskID]*sample
}

// sample is the peak of a task that still runs.
type sample struct {
	class string
	peak  structs.Resources
	since time.Time
}

// NewSizer returns a sizer that has learnt nothing.
func NewSizer() *Sizer {
	return &Sizer{classes: make(map[string]*usage), tasks: make(map[structs.TaskID]*sample)}
}

// Report takes what a running task was last seen to use.
func (s *Sizer) Report(now time.Time, class string, task structs.TaskID, used structs.Resources) {
	t := s.tasks[task]
	if t == nil {
		t = &sample{class: class, since: now}
		s.tasks[task] = t
	}
	t.peak.CPUMilli = max(t.peak.CPUMilli, used.CPUMilli)
	t.peak.MemoryMiB = max(t.peak.MemoryMiB, used.MemoryMiB)
	if now.Sub(t.since) >= sampleEvery {
		s.learn(t)
		*t = sample{class: class, since: now}
	}
}

// Ended ends a task and learns its peak. Pass false for one that was cut short, of
// which the peak may not have been seen.
func (s *Sizer) Ended(task structs.TaskID, whole bool) {
	t := s.tasks[task]
	if t == nil {
		return
	}
	delete(s.tasks, task)
	if whole {
		s.learn(t)
	}
}

// learn adds a peak to its class. A task of which no use was reported, such as one
// that ended within the lag of the reports, teaches nothing.
func (s *Sizer) learn(t *sample) {
	if t.peak.IsZero() {
		return
	}
	u := s.classes[t.class]
	if u == nil {
		u = &usage{cpu: newWindow(), memory: newWindow()}
		s.classes[t.class] = u
	}
	u.cpu.record(t.peak.CPUMilli)
	u.memory.record(t.peak.MemoryMiB)
}

// Grant returns what the next task of a class is granted: the learnt size once
// enough tasks were seen, the declared size before. Accelerators are granted as
// declared. A learnt grant never exceeds limit, the size of the largest worker.
func (s *Sizer) Grant(class string, declared, limit structs.Resources) structs.Resources {
	u := s.classes[class]
	if u == nil || u.cpu.count() < minTasks {
		return declared
	}
	return structs.Resources{
		CPUMilli:     u.cpu.grant(processorDeviations, minProcessorMilli, limit.CPUMilli),
		MemoryMiB:    u.memory.grant(memoryDeviations, minMemoryMiB, limit.MemoryMiB),
		Accelerators: declared.Accelerators,
	}
}

// Learnt reports whether grants of a class are learnt.
func (s *Sizer) Learnt(class string) bool {
	u := s.classes[class]
	return u != nil && u.cpu.count() >= minTasks
}

// ForgetClass drops what was learnt of a class that no longer exists.
func (s *Sizer) ForgetClass(class string) { delete(s.classes, class) }
