package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/jobstore"
)

// submitFor hands jobs in through a node, one each few milliseconds, and returns the longest
// time that one took to be accepted.
func (c *testCell) submitFor(n *testNode, jobs int, gap time.Duration) time.Duration {
	var mu sync.Mutex
	var longest time.Duration
	var group sync.WaitGroup
	for i := range jobs {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			began := time.Now()
			if err := n.Submit(ctx, testJob(fmt.Sprintf("s%d", i))); err != nil {
				c.t.Errorf("job %d: %v", i, err)
			}
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(began))
		})
		time.Sleep(gap)
	}
	group.Wait()
	return longest
}

// TestAppendsOverlapWhileTheStoreIsSlow hands jobs in while each call of the store takes
// long: appends are under way at the same time, within the bound (tairi-bale-grown
// trouble-2: callers waited for the append under way and then for their own).
func TestAppendsOverlapWhileTheStoreIsSlow(t *testing.T) {
	c := newTestCell(t, 2)
	l := c.leader(5 * time.Second)
	c.submit(l, "j0")
	c.log.latency.Store(int64(200 * time.Millisecond))
	longest := c.submitFor(l, 100, 10*time.Millisecond)
	if most := c.log.most.Load(); most < 2 || most > pipelineDepth {
		t.Errorf("at most %d appends at a time, want 2 to %d", most, pipelineDepth)
	}
	t.Logf("accepted within %v", longest)
	c.log.latency.Store(0)
	for i := range 100 {
		c.completes(l, fmt.Sprintf("s%d", i))
	}
}

// TestLostAnswersLoseAndDoubleNothing has each third append done without an answer while
// several are under way: every job that is accepted is in the store, once.
func TestLostAnswersLoseAndDoubleNothing(t *testing.T) {
	c := newTestCell(t, 2)
	l := c.leader(5 * time.Second)
	c.submit(l, "j0")
	c.log.latency.Store(int64(40 * time.Millisecond))
	c.log.lose.Store(3)
	c.submitFor(l, 150, 5*time.Millisecond)
	c.log.lose.Store(0)
	c.log.latency.Store(0)
	for i := range 150 {
		c.completes(l, fmt.Sprintf("s%d", i))
	}
	written := map[string]int{}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	for _, r := range c.log.topic(jobstore.Topic).records {
		if len(r.Value) > 0 && r.Key[0] == 'j' {
			written[r.Key]++
		}
	}
	for i := range 150 {
		if n := written[fmt.Sprintf("j/s%d", i)]; n != 1 {
			t.Errorf("job %d was written %d times", i, n)
		}
	}
}

// TestPipelineKeepsOrder has a later append answered first: those before it are stored too,
// and are told in order.
func TestPipelineKeepsOrder(t *testing.T) {
	p := newPipeline()
	start := time.Now()
	for i := range int64(3) {
		b := &pendingBatch{sequence: i, at: start}
		b.ctx, b.cancel = context.WithCancel(context.Background())
		p.add(b)
	}
	var told []int64
	for _, b := range p.stored(1, 100*time.Millisecond) {
		told = append(told, b.sequence)
		if b.ctx.Err() == nil {
			t.Errorf("the tries of %d go on", b.sequence)
		}
	}
	if len(told) != 2 || told[0] != 0 || told[1] != 1 {
		t.Errorf("stored: %v, want 0 and 1", told)
	}
	if again := p.stored(0, time.Second); len(again) != 0 {
		t.Errorf("%d batches are told twice", len(again))
	}
	if p.since() != start {
		t.Error("the third is not under way")
	}
}

// TestPipelineWaitsForAStuckAppend sends no more while the oldest append takes far longer
// than the last one, and lets the first of an epoch go alone.
func TestPipelineWaitsForAStuckAppend(t *testing.T) {
	p := newPipeline()
	start := time.Now()
	p.add(&pendingBatch{sequence: 0, at: start, cancel: func() {}})
	if p.mayAdd(start) {
		t.Error("the first append does not go alone")
	}
	const took = 100 * time.Millisecond
	p.stored(0, took)
	p.add(&pendingBatch{sequence: 1, at: start, cancel: func() {}})
	if !p.mayAdd(start.Add(took)) {
		t.Error("a second append waits for one that takes as usual")
	}
	if p.mayAdd(start.Add(pipelineStuck * took)) {
		t.Error("a second append is sent while the first is stuck")
	}
}
