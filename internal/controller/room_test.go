package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// TestRoomIndexOverlooksNoWorker compares the room index with a scan of all workers, while runs take up capacity as
// they do during a pass. A worker that the index overlooked would stay empty while steps wait.
func TestRoomIndexOverlooksNoWorker(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	amount := func(most int64) structs.Resources {
		return structs.Resources{CPUMilli: rng.Int64N(most), MemoryMiB: rng.Int64N(most), Accelerators: rng.Int64N(3)}
	}
	var index roomIndex
	for range 200 {
		var pool []*worker
		for i := range 30 {
			w := &worker{info: workload.Worker{ID: fmt.Sprintf("w%02d", i), Service: []string{"a", "b"}[rng.IntN(2)], Capacity: amount(100)}}
			w.used = amount(60) // some workers have shrunk below what they run
			pool = append(pool, w)
		}
		index.rebuild(pool)
		for range 20 {
			size := amount(50)
			var want, got []string
			for _, w := range pool {
				if w.info.Service == "a" && size.Fits(w.free()) {
					want = append(want, w.info.ID)
				}
			}
			rooms := index.withRoom("a", size)
			for i := range rooms {
				if rooms[i].fits(size) {
					got = append(got, rooms[i].w.info.ID)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Fatalf("workers with room for %v: %v, want %v", size, got, want)
			}
			w := pool[rng.IntN(len(pool))]
			w.used = w.used.Add(amount(20))
		}
	}
}

// TestCandidatesAreThoseOfAScan compares the candidates of each waiting step, with few and with many verdicts, with a
// scan of all workers. A step with a ticket for a worker with room would otherwise wait.
func TestCandidatesAreThoseOfAScan(t *testing.T) {
	sim := newWaitingCell(t)
	c, now := sim.ctl, sim.nowOf(sim.ctl)
	rng := rand.New(rand.NewPCG(3, 4))
	for _, id := range sim.workerIDs() {
		w := c.workers[id]
		w.used = structs.Resources{CPUMilli: rng.Int64N(32000), MemoryMiB: rng.Int64N(64000)}
		w.suspectRuns = rng.IntN(8) / 7
	}
	pool := c.usableWorkers(now)
	c.passes++
	for i, w := range pool {
		w.lastPass, w.order = c.passes, i
		w.avoided = rng.IntN(8) == 0
	}
	c.room.rebuild(pool)
	found := 0
	for s := range c.readySteps {
		s.advice.verdicts = map[*worker]verdict{}
		for i, share := 0, rng.IntN(100); i < len(pool); i++ {
			if w := pool[i]; rng.IntN(100) < share {
				s.advice.verdicts[w] = verdict{boot: w.boot - int64(rng.IntN(8)/7), allowed: rng.IntN(2) == 0, ticket: "t", expiresAt: now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)}
			}
		}
		var want, got []string
		for _, w := range pool {
			if _, ok := s.ticket(w, now); ok && !w.avoided && w.suspectRuns == 0 && s.matchesWorker(w) && c.fitCount(s, w, now) > 0 {
				want = append(want, w.info.ID)
			}
		}
		for _, cand := range c.candidates(s, true, now) {
			got = append(got, cand.w.info.ID)
		}
		found += len(want)
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Fatalf("%v: candidates %v, want %v", s.id(), got, want)
		}
	}
	if found == 0 {
		t.Error("no step has a candidate")
	}
}
