package policytest

import (
	"dotterelhitch/internal/scheduler"
	"dotterelhitch/internal/scheduler/sizing"
	"dotterelhitch/internal/structs"
)

// place starts waiting tasks where they fit.
func (m *packing) place() {
	for len(m.backlog) < packingBacklog {
		m.backlog = append(m.backlog, m.newTask())
	}
	tries := 0
	var rest []*packTask
	for i, t := range m.backlog {
		if tries == packingTries {
			rest = append(rest, m.backlog[i:]...)
			break
		}
		if !m.start(t) {
			tries++
			rest = append(rest, t)
		}
	}
	m.backlog = rest
}

// start places one task.
func (m *packing) start(t *packTask) bool {
	t.granted = t.class.declared
	if m.LearnSizes {
		t.granted = m.sizer.Grant(t.class.kind(), workerSize)
	}
	ask := scheduler.PlacementRequest{
		Job: string(t.id), Class: t.class.name, Kind: structs.KindBatch, Size: t.granted,
		Tasks: []scheduler.TaskRef{{Task: t.id}},
	}
	plan := scheduler.Place(m.set, ask)
	if len(plan.Placed) == 0 {
		return false
	}
	assign(m.set, plan, ask)
	t.worker = plan.Placed[0].Worker
	m.running[t.worker] = append(m.running[t.worker], t)
	return true
}

// report takes what tasks use now and acts on what was seen a while ago.
func (m *packing) report() {
	r := report{at: m.now, use: make(map[*packTask]structs.Resources)}
	for _, list := range m.running {
		rate := rateOf(list)
		for _, t := range list {
			use := t.use()
			use.CPUMilli = int64(float64(use.CPUMilli) * rate)
			r.use[t] = use
		}
	}
	m.reports = append(m.reports, r)
	for len(m.reports) > 0 && m.now.Sub(m.reports[0].at) >= reportLag {
		m.act(m.reports[0])
		m.reports = m.reports[1:]
	}
}

// rateOf returns the part of the processor they want that the tasks of a worker get.
func rateOf(tasks []*packTask) float64 {
	var wanted int64
	for _, t := range tasks {
		wanted += t.use().CPUMilli
	}
	return min(float64(workerSize.CPUMilli)/float64(max(wanted, 1)), 1)
}

// act learns from a report and guards each worker by it.
func (m *packing) act(r report) {
	for _, worker := range m.order {
		tasks := m.running[worker]
		seen := make([]sizing.TaskUsage, 0, len(tasks))
		for _, t := range tasks {
			use := r.use[t]
			seen = append(seen, sizing.TaskUsage{
				Task: t.id, Granted: t.granted, Used: use, Slack: t.work - t.done, Age: t.age,
				ThrottlePercent: throttle(t),
			})
		}
		saturated := sizing.ProcessorSaturated(workerSize, seen)
		for _, t := range tasks {
			m.sizer.RecordUsage(m.now, t.class.kind(), t.id, r.use[t], t.throttled || saturated)
		}
		if m.EnableGuard {
			m.set.SetExcessUse(worker, sizing.ExcessMemory(seen))
			m.obey(m.guard.Actions(m.now, worker, workerSize, seen), tasks)
		}
	}
}

// kind names the population that the tasks of a class are.
func (c *packClass) kind() sizing.Population {
	return sizing.Population{Class: c.name, DeclaredSize: c.declared}
}

// throttle returns the bound of a task in percent, zero for none.
func throttle(t *packTask) int {
	if t.throttled {
		return 100
	}
	return 0
}

// obey carries out the guard's actions.
func (m *packing) obey(actions []sizing.Action, tasks []*packTask) {
	byID := make(map[structs.TaskID]*packTask, len(tasks))
	for _, t := range tasks {
		byID[t.id] = t
	}
	for _, a := range actions {
		t := byID[a.Task]
		switch a.Kind {
		case sizing.Throttle:
			t.throttled = true
		case sizing.Unthrottle:
			t.throttled = false
		case sizing.CheckpointAndStop:
			m.checkpoint(t)
		}
	}
}
