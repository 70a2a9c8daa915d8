package entry

import "dotterelhitch/internal/structs"

// instanceCatalog is an entry's copy of the platform's list of workers. To save memory
// it has the full record only of the workers that the entry may own; of all others it
// has just the kind.
type instanceCatalog struct {
	// ownable has the full records of the workers that the entry may own, by ID.
	ownable map[string]structs.Worker
	// kindOf has the kind of every listed worker, by ID.
	kindOf map[string]*kindCount
	// kindCounts has one entry for each kind.
	kindCounts map[workerKind]*kindCount
	// interned has one copy of each region, domain, rack and state name.
	interned map[string]string
}

// workerKind has the fields that matter of a worker that this entry can't own.
type workerKind struct {
	region     string
	size       structs.Resources
	terminated bool
}

type kindCount struct {
	workerKind
	workers int
}

func newInstanceCatalog() *instanceCatalog {
	return &instanceCatalog{
		ownable:    map[string]structs.Worker{},
		kindOf:     map[string]*kindCount{},
		kindCounts: map[workerKind]*kindCount{},
		interned:   map[string]string{},
	}
}

// put adds or updates a worker. ownable says whether the full record is stored.
func (l *instanceCatalog) put(w structs.Worker, ownable bool) {
	w.Region = l.intern(w.Region)
	l.setKind(w.ID, workerKind{region: w.Region, size: w.Size, terminated: w.State == structs.WorkerRemoved})
	if !ownable {
		delete(l.ownable, w.ID)
		return
	}
	w.Domain = l.intern(w.Domain)
	w.Rack = l.intern(w.Rack)
	w.State = structs.WorkerState(l.intern(string(w.State)))
	l.ownable[w.ID] = w
}

func (l *instanceCatalog) setKind(id string, k workerKind) {
	if old := l.kindOf[id]; old != nil {
		old.workers--
	}
	n := l.kindCounts[k]
	if n == nil {
		n = &kindCount{workerKind: k}
		l.kindCounts[k] = n
	}
	n.workers++
	l.kindOf[id] = n
}

// intern returns the shared copy of a name.
func (l *instanceCatalog) intern(s string) string {
	if shared, ok := l.interned[s]; ok {
		return shared
	}
	l.interned[s] = s
	return s
}

func (l *instanceCatalog) len() int { return len(l.kindOf) }

// has reports whether a worker is listed.
func (l *instanceCatalog) has(id string) bool { return l.kindOf[id] != nil }

// ownershipFields returns a worker with only the fields that determine its owner, ID and
// region. They are known of every listed worker.
func (l *instanceCatalog) ownershipFields(id string) structs.Worker {
	w := structs.Worker{ID: id}
	if k := l.kindOf[id]; k != nil {
		w.Region = k.region
	}
	return w
}

// fitsSomeWorker reports whether some worker that has not terminated could hold a task
// of the given size if it were empty.
func (l *instanceCatalog) fitsSomeWorker(size structs.Resources) bool {
	for k, n := range l.kindCounts {
		if n.workers > 0 && !k.terminated && size.Fits(k.size) {
			return true
		}
	}
	return false
}

// dropDetails drops the full records of the workers in some regions and keeps their
// kinds.
func (l *instanceCatalog) dropDetails(inRegion func(region string) bool) {
	for id, w := range l.ownable {
		if inRegion(w.Region) {
			delete(l.ownable, id)
		}
	}
}

// lacksDetails reports whether the full record of some worker in a wanted region is
// missing.
func (l *instanceCatalog) lacksDetails(wanted func(region string) bool) bool {
	for id, k := range l.kindOf {
		if _, ok := l.ownable[id]; !ok && wanted(k.region) {
			return true
		}
	}
	return false
}
