package entry

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/structs"
)

func TestInstancesKeepKindsOfOthers(t *testing.T) {
	l := newInstances()
	small := structs.Resources{CPUMilli: 1000, MemoryMiB: 1024}
	large := structs.Resources{CPUMilli: 8000, MemoryMiB: 8192}
	l.put(structs.Worker{ID: "a", Region: "casa", Size: small, State: structs.WorkerLive}, true)
	l.put(structs.Worker{ID: "b", Region: "fes", Size: large, State: structs.WorkerLive}, false)
	if l.len() != 2 || len(l.kept) != 1 || l.kept["a"].Size != small {
		t.Errorf("%d listed, kept %v", l.len(), l.kept)
	}
	if got := l.place("b"); got.Region != "fes" {
		t.Errorf("region of b: %q", got.Region)
	}
	if !l.fits(large) {
		t.Error("a large task fits the worker of the other region")
	}
	l.put(structs.Worker{ID: "b", Region: "fes", Size: large, State: structs.WorkerRemoved}, false)
	if l.fits(large) || !l.fits(small) {
		t.Error("only the small worker is left")
	}
	all := func(string) bool { return true }
	if !l.lacks(all) || l.lacks(func(region string) bool { return region == "casa" }) {
		t.Error("the worker of fes is not kept, the one of casa is")
	}
	l.drop(all)
	if len(l.kept) != 0 || l.len() != 2 {
		t.Errorf("after a drop of all: %v kept of %d", l.kept, l.len())
	}
}

// owned returns the number of workers that an entry owns.
func (e *Entry) owned() (n int) {
	e.do(func() { n = len(e.core.fleet.Workers()) })
	return n
}

// TestRegionWithoutMembers has the only entry of the workers' region leave: the entry
// of another region, which did not keep its workers, gains all of them, and loses them
// to the next entry of that region.
func TestRegionWithoutMembers(t *testing.T) {
	const workers = 6
	c := newTestCell(t, 0)
	log := "http://" + c.cell.Addr(standin.LogName)
	casa := c.startIn("casa", log, func(*Entry) {})
	fes := c.startIn("fes", log, func(*Entry) {})
	c.awaitReady()
	c.await("casa's workers", func() bool { return casa.owned() == workers && fes.owned() == 0 })
	fes.do(func() {
		if n := len(fes.core.instances.kept); n != 0 {
			t.Errorf("fes keeps %d workers of casa", n)
		}
	})
	casa.Leave()
	c.await("casa's workers in fes", func() bool { return fes.owned() == workers })
	next := c.startIn("casa", log, func(*Entry) {})
	c.await("casa's workers back", func() bool { return next.owned() == workers && fes.owned() == 0 })
}

// BenchmarkInstances reports the heap that a listed worker takes, of a list of three
// regions of which one is kept.
func BenchmarkInstances(b *testing.B) {
	const workers = 13_000
	for range b.N {
		before := heap()
		l := newInstances()
		for i := range workers {
			region := fmt.Sprintf("region-%d", i%3)
			l.put(listed(b, i, region), region == "region-0")
		}
		b.ReportMetric(float64(heap()-before)/workers, "B/worker")
		runtime.KeepAlive(l)
	}
}

// listed is a worker as it is decoded from the list.
func listed(b *testing.B, i int, region string) structs.Worker {
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

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
