// Package baseline contains simple policies against which the scheduler is measured,
// for experiments only. Its placement rules, first fit and random fit, use only the
// list of workers and their free resources.
package baseline

import (
	"math/rand/v2"

	"dotterelhitch/internal/scheduler"
)

// Placer chooses workers for a placement request.
type Placer interface {
	Place(s *scheduler.NodeSet, req scheduler.PlacementRequest) scheduler.Plan
}

// PlacerFunc adapts a function to Placer.
type PlacerFunc func(*scheduler.NodeSet, scheduler.PlacementRequest) scheduler.Plan

// Place implements Placer.
func (f PlacerFunc) Place(s *scheduler.NodeSet, req scheduler.PlacementRequest) scheduler.Plan {
	return f(s, req)
}

// FirstFit places each task on the first worker, in order of ID, that it fits on.
type FirstFit struct{}

// Place implements Placer.
func (FirstFit) Place(s *scheduler.NodeSet, req scheduler.PlacementRequest) scheduler.Plan {
	return placeFirstFit(s.Nodes(), req)
}

// RandomFit places each task on a random worker that it fits on.
type RandomFit struct {
	Rand *rand.Rand
}

// Place implements Placer.
func (f RandomFit) Place(s *scheduler.NodeSet, req scheduler.PlacementRequest) scheduler.Plan {
	nodes := s.Nodes()
	plan := scheduler.Plan{Unplaced: req.Tasks}
	planned := make(map[string]int, len(req.Tasks))
	for len(plan.Unplaced) > 0 {
		f.Rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		if !placeOne(nodes, req, &plan, planned) {
			break
		}
	}
	return allOrNothing(req, plan)
}

// placeFirstFit places each task on the first node that it fits on.
func placeFirstFit(nodes []*scheduler.Node, req scheduler.PlacementRequest) scheduler.Plan {
	plan := scheduler.Plan{Unplaced: req.Tasks}
	planned := make(map[string]int, len(req.Tasks))
	for len(plan.Unplaced) > 0 && placeOne(nodes, req, &plan, planned) {
		continue
	}
	return allOrNothing(req, plan)
}

// placeOne places the next task and reports whether it fits on any node.
func placeOne(nodes []*scheduler.Node, req scheduler.PlacementRequest, plan *scheduler.Plan, planned map[string]int) bool {
	for _, n := range nodes {
		if !n.Usable() || !fits(n, req, planned[n.ID()]) {
			continue
		}
		planned[n.ID()]++
		plan.Placed = append(plan.Placed, scheduler.Placement{TaskRef: plan.Unplaced[0], Worker: n.ID()})
		plan.Unplaced = plan.Unplaced[1:]
		return true
	}
	return false
}

// fits reports whether a node can run one more task in addition to the planned ones.
func fits(n *scheduler.Node, req scheduler.PlacementRequest, planned int) bool {
	free := n.Free()
	for range planned {
		free = free.Sub(req.Size)
	}
	return req.Size.Fits(free)
}

// allOrNothing returns an empty plan if the request must be placed completely and the
// plan is only partial.
func allOrNothing(req scheduler.PlacementRequest, plan scheduler.Plan) scheduler.Plan {
	if req.AllOrNothing && len(plan.Unplaced) > 0 {
		return scheduler.Plan{Unplaced: req.Tasks}
	}
	return plan
}
