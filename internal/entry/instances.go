package entry

import "dotterelhitch/internal/structs"

// instances is what an entry keeps of the platform's list: the workers that it may
// own in full, of all others the kind only.
type instances struct {
	kept  map[string]structs.Worker
	kinds map[string]*kindCount
	// counts holds each kind once.
	counts map[kind]*kindCount
	// names holds each region, domain and rack once.
	names map[string]string
}

// kind is what counts of a worker that this entry can't own.
type kind struct {
	region string
	size   structs.Resources
	gone   bool
}

type kindCount struct {
	kind
	workers int
}

func newInstances() *instances {
	return &instances{
		kept:   map[string]structs.Worker{},
		kinds:  map[string]*kindCount{},
		counts: map[kind]*kindCount{},
		names:  map[string]string{},
	}
}

// put takes a worker as the list has it now; keep says whether it is kept in full.
func (l *instances) put(w structs.Worker, keep bool) {
	w.Region = l.name(w.Region)
	l.count(w.ID, kind{region: w.Region, size: w.Size, gone: w.State == structs.WorkerRemoved})
	if !keep {
		delete(l.kept, w.ID)
		return
	}
	w.Domain = l.name(w.Domain)
	w.Rack = l.name(w.Rack)
	w.State = structs.WorkerState(l.name(string(w.State)))
	l.kept[w.ID] = w
}

func (l *instances) count(id string, k kind) {
	if old := l.kinds[id]; old != nil {
		old.workers--
	}
	n := l.counts[k]
	if n == nil {
		n = &kindCount{kind: k}
		l.counts[k] = n
	}
	n.workers++
	l.kinds[id] = n
}

// name returns the one copy of a name that many workers share.
func (l *instances) name(s string) string {
	if one, ok := l.names[s]; ok {
		return one
	}
	l.names[s] = s
	return s
}

func (l *instances) len() int { return len(l.kinds) }

// has reports whether a worker is listed.
func (l *instances) has(id string) bool { return l.kinds[id] != nil }

// place returns what ownership needs of a worker, which is known of every one.
func (l *instances) place(id string) structs.Worker {
	w := structs.Worker{ID: id}
	if k := l.kinds[id]; k != nil {
		w.Region = k.region
	}
	return w
}

// fits reports whether some worker that is not gone could hold a task of a size.
func (l *instances) fits(size structs.Resources) bool {
	for k, n := range l.counts {
		if n.workers > 0 && !k.gone && size.Fits(k.size) {
			return true
		}
	}
	return false
}

// drop keeps no more than the kind of the workers of some regions.
func (l *instances) drop(from func(region string) bool) {
	for id, w := range l.kept {
		if from(w.Region) {
			delete(l.kept, id)
		}
	}
}

// lacks reports whether workers of a region that is to be kept are not.
func (l *instances) lacks(keeps func(region string) bool) bool {
	for id, k := range l.kinds {
		if _, ok := l.kept[id]; !ok && keeps(k.region) {
			return true
		}
	}
	return false
}
