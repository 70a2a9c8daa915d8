package leaderlease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var seedCount = flag.Int("seeds", 400, "number of seeds of each walk")

// walkTiming has a MaxLease that outlasts most walks, so that a wrong bound below it shows.
var walkTiming = Timing{Lease: 4 * time.Second, MaxLease: 12 * time.Second}

// walk is a cell in virtual time, in which calls are delayed and lost, the store is away, members
// restart, and controllers follow one another. Each machine has a clock of its own, up to 2% slow.
type walk struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	events []walkEvent
	nodes  []*walkNode
	store  walkStore
	leads  []*walkController
	// bounded counts the successors that need not wait for Timing.MaxLease.
	bounded, renewals int
}

type walkEvent struct {
	at time.Duration
	f  func()
}

type walkStore struct {
	away        bool
	newest      int64 // the newest claim
	fenced      int64 // the newest epoch that has fenced the store
	record      Record
	endedBefore int64
}

type walkNode struct {
	name     string
	boot     int
	gone     bool
	cut      bool // from the store
	rate     float64
	newest   int64 // the newest claim that this boot has read
	claiming bool
}

type walkController struct {
	node         *walkNode
	boot         int
	epoch        int64
	holder       *Holder
	predecessors *Predecessors
	endNoted     bool
}

func (n *walkNode) clock(at time.Duration) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(at) * n.rate))
}

func (c *walkController) alive() bool { return !c.node.gone && c.boot == c.node.boot }

func (w *walk) after(d time.Duration, f func()) {
	w.events = append(w.events, walkEvent{w.now + d, f})
}

// delay draws the time that one way of a call takes: mostly short, at times seconds.
func (w *walk) delay() time.Duration {
	if w.rng.IntN(12) == 0 {
		return time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	}
	return time.Duration(1+w.rng.IntN(30)) * time.Millisecond
}

func (w *walk) reachesStore(n *walkNode) bool { return !w.store.away && !n.cut && !n.gone }

// readClaims has a member read the newest claim. The answer is that of some moment in between.
func (w *walk) readClaims(n *walkNode) {
	boot, sent := n.boot, w.now
	w.after(w.delay(), func() {
		if !w.reachesStore(n) {
			return
		}
		newest := w.store.newest
		w.after(w.delay(), func() {
			if n.boot != boot || n.gone {
				return
			}
			n.newest = max(n.newest, newest)
			if c := w.leader(n); c != nil && c.epoch == newest {
				c.holder.Confirm(n.clock(sent))
			}
		})
	})
}

// leader returns the controller that a member runs, nil if it knows of a newer one.
func (w *walk) leader(n *walkNode) *walkController {
	for _, c := range w.leads {
		if c.node == n && c.alive() && c.epoch == n.newest {
			return c
		}
	}
	return nil
}

// claim has a member claim leadership, fence the store and read the record of its predecessors.
func (w *walk) claim(n *walkNode) {
	if n.claiming || n.gone || n.newest == 0 && w.store.newest > 0 {
		return
	}
	n.claiming = true
	boot, expected, sent := n.boot, n.newest, w.now
	w.after(w.delay(), func() {
		n.claiming = false
		if !w.reachesStore(n) || w.store.newest != expected {
			return
		}
		last := Predecessor{Epoch: w.store.newest, UsesWitnesses: w.store.newest > 0}
		w.store.newest++
		epoch := w.store.newest
		w.after(w.delay(), func() {
			if n.boot != boot || n.gone {
				return
			}
			n.newest = epoch
			c := &walkController{node: n, boot: boot, epoch: epoch, holder: NewHolder(walkTiming)}
			c.holder.Confirm(n.clock(sent))
			w.leads = append(w.leads, c)
			w.fence(c, last)
		})
	})
}

func (w *walk) fence(c *walkController, last Predecessor) {
	w.after(w.delay(), func() {
		if !w.reachesStore(c.node) || w.store.fenced > c.epoch || !c.alive() {
			return
		}
		w.store.fenced = c.epoch
		w.after(w.delay(), func() {
			if !c.alive() || w.store.fenced != c.epoch {
				return
			}
			fencedAt := c.node.clock(w.now)
			c.predecessors = NewPredecessors(walkTiming, fencedAt, w.store.record, w.store.endedBefore, last)
			c.predecessors.Follows(c.node.name, fencedAt)
			w.storeRecord(c)
		})
	})
}

// storeRecord has a controller store its record. The append is carried out at some time unless a
// successor has fenced the store before, and its answer may be lost.
func (w *walk) storeRecord(c *walkController) {
	own := c.holder.Proposed()
	if own != nil {
		c.holder.Storing(own)
	}
	record := c.predecessors.Record(c.epoch, own)
	w.append(c, func() {
		if record.Epoch != w.store.record.Epoch || own != nil {
			w.store.record = record
		}
	}, func() {
		if own != nil {
			c.holder.Stored(own)
		}
	})
}

// append has a controller append to the store.
func (w *walk) append(c *walkController, apply, acked func()) {
	sent := w.now
	w.after(w.delay(), func() {
		if !w.reachesStore(c.node) || w.store.fenced != c.epoch {
			return
		}
		apply()
		w.after(w.delay(), func() {
			if c.alive() {
				c.holder.Confirm(c.node.clock(sent))
				acked()
			}
		})
	})
}

// proposeWitnesses has a controller store some of the other members as its witnesses.
func (w *walk) proposeWitnesses(c *walkController) {
	var nodes []string
	for _, n := range w.nodes {
		if n != c.node && w.rng.IntN(4) > 0 {
			nodes = append(nodes, n.name)
		}
	}
	// Appends are carried out in order, so that one is under way at a time here.
	if len(c.holder.storing) > 1 {
		return
	}
	if c.holder.Propose(WitnessSet{Epoch: c.epoch, Nodes: nodes}) {
		w.storeRecord(c)
	}
}

// askWitnesses has a controller ask its witnesses to renew its lease.
func (w *walk) askWitnesses(c *walkController) {
	start := c.node.clock(w.now)
	follows := map[string]bool{}
	for _, name := range c.holder.Witnesses() {
		n := w.nodes[slices.IndexFunc(w.nodes, func(n *walkNode) bool { return n.name == name })]
		w.after(w.delay(), func() {
			if n.gone || w.rng.IntN(20) == 0 {
				return
			}
			if n.newest == c.epoch {
				follows[name] = true
			}
		})
	}
	w.after(time.Duration(w.rng.Int64N(int64(2*time.Second))), func() {
		if c.alive() && c.holder.RenewByWitnesses(start, follows) {
			w.renewals++
		}
	})
}

// heartbeat has a member call the controller of the newest claim that it knows.
func (w *walk) heartbeat(n *walkNode) {
	epoch := n.newest
	if n.gone {
		return
	}
	w.after(w.delay(), func() {
		for _, c := range w.leads {
			if c.epoch == epoch && c.alive() && c.predecessors != nil {
				c.predecessors.Follows(n.name, c.node.clock(w.now))
			}
		}
	})
}

// step draws one action.
func (w *walk) step() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	switch action := w.rng.IntN(100); {
	case action < 30:
		w.readClaims(n)
	case action < 50:
		w.heartbeat(n)
	case action == 50:
		if w.rng.IntN(3) == 0 {
			w.claim(n)
		}
	case action == 51:
		n.cut = w.rng.IntN(4) == 0
	case action == 52:
		w.store.away = w.rng.IntN(3) == 0
	case action == 53:
		if w.rng.IntN(3) == 0 {
			n.boot++
			n.newest = 0
			n.claiming = false
		}
	case action == 54:
		if w.rng.IntN(40) == 0 {
			n.gone = true
		}
	default:
		if len(w.leads) > 0 {
			w.act(w.leads[max(0, len(w.leads)-1-w.rng.IntN(3))])
		}
	}
}

func (w *walk) keepStepping() {
	w.step()
	w.after(time.Duration(w.rng.IntN(40))*time.Millisecond, w.keepStepping)
}

// act has a controller do something.
func (w *walk) act(c *walkController) {
	if !c.alive() || c.predecessors == nil {
		return
	}
	switch action := w.rng.IntN(10); {
	case action < 2:
		w.proposeWitnesses(c)
	case action < 8:
		w.askWitnesses(c)
	case !c.endNoted && !c.node.clock(w.now).Before(c.predecessors.Expiry()):
		c.endNoted = true
		w.append(c, func() { w.store.endedBefore = max(w.store.endedBefore, c.epoch) }, func() {})
	}
}

// check verifies that no controller holds its lease after one of its successors relies on the opposite.
func (w *walk) check(seed uint64) {
	for _, s := range w.leads {
		if s.predecessors == nil || !s.alive() || s.node.clock(w.now).Before(s.predecessors.Expiry()) {
			continue
		}
		for _, c := range w.leads {
			if c.epoch < s.epoch && c.alive() && c.holder.Valid(c.node.clock(w.now)) {
				w.t.Fatalf("seed %d, %v: epoch %d holds its lease, which epoch %d takes to have expired (%+v)",
					seed, w.now, c.epoch, s.epoch, s.predecessors)
			}
		}
	}
}

func (w *walk) run(seed uint64, length time.Duration) {
	w.keepStepping()
	for w.now < length {
		next := 0
		for i := range w.events {
			if w.events[i].at < w.events[next].at {
				next = i
			}
		}
		e := w.events[next]
		w.events = slices.Delete(w.events, next, next+1)
		w.now = e.at
		e.f()
		w.check(seed)
	}
	for _, s := range w.leads {
		if s.predecessors != nil && s.predecessors.Expiry().Before(s.predecessors.fencedAt.Add(walkTiming.MaxLease)) {
			w.bounded++
		}
	}
}

// TestNoLeaseAfterTheSuccessorsBound guards against tasks that two controllers start at the same time,
// because a successor takes a predecessor's lease to have expired while that is still renewed.
func TestNoLeaseAfterTheSuccessorsBound(t *testing.T) {
	bounded, renewals, terms := 0, 0, 0
	for seed := range uint64(*seedCount) {
		w := &walk{t: t, rng: rand.New(rand.NewPCG(seed, 30))}
		for i := range 2 + w.rng.IntN(6) {
			w.nodes = append(w.nodes, &walkNode{name: fmt.Sprintf("node-%d", i), rate: 1 - maxClockDrift*w.rng.Float64()})
		}
		w.run(seed, 90*time.Second)
		bounded += w.bounded
		renewals += w.renewals
		terms += len(w.leads)
	}
	t.Logf("%d terms, %d of them with a bound below the longest lease, %d renewals by witnesses", terms, bounded, renewals)
	if bounded < *seedCount/2 || renewals < *seedCount {
		t.Errorf("the walks show too little: %d bounds, %d renewals", bounded, renewals)
	}
}
