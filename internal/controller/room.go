package controller

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/structs"
)

// roomIndex finds the workers with room for a task without a scan of all workers. It is built at the beginning of a
// placement pass. During a pass the free capacity of a worker only shrinks: a run that is stopped holds its capacity
// until its end is listed. The free capacity in the index is therefore an upper bound.
type roomIndex struct {
	byService map[string][]workerRoom
}

// workerRoom is the free capacity of one worker, as it was when it was last looked at.
type workerRoom struct {
	w *worker
	// cpuMilli is the free processor time at the beginning of the pass, by which workers are sorted.
	cpuMilli int64
	free     structs.Resources
}

// rebuild indexes the workers of a pass.
func (x *roomIndex) rebuild(pool []*worker) {
	if x.byService == nil {
		x.byService = map[string][]workerRoom{}
	}
	for service, rooms := range x.byService {
		clear(rooms)
		x.byService[service] = rooms[:0]
	}
	for _, w := range pool {
		free := w.free()
		x.byService[w.info.Service] = append(x.byService[w.info.Service], workerRoom{w: w, cpuMilli: free.CPUMilli, free: free})
	}
	for service, rooms := range x.byService {
		if len(rooms) == 0 {
			delete(x.byService, service)
			continue
		}
		slices.SortFunc(rooms, func(a, b workerRoom) int { return cmp.Compare(b.cpuMilli, a.cpuMilli) })
	}
}

// withRoom returns the workers of a service that may have room for one task of a size. All others have none.
func (x *roomIndex) withRoom(service string, size structs.Resources) []workerRoom {
	rooms := x.byService[service]
	n, _ := slices.BinarySearchFunc(rooms, size.CPUMilli, func(r workerRoom, cpuMilli int64) int {
		if r.cpuMilli >= cpuMilli {
			return -1
		}
		return 1
	})
	return rooms[:n]
}

// fits reports whether one task of a size fits on the worker now.
func (r *workerRoom) fits(size structs.Resources) bool {
	if !size.Fits(r.free) {
		return false
	}
	r.free = r.w.free()
	return size.Fits(r.free)
}

// hasRoom reports whether one task of a step fits on some worker now, whatever labels, tickets and reservations say.
func (c *Controller) hasRoom(s *step) bool {
	rooms := c.room.withRoom(s.job().class.Service, s.size)
	for i := range rooms {
		if rooms[i].fits(s.size) {
			return true
		}
	}
	return false
}
