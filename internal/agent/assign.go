package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a member that may be an agent.
type Candidate struct {
	Node string
	// Cores is the processor time of its machine, zero if unknown.
	Cores float64
}

const (
	// minWorkers is the number of workers up to which the controller calls them itself.
	minWorkers = 100
	// workersPerCore is the number of workers of an agent for each core of its machine, within
	// minWorkersPerAgent and maxWorkersPerAgent. Few agents mean few and large messages at the
	// controller.
	workersPerCore     = 160
	minWorkersPerAgent = 24
	maxWorkersPerAgent = 64
	// strongShare is the least processor time of a strong member as a share of that of the
	// strongest one.
	strongShare = 0.5
)

// MaxDelay returns how much longer than from the controller itself an order may be under way to one of a
// number of workers, because an agent may send it: it waits in the link and on its way to the agent.
// The number may have been higher when the order was sent, so that the delay is zero only well below
// minWorkers.
func MaxDelay(workers int) time.Duration {
	if workers <= minWorkers*3/4 {
		return 0
	}
	return maxQueueTime + maxOrderAge
}

// Select returns the nodes that are to be the agents for a number of workers, none for a few
// workers. The agents are strong members if possible. Few of them change when a candidate comes
// or goes.
func Select(candidates []Candidate, workers int) []string {
	if workers <= minWorkers || len(candidates) == 0 {
		return nil
	}
	strongest := slices.MaxFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Cores, b.Cores) })
	strong := func(c Candidate) bool { return c.Cores >= strongShare*strongest.Cores }
	ranked := slices.SortedFunc(slices.Values(candidates), func(a, b Candidate) int {
		return cmp.Or(
			compareTrueFirst(strong(a), strong(b)),
			cmp.Compare(xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node)),
			cmp.Compare(a.Node, b.Node),
		)
	})
	var nodes []string
	for _, c := range ranked {
		if workers <= 0 {
			break
		}
		nodes = append(nodes, c.Node)
		workers -= capacity(c)
	}
	slices.Sort(nodes)
	return nodes
}

// capacity returns the number of workers for which a member can be the agent.
func capacity(c Candidate) int {
	return min(max(int(workersPerCore*c.Cores), minWorkersPerAgent), maxWorkersPerAgent)
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// Rank returns the nodes in the order in which they are preferred for a worker, by rendezvous
// hashing: if a node goes, only its workers get another one.
func Rank(worker string, nodes []string) []string {
	type ranked struct {
		node   string
		weight uint64
	}
	all := make([]ranked, 0, len(nodes))
	for _, node := range nodes {
		all = append(all, ranked{node, xxhash.Sum64String(node + "\x00" + worker)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	out := make([]string, 0, len(all))
	for _, r := range all {
		out = append(out, r.node)
	}
	return out
}
