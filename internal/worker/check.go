package worker

import "dotterelhitch/internal/structs"

// check returns an error unless the results are those of the n requested tasks, in
// the order of the request; ref returns the i-th requested task.
func (r TaskResults) check(n int, ref func(int) TaskRef) ([]TaskResult, error) {
	if len(r.Results) != n {
		return nil, structs.NewError(structs.CodeInternal, "worker answer: %d results for %d tasks", len(r.Results), n)
	}
	for i, got := range r.Results {
		if got.TaskRef != ref(i) {
			return nil, structs.NewError(structs.CodeInternal, "worker answer: result of %s/%d for %s/%d",
				got.Task, got.Attempt, ref(i).Task, ref(i).Attempt)
		}
	}
	return r.Results, nil
}

// check returns an error for an inventory that has no boot ID, lists a run twice,
// or holds a run with an invalid state or a negative size or usage.
func (inv Inventory) check() error {
	if inv.BootID == "" {
		return structs.NewError(structs.CodeInternal, "worker answer: inventory without a boot ID")
	}
	seen := make(map[TaskRef]bool, len(inv.Tasks))
	for _, t := range inv.Tasks {
		if seen[t.TaskRef] {
			return structs.NewError(structs.CodeInternal, "worker answer: %s/%d is there twice", t.Task, t.Attempt)
		}
		seen[t.TaskRef] = true
		if err := t.check(); err != nil {
			return err
		}
	}
	return nil
}

func (t TaskInfo) check() error {
	if t.State != structs.AllocRunning && !t.State.Terminal() {
		return structs.NewError(structs.CodeInternal, "worker answer: %s/%d in state %q", t.Task, t.Attempt, t.State)
	}
	if t.Size.HasNegative() || t.Usage.HasNegative() {
		return structs.NewError(structs.CodeInternal, "worker answer: %s/%d has a negative size or usage", t.Task, t.Attempt)
	}
	return nil
}
