package entry

import "dotterelhitch/internal/structs"

// instanceCatalog is what an entry keeps of the platform's list: the workers that it may
// own in full, of all others the kind only.
type instanceCatalog struct {
	ownable map[string]structs.Worker
	kindOf  map[string]*kindCount
	// kindCounts holds each kind once.
	kindCounts map[workerKind]*kindCount
	// interned holds each region, domain and rack once.
	interned map[string]string
}

// workerKind is what counts of a worker that this entry can't own.
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

// put takes a worker as the list has it now; keep says whether it is kept in full.
func (l *instanceCatalog) put(w structs.Worker, ownable bool) {
	w.Region = l.intern(w.Region)
	l.setKind(w.ID, workerKind{region: w.Region, size: w.Size, terminated: w.State == structs.WorkerGone})
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

// intern returns the one copy of a name that many workers share.
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

// ownershipFields returns what ownership needs of a worker, which is known of every one.
func (l *instanceCatalog) ownershipFields(id string) structs.Worker {
	w := structs.Worker{ID: id}
	if k := l.kindOf[id]; k != nil {
		w.Region = k.region
	}
	return w
}

// fitsSomeWorker reports whether some worker that is not gone could hold a task of a size.
func (l *instanceCatalog) fitsSomeWorker(size structs.Resources) bool {
	for k, n := range l.kindCounts {
		if n.workers > 0 && !k.terminated && size.Fits(k.size) {
			return true
		}
	}
	return false
}

// dropDetails keeps no more than the kind of the workers of some regions.
func (l *instanceCatalog) dropDetails(inRegion func(region string) bool) {
	for id, w := range l.ownable {
		if inRegion(w.Region) {
			delete(l.ownable, id)
		}
	}
}

// lacksDetails reports whether workers of a region that is to be kept are not.
func (l *instanceCatalog) lacksDetails(wanted func(region string) bool) bool {
	for id, k := range l.kindOf {
		if _, ok := l.ownable[id]; !ok && wanted(k.region) {
			return true
		}
	}
	return false
}
