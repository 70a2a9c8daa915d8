package scheduler

import "dotterelhitch/internal/structs"

// Place chooses workers for the tasks of a request. It only reads the set; the caller
// assigns the plan's allocations. The same set and request always give the same plan.
//
// Batch tasks are placed by best fit on the dominant share (the share is that of Ghodsi
// et al., "Dominant Resource Fairness", 2011). Service tasks are spread over failure
// domains, then racks, then workers. The tasks of a gang are placed in as few failure
// domains and racks as possible.
func Place(s *NodeSet, req PlacementRequest) Plan {
	plan := Plan{Unplaced: req.Tasks}
	if len(req.Tasks) == 0 {
		return plan
	}
	if !req.Size.HasNegative() && !req.Size.IsZero() {
		plan.Placed = make([]Placement, 0, len(req.Tasks))
		placeProbes(s, &req, &plan)
		placeByKind(s, &req, &plan)
	}
	if len(plan.Unplaced) == 0 {
		return plan
	}
	plan.Rejections = Explain(s, req)
	if req.AllOrNothing {
		plan.Placed = nil
		plan.Unplaced = req.Tasks
	}
	return plan
}

// placeByKind places tasks by the rule for the request's kind.
func placeByKind(s *NodeSet, req *PlacementRequest, plan *Plan) {
	switch req.Kind {
	case structs.KindService:
		placeSpread(s, req, plan)
	case structs.KindGang:
		placeGang(s, req, plan)
	default:
		placeBestFit(s, req, plan)
	}
}

// placeProbes places one task on each worker on probation that is due for a probe.
func placeProbes(s *NodeSet, req *PlacementRequest, plan *Plan) {
	for _, id := range req.ProbeWorkers {
		n := s.nodes[id]
		if n == nil || len(plan.Unplaced) == 0 || !n.blockedByProbationOnly() {
			continue
		}
		if !req.avoids(id) && req.Size.Fits(n.freeForSize(req.Size)) {
			plan.placeNext(n, 1)
		}
	}
}

// taskCapacity returns how many requested tasks fit on a usable node.
func (n *Node) taskCapacity(req *PlacementRequest) int {
	return n.taskCapacityIn(n.freeForSize(req.Size), req)
}

// spareTaskCapacity returns how many requested tasks fit without using the shares of
// free accelerators.
func (n *Node) spareTaskCapacity(req *PlacementRequest) int {
	return n.taskCapacityIn(n.freeBeyondAcceleratorShare(), req)
}

// taskCapacityIn returns how many requested tasks fit into a part of the node.
func (n *Node) taskCapacityIn(part structs.Resources, req *PlacementRequest) int {
	if n.reservedFor != "" && n.reservedFor != req.Job {
		return 0
	}
	capacity := tasksThatFit(part, req.Size)
	if capacity == 0 || req.avoids(n.worker.ID) {
		return 0
	}
	return capacity
}
