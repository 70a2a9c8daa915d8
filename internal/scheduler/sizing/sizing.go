// Package sizing learns how much the tasks of a class actually use. From that, it
// determines what a new task is granted and which actions to take when a worker runs
// short. Declared sizes are often several times off; placing by learnt sizes packs
// workers more tightly without granting more than a worker has. The package does no
// I/O, starts no goroutine and receives usage reports as arguments.
//
// The tasks on a worker have to fit in total, and the sum of many varies relatively
// less than a single one. A grant is therefore the mean of the peaks plus a number of
// standard deviations divided by the square root of the number of such tasks that fill
// a worker: the normal form of effective bandwidth (Guerin, Ahmadi and Naghshineh,
// 1991). A task that fills a worker alone is granted nearly the maximum observed.
package sizing

import (
	"time"

	"dotterelhitch/internal/structs"
)

const (
	// processorStdDevs is the number of standard deviations of the sum over a worker's
	// tasks that is granted above the mean for processor, which can be throttled. 1
	// covers 84% of cases of a normal distribution.
	processorStdDevs = 1.0
	// memoryStdDevs is the same for memory, which can be reclaimed only by stopping a
	// task. 3.3 covers 99.95%.
	memoryStdDevs = 3.3
	// minSamples is the number of samples, from ended or long-running tasks, from which
	// on learnt sizes are granted.
	minSamples = 20
	// longTaskSampleInterval is the run time after which a long-running task
	// contributes another sample.
	longTaskSampleInterval = time.Hour
	// minProcessorMilli and minMemoryMiB are the minimum learnt grants.
	minProcessorMilli = 10
	minMemoryMiB      = 16
	// killedMemoryPercent is the percentage at which the memory use of a task killed
	// for memory counts, as long as few tasks of its population have ended.
	killedMemoryPercent = 150
	// maxPopulations bounds the number of populations that are stored.
	maxPopulations = 512
)

// Population identifies the tasks that are treated as one statistical population: those
// of a class that declare the same size.
type Population struct {
	Class        string
	DeclaredSize structs.Resources
}

// ObservedUsage is the observed use of the tasks of a population, in thousandths of a
// processor and in MiB.
type ObservedUsage struct {
	Population Population
	Processor  Moments
	Memory     Moments
}

// merge returns the combined observations.
func (u ObservedUsage) merge(o ObservedUsage) ObservedUsage {
	u.Processor = u.Processor.merge(o.Processor)
	u.Memory = u.Memory.merge(o.Memory)
	return u
}

// populationUsage contains the peaks of the tasks of a population.
type populationUsage struct {
	processor, memory sampleWindow
	// killedMemory contains what tasks killed for memory may need. It is used until
	// peakCount reaches minSamples. peakCount counts the recorded peaks of tasks that
	// ran to their end or long enough for a sample.
	killedMemory sampleWindow
	peakCount    int64
	// lastShared is the state when UsageToShare last returned the population.
	lastShared sharedState
	// sequence is the sequence number of the latest sample.
	sequence int64
}

// memberUsage is another member's observation of a population, with the sequence number
// at which it was received.
type memberUsage struct {
	usage    ObservedUsage
	sequence int64
}

// Sizer learns the sizes of populations.
type Sizer struct {
	populations  map[Population]*populationUsage
	runningTasks map[structs.TaskID]*taskPeak
	// memberUsage contains the observations of other members, by member ID.
	memberUsage map[string]map[Population]memberUsage
	// sequence counts recorded, shared and received observations; it orders entries by
	// age.
	sequence int64
}

// taskPeak is the peak use of a running task since windowStart.
type taskPeak struct {
	population  Population
	peak        structs.Resources
	windowStart time.Time
	// cpuLimited is set if the task may at some time have needed more processor than it
	// got. seenUnlimited is set if at some time it certainly got what it needed.
	cpuLimited, seenUnlimited bool
}

// NewSizer returns a sizer without observations.
func NewSizer() *Sizer {
	return &Sizer{
		populations:  make(map[Population]*populationUsage),
		runningTasks: make(map[structs.TaskID]*taskPeak),
		memberUsage:  make(map[string]map[Population]memberUsage),
	}
}

// RecordUsage records the reported use of a running task. cpuLimited states that the
// task was throttled or that its worker had no free processor, so that it may need
// more.
func (s *Sizer) RecordUsage(now time.Time, population Population, task structs.TaskID, used structs.Resources, cpuLimited bool) {
	t := s.runningTasks[task]
	if t == nil {
		t = &taskPeak{population: population, windowStart: now}
		s.runningTasks[task] = t
	}
	t.peak.CPUMilli = max(t.peak.CPUMilli, used.CPUMilli)
	t.peak.MemoryMiB = max(t.peak.MemoryMiB, used.MemoryMiB)
	t.cpuLimited = t.cpuLimited || cpuLimited
	t.seenUnlimited = t.seenUnlimited || !cpuLimited
	if now.Sub(t.windowStart) >= longTaskSampleInterval {
		s.recordPeak(t)
		*t = taskPeak{population: population, windowStart: now}
	}
}

// TaskEnded ends a task and, if complete is true, records its peak. complete must be
// false for a task that was interrupted, since its peak may not have been observed.
func (s *Sizer) TaskEnded(task structs.TaskID, complete bool) {
	t := s.runningTasks[task]
	if t == nil {
		return
	}
	delete(s.runningTasks, task)
	if complete {
		s.recordPeak(t)
	}
}

// recordPeak adds a task's peak to its population. A task without reported use, such as
// one that ended before the first delayed report, is ignored.
func (s *Sizer) recordPeak(t *taskPeak) {
	if t.peak.IsZero() {
		return
	}
	u := s.populationUsage(t.population)
	u.recordProcessor(t)
	u.peakCount++
	u.memory.record(t.peak.MemoryMiB)
}

// TaskKilledForMemory ends a task that was killed for memory and for which a use was
// reported. The record raises the memory grant of its population before any of its
// tasks has ended.
func (s *Sizer) TaskKilledForMemory(population Population, task structs.TaskID, used structs.Resources) {
	delete(s.runningTasks, task)
	s.populationUsage(population).killedMemory.record(used.MemoryMiB * killedMemoryPercent / 100)
}

// populationUsage returns the record of a population, to which the caller adds a
// sample, and creates it if needed.
func (s *Sizer) populationUsage(population Population) *populationUsage {
	u := s.populations[population]
	if u == nil {
		evictOldest(s.populations, func(u *populationUsage) int64 { return u.sequence })
		u = &populationUsage{}
		s.populations[population] = u
	}
	s.sequence++
	u.sequence = s.sequence
	return u
}

// recordProcessor adds a processor peak. The observed use of a task with limited
// processor depends on its grant; recorded unchanged, it would lower the next grants,
// which would limit later tasks even more. Such a peak therefore never counts below the
// mean. As long as there are few samples, the peak of a task whose processor was
// limited all the time is ignored.
func (u *populationUsage) recordProcessor(t *taskPeak) {
	known := u.processor.moments().Count >= minSamples
	switch {
	case t.cpuLimited && known:
		u.processor.record(max(t.peak.CPUMilli, int64(u.processor.moments().Mean)))
	case t.seenUnlimited:
		u.processor.record(t.peak.CPUMilli)
	}
}

// memoryMoments returns the moments of the memory peaks.
func (u *populationUsage) memoryMoments() Moments {
	if u.peakCount >= minSamples {
		return u.memory.moments()
	}
	return u.memory.moments().merge(u.killedMemory.moments())
}

// Grant returns the resources for the next task of a population: the learnt size if
// there are enough samples, else the declared size. Accelerators are granted as
// declared. A learnt grant does not exceed limit, the size of the largest worker.
func (s *Sizer) Grant(population Population, limit structs.Resources) structs.Resources {
	u := s.combinedUsage(population)
	granted := population.DeclaredSize
	if u.Processor.Count >= minSamples {
		granted.CPUMilli = u.Processor.grant(processorStdDevs, minProcessorMilli, limit.CPUMilli)
	}
	if u.Memory.Count >= minSamples {
		granted.MemoryMiB = u.Memory.grant(memoryStdDevs, minMemoryMiB, limit.MemoryMiB)
	}
	return granted
}

// HasLearntGrant reports whether the processor grant of a population is learnt.
func (s *Sizer) HasLearntGrant(population Population) bool {
	return s.combinedUsage(population).Processor.Count >= minSamples
}

// localUsage returns the observations made by this member.
func (s *Sizer) localUsage(population Population) ObservedUsage {
	u := s.populations[population]
	if u == nil {
		return ObservedUsage{Population: population}
	}
	return ObservedUsage{Population: population, Processor: u.processor.moments(), Memory: u.memoryMoments()}
}

// combinedUsage returns the observations made by this and other members.
func (s *Sizer) combinedUsage(population Population) ObservedUsage {
	u := s.localUsage(population)
	for _, list := range s.memberUsage {
		u = u.merge(list[population].usage)
	}
	return u
}

// ForgetClass deletes all observations of a class that no longer exists.
func (s *Sizer) ForgetClass(class string) {
	for population := range s.populations {
		if population.Class == class {
			delete(s.populations, population)
		}
	}
	for _, list := range s.memberUsage {
		for population := range list {
			if population.Class == class {
				delete(list, population)
			}
		}
	}
}
