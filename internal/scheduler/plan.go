package scheduler

import "dotterelhitch/internal/structs"

// Placement is a task with the worker chosen for it.
type Placement struct {
	TaskRef
	Worker string
}

// Plan is the result of placing a PlacementRequest. Its allocations are not counted
// until they are assigned to the NodeSet.
type Plan struct {
	Placed []Placement
	// Unplaced are the tasks without a worker.
	Unplaced []TaskRef
	// Rejections counts the workers by the first reason that excluded them. It is empty
	// if every task was placed.
	Rejections []Rejection
}

// Allocs returns the plan's placements as allocations with the given state.
func (p Plan) Allocs(req PlacementRequest, state structs.AllocState) []structs.Alloc {
	list := make([]structs.Alloc, len(p.Placed))
	for i, placed := range p.Placed {
		list[i] = structs.Alloc{
			Task:    placed.Task,
			Attempt: placed.Attempt,
			Worker:  placed.Worker,
			Class:   req.Class,
			Team:    req.Team,
			Size:    req.Size,
			State:   state,
		}
	}
	return list
}

// placeNext places the next count unplaced tasks on a node.
func (p *Plan) placeNext(n *Node, count int) {
	for _, task := range p.Unplaced[:count] {
		p.Placed = append(p.Placed, Placement{TaskRef: task, Worker: n.worker.ID})
	}
	p.Unplaced = p.Unplaced[count:]
}

// BlockReason returns the reason to report by Round.MarkBlocked if no task was placed.
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
