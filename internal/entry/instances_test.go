package entry

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

func TestCatalogKeepsOnlyKindsOfForeignWorkers(t *testing.T) {
	l := newInstanceCatalog()
	small := structs.Resources{CPUMilli: 1000, MemoryMiB: 1024}
	large := structs.Resources{CPUMilli: 8000, MemoryMiB: 8192}
	l.put(structs.Worker{ID: "a", Region: "casa", Size: small, State: structs.WorkerLive}, true)
	l.put(structs.Worker{ID: "b", Region: "fes", Size: large, State: structs.WorkerLive}, false)
	if l.len() != 2 || len(l.ownable) != 1 || l.ownable["a"].Size != small {
		t.Errorf("%d listed, full records %v", l.len(), l.ownable)
	}
	if got := l.ownershipFields("b"); got.Region != "fes" {
		t.Errorf("region of b: %q", got.Region)
	}
	if !l.fitsSomeWorker(large) {
		t.Error("a large task does not fit the worker of the other region")
	}
	l.put(structs.Worker{ID: "b", Region: "fes", Size: large, State: structs.WorkerRemoved}, false)
	if l.fitsSomeWorker(large) || !l.fitsSomeWorker(small) {
		t.Error("tasks must fit the small worker only, since the large one has terminated")
	}
	all := func(string) bool { return true }
	if !l.lacksDetails(all) || l.lacksDetails(func(region string) bool { return region == "casa" }) {
		t.Error("only the full record of the worker of fes must be missing")
	}
	l.dropDetails(all)
	if len(l.ownable) != 0 || l.len() != 2 {
		t.Errorf("after dropping all details: full records %v, %d listed", l.ownable, l.len())
	}
}

// ownedWorkers returns the number of workers that an entry owns.
func (e *Entry) ownedWorkers() (n int) {
	e.runOnControl(func() { n = len(e.core.fleet.Workers()) })
	return n
}

// TestRegionWithoutMembers removes the only entry of the workers' region. The entry of
// the other region has no full records of those workers; it must gain all of them, and
// lose them to the next entry of their region.
func TestRegionWithoutMembers(t *testing.T) {
	const workers = 6
	c := newTestCell(t, 0)
	log := "http://" + c.cell.Addr(standin.LogName)
	casa := c.startInRegion("casa", log, func(*Entry) {})
	fes := c.startInRegion("fes", log, func(*Entry) {})
	c.awaitReady()
	c.await("casa's workers", func() bool { return casa.ownedWorkers() == workers && fes.ownedWorkers() == 0 })
	fes.runOnControl(func() {
		if n := len(fes.core.instances.ownable); n != 0 {
			t.Errorf("fes has the full records of %d workers of casa", n)
		}
	})
	casa.Leave()
	c.await("casa's workers in fes", func() bool { return fes.ownedWorkers() == workers })
	next := c.startInRegion("casa", log, func(*Entry) {})
	c.await("casa's workers owned by casa again", func() bool { return next.ownedWorkers() == workers && fes.ownedWorkers() == 0 })
}

// BenchmarkInstanceCatalog reports the heap size of one listed worker. The list has
// three regions, and the full records of one region are stored.
func BenchmarkInstanceCatalog(b *testing.B) {
	const workers = 13_000
	for range b.N {
		before := heapAlloc()
		l := newInstanceCatalog()
		for i := range workers {
			region := fmt.Sprintf("region-%d", i%3)
			l.put(decodedWorker(b, i, region), region == "region-0")
		}
		b.ReportMetric(float64(heapAlloc()-before)/workers, "B/worker")
		runtime.KeepAlive(l)
	}
}

// decodedWorker returns a worker decoded from JSON, like those read from the platform's
// list.
func decodedWorker(b *testing.B, i int, region string) structs.Worker {
	b.Helper()
	text, err := json.Marshal(structs.Worker{
		ID: fmt.Sprintf("%s-1-w%d", region, i), Addr: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
		Region: region, Domain: region + "-1", Rack: fmt.Sprintf("%s-1-r%d", region, i/24),
		Size: structs.Resources{CPUMilli: 16_000, MemoryMiB: 65_536}, Slots: 8, Connections: 64,
		State: structs.WorkerLive,
	})
	if err != nil {
		b.Fatal(err)
	}
	var w structs.Worker
	if err := json.Unmarshal(text, &w); err != nil {
		b.Fatal(err)
	}
	return w
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
