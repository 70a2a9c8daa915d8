package cell

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/leaderlease"
	"dotterelhitch/internal/workload"
)

// shortLease is a leader lease that expires soon unless it is renewed, and for which a successor that
// knows nothing of it waits for longer than any of these tests.
var shortLease = leaderlease.Timing{Lease: time.Second, MaxLease: time.Minute}

// newShortLeaseCell returns a cell with a number of nodes and shortLease.
func newShortLeaseCell(t *testing.T, nodes int, workers Workers) *testCell {
	c := newEmptyTestCell(t)
	c.leaderLease = shortLease
	c.orderTarget = workers
	for i := range nodes {
		c.addNode(fmt.Sprintf("node-%d", i))
	}
	return c
}

// losableWorkers are workers of which one may be lost: then nothing answers there.
type losableWorkers struct {
	*stubWorkers
	losable string
	lost    atomic.Bool
}

func (w *losableWorkers) Poll(ctx context.Context, token int64, order *controller.Poll) (*workload.PollResult, controller.OrderResult) {
	if order.Worker == w.losable && w.lost.Load() {
		return nil, controller.NoResponse
	}
	return w.stubWorkers.Poll(ctx, token, order)
}

func (c *testCell) awaitWitnesses(n *testNode, want int) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if l := n.term.Load(); l != nil {
			got, err := callControl(l.ctx, l, func(time.Time) []string { return l.ctl.Witnesses() })
			if err == nil && len(got) == want {
				return
			}
		}
	}
	c.t.Fatalf("the controller has not got %d witnesses", want)
}

// TestTasksWaitShortlyAfterLossOfControllerAndWorker guards against jobs that have nothing running beside
// idle workers for many seconds, because the controller's machine and a worker were lost and the next
// controller waits for the longest leader lease (review case 3).
func TestTasksWaitShortlyAfterLossOfControllerAndWorker(t *testing.T) {
	for name, lose := range map[string]func(*testNode){
		"killed": (*testNode).kill,
		"cut off": func(n *testNode) {
			n.poweredOff.Store(true)
			n.cutFromLog.Store(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			workers := &losableWorkers{stubWorkers: newStubWorkers(), losable: "i-2"}
			c := newShortLeaseCell(t, 4, workers)
			c.addWorker(workers.losable)
			former := c.awaitLeader(10 * time.Second)
			epoch := former.events.ofType(event.AuthorityGained)[0].Epoch
			c.submit(former, "j1")
			c.awaitCompleted(former, "j1")
			c.awaitWitnesses(former, 3)
			workers.lost.Store(true)
			lose(former)
			defer former.poweredOff.Store(false)
			others := c.nodesOtherThan(former)
			next := c.awaitTermAfter(epoch, others...)
			began := time.Now()
			const longestWorkerLease = 5700 * time.Millisecond
			const slack = 4 * time.Second
			for !c.settled(next.epoch, others) {
				if time.Since(began) > shortLease.Lease+longestWorkerLease+slack {
					t.Fatal("tasks that no worker shows still wait")
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("settled after %v", time.Since(began))
		})
	}
}

// settled reports whether the controller of an epoch or a later one has accounted for all workers.
func (c *testCell) settled(epoch int64, nodes []*testNode) bool {
	for _, n := range nodes {
		for _, e := range n.events.ofType(event.CellSettled) {
			if e.Epoch >= epoch {
				return true
			}
		}
	}
	return false
}

func (c *testCell) nodesOtherThan(n *testNode) []*testNode {
	var out []*testNode
	for _, o := range c.nodes {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

// TestWitnessesKeepTheControllerDuringAnOutage guards against work that stops in an outage of the store
// which is longer than a leader lease.
func TestWitnessesKeepTheControllerDuringAnOutage(t *testing.T) {
	c := newShortLeaseCell(t, 4, nil)
	leader := c.awaitLeader(10 * time.Second)
	c.awaitWitnesses(leader, 3)
	c.submit(leader, "j1")
	for _, n := range c.nodes {
		n.cutFromLog.Store(true)
	}
	time.Sleep(2 * shortLease.Lease)
	for end := time.Now().Add(2 * shortLease.Lease); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if l := leader.term.Load(); l == nil || !l.serving() {
			t.Fatal("the controller does not serve any more")
		}
	}
}

// TestControllerWithoutWitnessesStops guards against a controller that goes on for longer than its
// successor waits for it: one that reaches neither the store nor the other members.
func TestControllerWithoutWitnessesStops(t *testing.T) {
	c := newShortLeaseCell(t, 4, nil)
	leader := c.awaitLeader(10 * time.Second)
	c.awaitWitnesses(leader, 3)
	term := leader.term.Load()
	for _, n := range c.nodes {
		n.cutFromLog.Store(true)
		n.poweredOff.Store(n != leader)
		defer n.poweredOff.Store(false)
	}
	time.Sleep(shortLease.Lease + time.Second)
	if term.serving() {
		t.Error("the controller still serves")
	}
}
