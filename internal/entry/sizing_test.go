package entry

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/scheduler/sizing"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/structs"
)

// newCoreWithLearntUses returns a core that has learnt the usage of a number of
// populations.
func newCoreWithLearntUses(populations int) *core {
	c := &core{e: &Entry{settings: settings.Entry{Packing: settings.Packing{LearnUsage: true}}}, fleet: fleet.New(fleet.Timing{})}
	now := time.Unix(1_700_000_000, 0)
	for k := range populations {
		population := sizing.Population{
			Class:        fmt.Sprintf("reconcile-%d", k),
			DeclaredSize: structs.Resources{CPUMilli: 1500, MemoryMiB: 4096},
		}
		for i := range 50 {
			task := structs.NewTaskID(fmt.Sprintf("casa-1:j%d", k), i)
			c.fleet.Sizer().RecordUsage(now, population, task, structs.Resources{CPUMilli: 1200 + int64(i), MemoryMiB: 3000 + int64(i)}, false)
			c.fleet.Sizer().TaskEnded(task, true)
		}
	}
	return c
}

func TestLearntUsesSurviveEncoding(t *testing.T) {
	from, to := newCoreWithLearntUses(3), newCoreWithLearntUses(0)
	b, err := proto.Marshal(&peerv1.ExchangeRequest{Learnt: from.nextLearntUses()})
	if err != nil {
		t.Fatal(err)
	}
	var got peerv1.ExchangeRequest
	if err := proto.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	to.mergeLearntUses("m1", got.Learnt)
	population := sizing.Population{Class: "reconcile-1", DeclaredSize: structs.Resources{CPUMilli: 1500, MemoryMiB: 4096}}
	limit := structs.Resources{CPUMilli: 16000, MemoryMiB: 64 << 10}
	sent, received := from.fleet.Sizer().Grant(population, limit), to.fleet.Sizer().Grant(population, limit)
	if difference := received.Sub(sent); difference.HasNegative() || !difference.Fits(structs.Resources{CPUMilli: 2, MemoryMiB: 2}) || !received.Fits(structs.Resources{CPUMilli: 1300, MemoryMiB: 3100}) {
		t.Errorf("granted %+v by the received usage, %+v by the sent usage; want at most the rounding to whole units between them", received, sent)
	}
	from.e.settings.Packing.LearnUsage = false
	if list := from.nextLearntUses(); list != nil {
		t.Errorf("%d populations sent although learning is off", len(list))
	}
}

// BenchmarkLearntUsesSummary encodes and applies a summary of summaryPopulations of 64
// populations, and reports its encoded size.
func BenchmarkLearntUsesSummary(b *testing.B) {
	from, to := newCoreWithLearntUses(64), newCoreWithLearntUses(0)
	size := 0
	for b.Loop() {
		m := &peerv1.ExchangeRequest{Learnt: from.nextLearntUses()}
		encoded, err := proto.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
		to.mergeLearntUses("m1", m.Learnt)
	}
	b.ReportMetric(float64(size), "bytes/op")
}
