package demo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// startWaits returns the times from the acceptance of each job to the first start
// of each of its tasks, in microseconds.
func startWaits(events []event.Event) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	accepted := map[string]int64{}
	started := map[structs.TaskID]bool{}
	for _, e := range events {
		switch e.Type {
		case event.JobAccepted:
			accepted[e.Job] = e.Time.Micros
		case event.TaskRun:
			job, _, err := e.Task.Split()
			if err != nil || started[e.Task] {
				continue
			}
			started[e.Task] = true
			if at, ok := accepted[job]; ok {
				_ = h.RecordValue(max(e.Time.Micros-at, 1))
			}
		}
	}
	return h
}

// peakPacking returns the greatest share of all processors that tasks held.
func peakPacking(events []event.Event) float64 {
	var total, used, peak int64
	held := map[structs.TaskID]int64{}
	for _, e := range events {
		switch e.Type {
		case event.WorkerBoot:
			total += e.Size.CPUMilli
		case event.TaskRun:
			held[e.Task] = e.Size.CPUMilli
			used += e.Size.CPUMilli
			peak = max(peak, used)
		case event.TaskEnd:
			used -= held[e.Task]
			delete(held, e.Task)
		}
	}
	if total == 0 {
		return 0
	}
	return float64(peak) / float64(total)
}
