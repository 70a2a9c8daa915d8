package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

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
