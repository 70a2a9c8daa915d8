package measure

import (
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Packing is how full the workers were, by the granted sizes of running tasks,
// from the first task's start to the last one's end.
type Packing struct {
	// Workers is the number that were there at some time.
	Workers int     `json:"workers"`
	Seconds float64 `json:"seconds"`
	// CPU, Memory and Accelerators are shares of what all workers have, on
	// average over time.
	CPU          float64 `json:"cpu"`
	Memory       float64 `json:"memory"`
	Accelerators float64 `json:"accelerators"`
	// PeakCPU and PeakMemory are the highest shares.
	PeakCPU    float64 `json:"peak_cpu"`
	PeakMemory float64 `json:"peak_memory"`
}

// sample is what ran from a moment on.
type sample struct {
	micros int64
	used   structs.Resources
	size   structs.Resources
}

// packer follows what runs on every worker.
type packer struct {
	seen    map[string]bool
	workers map[string]structs.Resources
	tasks   map[string]map[structs.TaskID]structs.Resources
	now     sample
	samples []sample
}

func newPacker() *packer {
	return &packer{
		seen:    map[string]bool{},
		workers: map[string]structs.Resources{},
		tasks:   map[string]map[structs.TaskID]structs.Resources{},
	}
}

func (p *packer) observe(e event.Event) {
	switch e.Type {
	case event.WorkerBoot:
		p.remove(e.Worker)
		p.add(e)
	case event.WorkerExit:
		p.remove(e.Worker)
	case event.TaskRun:
		p.start(e)
	case event.TaskEnd:
		p.end(e.Worker, e.Task)
	default:
		return
	}
	p.now.micros = e.Time.Micros
	if len(p.samples) > 0 || e.Type == event.TaskRun {
		p.samples = append(p.samples, p.now)
	}
}

func (p *packer) add(e event.Event) {
	if e.Size == nil {
		return
	}
	p.seen[e.Worker] = true
	p.workers[e.Worker] = *e.Size
	p.tasks[e.Worker] = map[structs.TaskID]structs.Resources{}
	p.now.size = p.now.size.Add(*e.Size)
}

func (p *packer) remove(worker string) {
	for task := range p.tasks[worker] {
		p.end(worker, task)
	}
	p.now.size = p.now.size.Sub(p.workers[worker])
	delete(p.workers, worker)
	delete(p.tasks, worker)
}

func (p *packer) start(e event.Event) {
	tasks := p.tasks[e.Worker]
	if tasks == nil || e.Size == nil {
		return
	}
	p.end(e.Worker, e.Task)
	tasks[e.Task] = *e.Size
	p.now.used = p.now.used.Add(*e.Size)
}

func (p *packer) end(worker string, task structs.TaskID) {
	size := p.tasks[worker][task]
	delete(p.tasks[worker], task)
	p.now.used = p.now.used.Sub(size)
}

// report weighs each sample with the time until the next one.
func (p *packer) report() Packing {
	out := Packing{Workers: len(p.seen)}
	for i, s := range p.samples {
		cpu := share(s.used.CPUMilli, s.size.CPUMilli)
		memory := share(s.used.MemoryMiB, s.size.MemoryMiB)
		out.PeakCPU = max(out.PeakCPU, cpu)
		out.PeakMemory = max(out.PeakMemory, memory)
		if i+1 == len(p.samples) {
			break
		}
		seconds := float64(p.samples[i+1].micros-s.micros) / 1e6
		out.Seconds += seconds
		out.CPU += seconds * cpu
		out.Memory += seconds * memory
		out.Accelerators += seconds * share(s.used.Accelerators, s.size.Accelerators)
	}
	if out.Seconds > 0 {
		out.CPU /= out.Seconds
		out.Memory /= out.Seconds
		out.Accelerators /= out.Seconds
	}
	return out
}

func share(used, size int64) float64 {
	if size <= 0 {
		return 0
	}
	return float64(used) / float64(size)
}
