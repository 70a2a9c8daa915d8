package scheduler

import "dotterelhitch/internal/structs"

// Placement is a task with the worker chosen for it.
type Placement struct {
	TaskRef
	Worker string
}

// Plan is the answer to an Ask. Nothing is counted until its allocations are
// assigned to the NodeSet.
type Plan struct {
	Placed []Placement
	// Unplaced are the tasks that got no worker.
	Unplaced []TaskRef
	// Rejections counts the workers by the first reason that kept a task off them; it
	// is empty if every task was placed.
	Rejections []Rejection
}

// Allocs returns the plan's placements as allocations in a state.
func (p Plan) Allocs(ask PlacementRequest, state structs.AllocState) []structs.Alloc {
	list := make([]structs.Alloc, len(p.Placed))
	for i, placed := range p.Placed {
		list[i] = structs.Alloc{
			Task:    placed.Task,
			Attempt: placed.Attempt,
			Worker:  placed.Worker,
			Class:   ask.Class,
			Team:    ask.Team,
			Size:    ask.Size,
			State:   state,
		}
	}
	return list
}

// put places the next n unplaced tasks on a node.
func (p *Plan) put(n *Node, count int) {
	for _, task := range p.Unplaced[:count] {
		p.Placed = append(p.Placed, Placement{TaskRef: task, Worker: n.worker.ID})
	}
	p.Unplaced = p.Unplaced[count:]
}

// BlockReason returns how an ask of which nothing was placed is told to a Round.
func (p Plan) BlockReason() BlockReason {
	block := BlockedBySize
	for _, r := range p.Rejections {
		switch r.Reason {
		case ReasonTaskFailedThere, ReasonAcceleratorReserve, ReasonInvalidSize:
			return BlockedByOther
		case ReasonNotAllTasksFit:
			block = BlockedByGangSize
		}
	}
	return block
}
