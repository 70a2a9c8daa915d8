package controller

import (
	"encoding/json"
	"strings"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// What a new controller takes over from the store.

// Load takes all records of the store under a new epoch, before any order.
func (c *Controller) Load(records []Record, now time.Time) error {
	specs := map[string]*workload.Job{}
	progress := map[string]*workload.Progress{}
	for _, r := range records {
		switch {
		case strings.HasPrefix(r.Key, jobPrefix):
			spec := &workload.Job{}
			if err := json.Unmarshal(r.Value, spec); err != nil {
				return structs.NewError(structs.CodeInternal, "stored job %s: %v", r.Key, err)
			}
			specs[spec.ID] = spec
		case strings.HasPrefix(r.Key, progressPrefix):
			p := &workload.Progress{}
			if err := json.Unmarshal(r.Value, p); err != nil {
				return structs.NewError(structs.CodeInternal, "stored progress %s: %v", r.Key, err)
			}
			progress[strings.TrimPrefix(r.Key, progressPrefix)] = p
		case strings.HasPrefix(r.Key, workerPrefix):
			if err := c.loadWorker(strings.TrimPrefix(r.Key, workerPrefix), r.Value, now); err != nil {
				return err
			}
		case r.Key == endedKey:
			if err := json.Unmarshal(r.Value, &c.endedBefore); err != nil {
				return structs.NewError(structs.CodeInternal, "stored %s: %v", r.Key, err)
			}
		}
	}
	for id, spec := range specs {
		c.loadJob(spec, progress[id], now)
		delete(progress, id)
	}
	for id, p := range progress {
		c.loadEnded(id, p, now)
	}
	return nil
}

func (c *Controller) loadWorker(id string, value []byte, now time.Time) error {
	var reg registered
	if err := json.Unmarshal(value, &reg); err != nil {
		return structs.NewError(structs.CodeInternal, "stored worker %s: %v", id, err)
	}
	w := newWorker(workload.Worker{ID: id, Addr: reg.Addr})
	w.registered = true
	w.nextLook = now
	c.workers[id] = w
	return nil
}

// loadEnded takes a job of which only the final state is kept.
func (c *Controller) loadEnded(id string, p *workload.Progress, now time.Time) {
	j := &job{spec: &workload.Job{ID: id}, state: p.State, stored: true, shown: true}
	if !j.over() {
		// A record of progress without its job says nothing.
		c.dirty.drop(id)
		return
	}
	j.endedAt = now.Add(time.Duration(p.EndedMs-now.UnixMilli()) * time.Millisecond)
	c.jobs[id] = j
	c.ended = append(c.ended, j)
}

// runNumberBits is the number of bits of a run's number that count the runs under one
// epoch; those above bear the epoch for jobs that were taken over.
const runNumberBits = 12

// loadJob takes over a job.
func (c *Controller) loadJob(spec *workload.Job, p *workload.Progress, now time.Time) {
	j := &job{spec: spec, stored: true, base: c.epoch << runNumberBits}
	j.acceptedAt = now.Add(time.Duration(spec.AcceptedMs-now.UnixMilli()) * time.Millisecond)
	c.jobs[spec.ID] = j
	if p != nil && p.State != "" {
		j.state = p.State
		j.shown = true
		j.endedAt = now.Add(time.Duration(p.EndedMs-now.UnixMilli()) * time.Millisecond)
		c.ended = append(c.ended, j)
		c.unretired = append(c.unretired, j)
		return
	}
	c.activate(j)
	class := c.config.Classes[spec.Class]
	if class == nil {
		class = &spec.AcceptedClass
	}
	j.setClass(class)
	c.loadProgress(j, p, now)
	c.waiting.count(j)
}

// loadProgress opens the occurrences of a job as they were stored. What is not done may
// run somewhere.
func (c *Controller) loadProgress(j *job, p *workload.Progress, now time.Time) {
	if p == nil {
		p = &workload.Progress{}
	}
	j.doneBelow = p.DoneBelow
	j.next = p.DoneBelow
	for _, k := range p.DoneOccurrences {
		j.close(k)
	}
	c.openOccurrences(j, now)
	byStep := map[[2]int]*workload.StepProgress{}
	for i := range p.Steps {
		byStep[[2]int{p.Steps[i].Occurrence, p.Steps[i].Step}] = &p.Steps[i]
	}
	for _, occ := range append([]*occurrence(nil), j.open...) {
		for _, s := range occ.steps {
			c.loadStep(s, byStep[[2]int{occ.k, s.index}], now)
		}
	}
}

func (c *Controller) loadStep(s *step, p *workload.StepProgress, now time.Time) {
	if p != nil {
		c.loadTasks(s, p)
	}
	for _, t := range s.tasks {
		t.uncertain = !t.done
	}
	if p != nil && s.complete() {
		c.stepDone(s, now)
	}
	c.sortStep(s)
}

func (c *Controller) loadTasks(s *step, p *workload.StepProgress) {
	for i := range p.Tasks {
		tp := &p.Tasks[i]
		if tp.Index >= len(s.tasks) {
			continue
		}
		s.job().begun = true
		if s.gang != nil {
			s.gang.failed = tp.FailedRuns
			s.gang.saved = tp.Checkpoint
			continue
		}
		s.tasks[tp.Index].failed = tp.FailedRuns
		s.tasks[tp.Index].saved = tp.Checkpoint
	}
	for _, t := range s.tasks {
		if p.DoneTasks.Has(t.index) {
			c.markDone(t)
			s.job().begun = true
		}
	}
}
