package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var configSeeds = flag.Int("config-seeds", 5, "number of seeds of TestConfigComesInTimeAfterTroubles")

// trouble is a disruption of one node. Without an end it takes no time.
type trouble struct {
	name       string
	begin, end func(n *testNode)
}

// The troubles that a node may have. None of them is announced to it.
var nodeTroubles = []trouble{
	{"no path to the log", func(n *testNode) { n.cutFromLog.Store(true) }, func(n *testNode) { n.cutFromLog.Store(false) }},
	{"refused by the log", func(n *testNode) { n.refused.Store(true) }, func(n *testNode) { n.refused.Store(false) }},
	{"waiting reads hang", func(n *testNode) { n.readsHang.Store(true) }, func(n *testNode) { n.readsHang.Store(false) }},
	{"no path to peers", func(n *testNode) { n.poweredOff.Store(true) }, func(n *testNode) { n.poweredOff.Store(false) }},
	{
		"cut off", func(n *testNode) { n.cutFromLog.Store(true); n.poweredOff.Store(true) },
		func(n *testNode) { n.cutFromLog.Store(false); n.poweredOff.Store(false) },
	},
	{"open connections silent", func(n *testNode) { n.logConnections.goSilent(); n.listener.goSilent() }, nil},
}

// Timing of the troubles.
const (
	troubleRounds   = 3
	minTroubleTime  = 300 * time.Millisecond
	maxTroubleTime  = 3 * time.Second
	maxTroubleStart = time.Second
)

func drawDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// TestConfigComesInTimeAfterTroubles guards against a version that is not in force configBound after its
// acknowledgement at a member whose last own trouble ended contactWindow ago (CONFIG), whatever the troubles
// of the others. Each seed draws troubles of some nodes that overlap, and versions meanwhile.
func TestConfigComesInTimeAfterTroubles(t *testing.T) {
	for seed := range *configSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(seed), 36))
			c := newTestCell(t, 5)
			c.awaitLeader(10 * time.Second)
			c.awaitVersion(1, time.Now(), 10*time.Second)
			for round := range troubleRounds {
				c.useRelays()
				c.playTroubles(rng, int64(round)+2)
			}
		})
	}
}

// playTroubles plays troubles of some nodes, writes a version meanwhile and checks that each node has it in
// time.
func (c *testCell) playTroubles(rng *rand.Rand, version int64) {
	c.t.Helper()
	began := time.Now()
	touchAt := map[*testNode]time.Time{}
	done := make(chan struct{})
	hit := rng.Perm(len(c.nodes))[:1+rng.IntN(len(c.nodes))]
	for _, i := range hit {
		n, tr := c.nodes[i], nodeTroubles[rng.IntN(len(nodeTroubles))]
		start, length := drawDuration(rng, 0, maxTroubleStart), drawDuration(rng, minTroubleTime, maxTroubleTime)
		if tr.end == nil {
			length = 0
		}
		c.t.Logf("version %d: %s %s from %v for %v", version, n.self.Node, tr.name, start, length)
		touchAt[n] = began.Add(start + length + contactWindow)
		go func() {
			time.Sleep(start)
			tr.begin(n)
			if tr.end != nil {
				time.Sleep(length)
				tr.end(n)
			}
			done <- struct{}{}
		}()
	}
	time.Sleep(drawDuration(rng, 0, maxTroubleStart+maxTroubleTime))
	if rng.IntN(2) == 0 {
		c.t.Logf("version %d: all open connections silent at %v", version, time.Since(began))
		for _, n := range c.nodes {
			touchAt[n] = latest(touchAt[n], time.Now().Add(contactWindow))
		}
		c.goSilent()
	}
	c.writeConfig(version)
	acked := time.Now()
	c.t.Logf("version %d is acknowledged at %v", version, acked.Sub(began))
	for _, n := range c.nodes {
		due := latest(acked.Add(configBound), touchAt[n])
		for n.config.number() < version {
			if time.Now().After(due) {
				c.t.Errorf("%s has version %d, not %d, at %v", n.self.Node, n.config.number(), version, time.Since(began))
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	for range hit {
		<-done
	}
	time.Sleep(time.Until(began.Add(maxTroubleStart + maxTroubleTime + contactWindow)))
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
