package policytest

import (
	"time"

	"dotterelhitch/internal/structs"
)

// tick advances the tasks of every worker by one second, then places waiting tasks.
func (m *packing) tick() {
	for _, worker := range m.order {
		m.tickWorker(worker)
	}
	if m.measures() {
		m.ticks++
	}
	m.place()
}

// measures reports whether the warm-up is over.
func (m *packing) measures() bool { return m.elapsed() > packingWarmup }

// tickWorker lets the tasks of a worker run for a second. If they want more
// processor than there is, all get slower; if memory runs out, the largest is killed.
func (m *packing) tickWorker(worker string) {
	var used structs.Resources
	var largest *packTask
	for _, t := range m.running[worker] {
		t.age += packingTick
		use := t.use()
		used = used.Add(use)
		if largest == nil || use.MemoryMiB > largest.use().MemoryMiB {
			largest = t
		}
	}
	if used.MemoryMiB > workerSize.MemoryMiB {
		m.kill(largest)
		used = used.Sub(largest.use())
	}
	rate := 1.0
	if used.CPUMilli > workerSize.CPUMilli {
		rate = float64(workerSize.CPUMilli) / float64(used.CPUMilli)
	}
	if m.measures() {
		m.cpu += min(float64(used.CPUMilli)/float64(workerSize.CPUMilli), 1)
		m.memory += float64(used.MemoryMiB) / float64(workerSize.MemoryMiB)
	}
	for _, t := range append([]*packTask(nil), m.running[worker]...) {
		m.progress(t, rate)
	}
}

// progress lets a task run for a second at a rate.
func (m *packing) progress(t *packTask, rate float64) {
	if t.peak.CPUMilli > 0 {
		rate *= float64(t.use().CPUMilli) / float64(t.peak.CPUMilli)
	}
	t.done += time.Duration(rate * float64(packingTick))
	if t.done < t.work {
		return
	}
	m.end(t)
	m.sizer.TaskEnded(t.id, true)
	if m.measures() {
		m.ended++
		m.worked += float64(t.peak.CPUMilli) * t.work.Seconds()
	}
}

// kill ends a task whose worker has no memory left; it starts from the beginning.
func (m *packing) kill(t *packTask) {
	m.end(t)
	m.sizer.TaskEnded(t.id, false)
	t.done = 0
	m.backlog = append(m.backlog, t)
	if m.measures() {
		m.killed++
	}
}

// checkpoint stops a task; it goes on later from where it was.
func (m *packing) checkpoint(t *packTask) {
	m.end(t)
	m.sizer.TaskEnded(t.id, false)
	m.backlog = append(m.backlog, t)
	if m.measures() {
		m.stopped++
	}
}

// end takes a task off its worker.
func (m *packing) end(t *packTask) {
	list := m.running[t.worker]
	for i := range list {
		if list[i] == t {
			m.running[t.worker] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	m.set.Release(t.id, 0)
	t.worker = ""
	t.age = 0
	t.throttled = false
}
