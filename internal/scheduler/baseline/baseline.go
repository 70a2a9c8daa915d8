// Package baseline holds plain placement rules that the scheduler's own are measured
// against: first fit and random fit. They see the same workers and the same free
// resources, and no more.
package baseline

import (
	"math/rand/v2"

	"dotterelhitch/internal/scheduler"
)

// Placer chooses workers for an ask.
type Placer interface {
	Place(s *scheduler.NodeSet, ask scheduler.PlacementRequest) scheduler.Plan
}

// PlacerFunc is a function as a Placer.
type PlacerFunc func(*scheduler.NodeSet, scheduler.PlacementRequest) scheduler.Plan

// Place implements Placer.
func (f PlacerFunc) Place(s *scheduler.NodeSet, ask scheduler.PlacementRequest) scheduler.Plan {
	return f(s, ask)
}

// FirstFit places each task on the first worker, in order of ID, that has room.
type FirstFit struct{}

// Place implements Placer.
func (FirstFit) Place(s *scheduler.NodeSet, ask scheduler.PlacementRequest) scheduler.Plan {
	return inOrder(s.Nodes(), ask)
}

// RandomFit places each task on a random worker that has room.
type RandomFit struct {
	Rand *rand.Rand
}

// Place implements Placer.
func (f RandomFit) Place(s *scheduler.NodeSet, ask scheduler.PlacementRequest) scheduler.Plan {
	nodes := s.Nodes()
	plan := scheduler.Plan{Unplaced: ask.Tasks}
	planned := make(map[string]int, len(ask.Tasks))
	for len(plan.Unplaced) > 0 {
		f.Rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		if !placeOne(nodes, ask, &plan, planned) {
			break
		}
	}
	return whole(ask, plan)
}

// inOrder places each task on the first of the nodes that has room.
func inOrder(nodes []*scheduler.Node, ask scheduler.PlacementRequest) scheduler.Plan {
	plan := scheduler.Plan{Unplaced: ask.Tasks}
	planned := make(map[string]int, len(ask.Tasks))
	for len(plan.Unplaced) > 0 && placeOne(nodes, ask, &plan, planned) {
		continue
	}
	return whole(ask, plan)
}

// placeOne places the next task and reports whether it found a worker.
func placeOne(nodes []*scheduler.Node, ask scheduler.PlacementRequest, plan *scheduler.Plan, planned map[string]int) bool {
	for _, n := range nodes {
		if !n.Usable() || !hasRoom(n, ask, planned[n.ID()]) {
			continue
		}
		planned[n.ID()]++
		plan.Placed = append(plan.Placed, scheduler.Placement{TaskRef: plan.Unplaced[0], Worker: n.ID()})
		plan.Unplaced = plan.Unplaced[1:]
		return true
	}
	return false
}

// hasRoom reports whether a node has room for one more task beside those planned.
func hasRoom(n *scheduler.Node, ask scheduler.PlacementRequest, planned int) bool {
	free := n.Free()
	for range planned {
		free = free.Sub(ask.Size)
	}
	return ask.Size.Fits(free)
}

// whole undoes a plan in part for an ask that wants all or none.
func whole(ask scheduler.PlacementRequest, plan scheduler.Plan) scheduler.Plan {
	if ask.AllOrNothing && len(plan.Unplaced) > 0 {
		return scheduler.Plan{Unplaced: ask.Tasks}
	}
	return plan
}
