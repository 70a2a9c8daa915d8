package worker

import "dotterelhitch/internal/structs"

// check refuses results that are not those of the n tasks asked for.
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

// check refuses an inventory that names a run twice, or a run of no known state
// or with a negative size.
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
