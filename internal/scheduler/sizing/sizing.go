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
// fills a worker alone is granted nearly the most that was seen.
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
	// killedPercent is what the use of a task that was killed for memory counts as while
	// little else is known of its kind.
	killedPercent = 150
	// maxKinds bounds the kinds of which something is kept.
	maxKinds = 512
)

// Population names tasks that are taken as one population: those of a class that declare
// the same size.
type Population struct {
	Class        string
	DeclaredSize structs.Resources
}

// ObservedUsage is what the tasks of a kind were seen to use.
type ObservedUsage struct {
	Population Population
	Processor  Moments
	Memory     Moments
}

// merge returns what both tell together.
func (u ObservedUsage) merge(o ObservedUsage) ObservedUsage {
	u.Processor = u.Processor.merge(o.Processor)
	u.Memory = u.Memory.merge(o.Memory)
	return u
}

// usage is the peaks of the tasks of a kind.
type usage struct {
	cpu, memory window
	// killed is what tasks that were killed for memory may need; it counts until enough
	// were seen to their end. whole counts those.
	killed window
	whole  int64
	// sharedWhen is the number of samples and the turn at which Share last told of the
	// kind.
	sharedWhen shareMark
	// turn is when something was last learnt.
	turn int64
}

// told is what another member told of a kind, and when.
type told struct {
	use  ObservedUsage
	turn int64
}

// Sizer learns the sizes of kinds.
type Sizer struct {
	kinds map[Population]*usage
	tasks map[structs.TaskID]*sample
	// others is what other members have seen, by member.
	others map[string]map[Population]told
	// turn counts what was learnt and told.
	turn int64
}

// sample is the peak of a task that still runs.
type sample struct {
	kind  Population
	peak  structs.Resources
	since time.Time
	// heldBack is set if the task may have wanted more processor than it got, free if
	// at some time it certainly got what it wanted.
	heldBack, free bool
}

// NewSizer returns a sizer that has learnt nothing.
func NewSizer() *Sizer {
	return &Sizer{
		kinds:  make(map[Population]*usage),
		tasks:  make(map[structs.TaskID]*sample),
		others: make(map[string]map[Population]told),
	}
}

// RecordUsage takes what a running task was last seen to use. heldBack says that it was
// throttled or that its worker had no processor left, so that it may want more.
func (s *Sizer) RecordUsage(now time.Time, kind Population, task structs.TaskID, used structs.Resources, heldBack bool) {
	t := s.tasks[task]
	if t == nil {
		t = &sample{kind: kind, since: now}
		s.tasks[task] = t
	}
	t.peak.CPUMilli = max(t.peak.CPUMilli, used.CPUMilli)
	t.peak.MemoryMiB = max(t.peak.MemoryMiB, used.MemoryMiB)
	t.heldBack = t.heldBack || heldBack
	t.free = t.free || !heldBack
	if now.Sub(t.since) >= sampleEvery {
		s.learn(t)
		*t = sample{kind: kind, since: now}
	}
}

// TaskEnded ends a task and learns its peak. Pass false for one that was cut short, of
// which the peak may not have been seen.
func (s *Sizer) TaskEnded(task structs.TaskID, whole bool) {
	t := s.tasks[task]
	if t == nil {
		return
	}
	delete(s.tasks, task)
	if whole {
		s.learn(t)
	}
}

// learn adds a peak to its kind. A task of which no use was reported, such as one
// that ended within the lag of the reports, teaches nothing.
func (s *Sizer) learn(t *sample) {
	if t.peak.IsZero() {
		return
	}
	u := s.usageOf(t.kind)
	u.learnProcessor(t)
	u.whole++
	u.memory.record(t.peak.MemoryMiB)
}

// TaskKilledForMemory ends a task that was killed for memory, of which a use was seen. It tells that
// the kind needs more before any of its tasks has ended.
func (s *Sizer) TaskKilledForMemory(kind Population, task structs.TaskID, used structs.Resources) {
	delete(s.tasks, task)
	s.usageOf(kind).killed.record(used.MemoryMiB * killedPercent / 100)
}

// usageOf returns what is kept of a kind of which something is learnt now.
func (s *Sizer) usageOf(kind Population) *usage {
	u := s.kinds[kind]
	if u == nil {
		dropOldest(s.kinds, func(u *usage) int64 { return u.turn })
		u = &usage{}
		s.kinds[kind] = u
	}
	s.turn++
	u.turn = s.turn
	return u
}

// learnProcessor adds a peak of processor. What a held-back task was seen to use follows
// from what it was granted; taken as it is, it would lower the next grants, which hold
// back more. So it never counts below the mean. One that never got what it wanted tells
// nothing while little is known of its kind.
func (u *usage) learnProcessor(t *sample) {
	known := u.cpu.moments().Count >= minTasks
	switch {
	case t.heldBack && known:
		u.cpu.record(max(t.peak.CPUMilli, int64(u.cpu.moments().Mean)))
	case t.free:
		u.cpu.record(t.peak.CPUMilli)
	}
}

// memoryUse returns the moments of the peaks of memory.
func (u *usage) memoryUse() Moments {
	if u.whole >= minTasks {
		return u.memory.moments()
	}
	return u.memory.moments().merge(u.killed.moments())
}

// Grant returns what the next task of a kind is granted: the learnt size once
// enough tasks were seen, the declared size before. Accelerators are granted as
// declared. A learnt grant never exceeds limit, the size of the largest worker.
func (s *Sizer) Grant(kind Population, limit structs.Resources) structs.Resources {
	u := s.use(kind)
	granted := kind.DeclaredSize
	if u.Processor.Count >= minTasks {
		granted.CPUMilli = u.Processor.grant(processorDeviations, minProcessorMilli, limit.CPUMilli)
	}
	if u.Memory.Count >= minTasks {
		granted.MemoryMiB = u.Memory.grant(memoryDeviations, minMemoryMiB, limit.MemoryMiB)
	}
	return granted
}

// HasLearntGrant reports whether grants of a kind are learnt.
func (s *Sizer) HasLearntGrant(kind Population) bool { return s.use(kind).Processor.Count >= minTasks }

// own returns what was learnt here of a kind.
func (s *Sizer) own(kind Population) ObservedUsage {
	u := s.kinds[kind]
	if u == nil {
		return ObservedUsage{Population: kind}
	}
	return ObservedUsage{Population: kind, Processor: u.cpu.moments(), Memory: u.memoryUse()}
}

// use returns what is known of a kind, here and from other members.
func (s *Sizer) use(kind Population) ObservedUsage {
	u := s.own(kind)
	for _, list := range s.others {
		u = u.merge(list[kind].use)
	}
	return u
}

// ForgetClass drops what was learnt of a class that no longer exists.
func (s *Sizer) ForgetClass(class string) {
	for kind := range s.kinds {
		if kind.Class == class {
			delete(s.kinds, kind)
		}
	}
	for _, list := range s.others {
		for kind := range list {
			if kind.Class == class {
				delete(list, kind)
			}
		}
	}
}
