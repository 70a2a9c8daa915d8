package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/jobstore"
)

// submitMany submits a number of jobs through a node, with a gap between them, and returns the
// longest time that a submission took.
func (c *testCell) submitMany(n *testNode, jobs int, gap time.Duration) time.Duration {
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

// TestAppendsOverlapWhileTheStoreIsSlow submits jobs while each call to the store takes long:
// several appends are in flight, at most maxAppendsInFlight. Without the overlap callers waited
// for the append in flight and then for their own.
func TestAppendsOverlapWhileTheStoreIsSlow(t *testing.T) {
	c := newTestCell(t, 2)
	l := c.awaitLeader(5 * time.Second)
	c.submit(l, "j0")
	c.log.latency.Store(int64(200 * time.Millisecond))
	longest := c.submitMany(l, 100, 10*time.Millisecond)
	if most := c.log.maxAppending.Load(); most < 2 || most > maxAppendsInFlight {
		t.Errorf("at most %d appends at a time, want 2 to %d", most, maxAppendsInFlight)
	}
	t.Logf("accepted within %v", longest)
	c.log.latency.Store(0)
	for i := range 100 {
		c.awaitCompleted(l, fmt.Sprintf("s%d", i))
	}
}

// TestLostAnswersNeitherLoseNorDuplicateJobs loses the answer of every third append while several
// are in flight: every accepted job is stored exactly once.
func TestLostAnswersNeitherLoseNorDuplicateJobs(t *testing.T) {
	c := newTestCell(t, 2)
	l := c.awaitLeader(5 * time.Second)
	c.submit(l, "j0")
	c.log.latency.Store(int64(40 * time.Millisecond))
	c.log.loseAnswerEvery.Store(3)
	c.submitMany(l, 150, 5*time.Millisecond)
	c.log.loseAnswerEvery.Store(0)
	c.log.latency.Store(0)
	for i := range 150 {
		c.awaitCompleted(l, fmt.Sprintf("s%d", i))
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

// TestPipelineConfirmsInOrder confirms a later batch first: the batches before it are confirmed
// with it, in order and only once.
func TestPipelineConfirmsInOrder(t *testing.T) {
	p := newAppendPipeline()
	start := time.Now()
	for i := range int64(3) {
		b := &pendingBatch{sequence: i, createdAt: start}
		b.ctx, b.cancel = context.WithCancel(context.Background())
		p.add(b)
	}
	var confirmed []int64
	for _, b := range p.confirm(1, 100*time.Millisecond) {
		confirmed = append(confirmed, b.sequence)
		if b.ctx.Err() == nil {
			t.Errorf("the attempts to append batch %d were not cancelled", b.sequence)
		}
	}
	if len(confirmed) != 2 || confirmed[0] != 0 || confirmed[1] != 1 {
		t.Errorf("confirmed batches %v, want 0 and 1", confirmed)
	}
	if again := p.confirm(0, time.Second); len(again) != 0 {
		t.Errorf("%d batches were confirmed twice", len(again))
	}
	if p.oldestSince() != start {
		t.Error("the third batch is not in flight")
	}
}

// TestPipelineWaitsForAStuckAppend checks that no batch is added while the oldest append takes far longer than usual
// and than a slow store takes, nor while the first append of an epoch is in flight.
func TestPipelineWaitsForAStuckAppend(t *testing.T) {
	p := newAppendPipeline()
	start := time.Now()
	mayAdd := func(at time.Time) bool {
		wait, ok := p.nextAdd(at)
		return ok && wait == 0
	}
	p.add(&pendingBatch{sequence: 0, createdAt: start, cancel: func() {}})
	if mayAdd(start.Add(time.Hour)) {
		t.Error("a second append is allowed while the first of the epoch is in flight")
	}
	sequence := int64(0)
	for _, took := range []time.Duration{4 * time.Millisecond, 200 * time.Millisecond} {
		p.confirm(sequence, took)
		sequence++
		p.add(&pendingBatch{sequence: sequence, createdAt: start, cancel: func() {}})
		if !mayAdd(start.Add(max(commitInterval, took))) && !mayAdd(start.Add(lateAppendInterval)) {
			t.Error("a second append is not allowed while the first is late")
		}
		stuck := max(minStuckAppendTime, stuckAppendFactor*took)
		if !mayAdd(start.Add(stuck - time.Millisecond)) {
			t.Errorf("appends take %v: a second append is not allowed shortly before %v", took, stuck)
		}
		if mayAdd(start.Add(stuck)) {
			t.Errorf("appends take %v: a second append is allowed while the first is stuck", took)
		}
	}
}

// TestSlowStoreIsNoOutage has an append take little longer than the last one, and far longer.
func TestSlowStoreIsNoOutage(t *testing.T) {
	p := newAppendPipeline()
	start := time.Now()
	inFlight := func(sequence int64) { p.add(&pendingBatch{sequence: sequence, createdAt: start, cancel: func() {}}) }
	inFlight(0)
	if p.outage(start.Add(storeOutageThreshold)) == 0 {
		t.Error("a store that has not answered yet counts as available")
	}
	const took = storeOutageThreshold - 50*time.Millisecond
	p.confirm(0, took)
	inFlight(1)
	if got := p.outage(start.Add(storeOutageThreshold + 50*time.Millisecond)); got != 0 {
		t.Errorf("an append that takes little longer than the last one counts as an outage of %v", got)
	}
	if p.outage(start.Add(maxStoreOutageThreshold)) == 0 {
		t.Error("a silent store counts as slow")
	}
	p.confirm(1, 20*time.Millisecond)
	inFlight(2)
	if p.outage(start.Add(storeOutageThreshold)) == 0 {
		t.Error("a store that was fast and is silent counts as available")
	}
}
