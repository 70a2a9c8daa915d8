package scheduler

import "dotterelhitch/internal/structs"

// Place chooses workers for the tasks of an ask. It reads the set and changes
// nothing in it; the caller assigns the plan's allocations. The same set and ask
// give the same plan.
//
// Batch tasks go to the tightest fit (best fit on the dominant share, after Ghodsi
// et al., "Dominant Resource Fairness", 2011, for the share). Service tasks are
// spread over failure domains, then racks, then workers. Tasks of a gang are kept
// in as few failure domains and racks as hold them.
func Place(s *NodeSet, ask PlacementRequest) Plan {
	plan := Plan{Unplaced: ask.Tasks}
	if len(ask.Tasks) == 0 {
		return plan
	}
	if !ask.Size.HasNegative() && !ask.Size.IsZero() {
		plan.Placed = make([]Placement, 0, len(ask.Tasks))
		placeProbes(s, &ask, &plan)
		placeKind(s, &ask, &plan)
	}
	if len(plan.Unplaced) == 0 {
		return plan
	}
	plan.Rejections = Explain(s, ask)
	if ask.AllOrNothing {
		plan.Placed = nil
		plan.Unplaced = ask.Tasks
	}
	return plan
}

// placeKind places by the rule of the ask's kind.
func placeKind(s *NodeSet, ask *PlacementRequest, plan *Plan) {
	switch ask.Kind {
	case structs.KindService:
		placeSpread(s, ask, plan)
	case structs.KindGang:
		placeTogether(s, ask, plan)
	default:
		placeTight(s, ask, plan)
	}
}

// placeProbes gives one task each to workers on probation whose probe is due.
func placeProbes(s *NodeSet, ask *PlacementRequest, plan *Plan) {
	for _, id := range ask.ProbeWorkers {
		n := s.nodes[id]
		if n == nil || len(plan.Unplaced) == 0 || !n.probing() {
			continue
		}
		if !ask.avoids(id) && ask.Size.Fits(n.freeFor(ask.Size)) {
			plan.put(n, 1)
		}
	}
}

// room returns how many tasks of the ask a usable node can take.
func (n *Node) room(ask *PlacementRequest) int { return n.roomIn(n.freeFor(ask.Size), ask) }

// spareRoom is room in what work with accelerators does not miss.
func (n *Node) spareRoom(ask *PlacementRequest) int { return n.roomIn(n.spare(), ask) }

// roomIn returns how many tasks of the ask fit into a part of the node.
func (n *Node) roomIn(part structs.Resources, ask *PlacementRequest) int {
	if n.hold != "" && n.hold != ask.Job {
		return 0
	}
	room := capacity(part, ask.Size)
	if room == 0 || ask.avoids(n.worker.ID) {
		return 0
	}
	return room
}
