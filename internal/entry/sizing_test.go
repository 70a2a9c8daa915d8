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

// learningCore has learnt of a number of kinds.
func learningCore(kinds int) *core {
	c := &core{e: &Entry{settings: settings.Entry{Packing: settings.Packing{LearnUsage: true}}}, fleet: fleet.New(fleet.Timing{})}
	now := time.Unix(1_700_000_000, 0)
	for k := range kinds {
		kind := sizing.Population{
			Class:        fmt.Sprintf("reconcile-%d", k),
			DeclaredSize: structs.Resources{CPUMilli: 1500, MemoryMiB: 4096},
		}
		for i := range 50 {
			task := structs.NewTaskID(fmt.Sprintf("casa-1:j%d", k), i)
			c.fleet.Sizer().RecordUsage(now, kind, task, structs.Resources{CPUMilli: 1200 + int64(i), MemoryMiB: 3000 + int64(i)}, false)
			c.fleet.Sizer().TaskEnded(task, true)
		}
	}
	return c
}

func TestLearntUseCrossesTheWire(t *testing.T) {
	from, to := learningCore(3), learningCore(0)
	b, err := proto.Marshal(&peerv1.ExchangeRequest{Learnt: from.shareLearnt()})
	if err != nil {
		t.Fatal(err)
	}
	var got peerv1.ExchangeRequest
	if err := proto.Unmarshal(b, &got); err != nil {
		t.Fatal(err)
	}
	to.takeLearnt("m1", got.Learnt)
	kind := sizing.Population{Class: "reconcile-1", DeclaredSize: structs.Resources{CPUMilli: 1500, MemoryMiB: 4096}}
	limit := structs.Resources{CPUMilli: 16000, MemoryMiB: 64 << 10}
	learnt, told := from.fleet.Sizer().Grant(kind, limit), to.fleet.Sizer().Grant(kind, limit)
	if more := told.Sub(learnt); more.HasNegative() || !more.Fits(structs.Resources{CPUMilli: 2, MemoryMiB: 2}) || !told.Fits(structs.Resources{CPUMilli: 1300, MemoryMiB: 3100}) {
		t.Errorf("granted %+v by what was told, %+v by what was learnt; whole units are told", told, learnt)
	}
	from.e.settings.Packing.LearnUsage = false
	if list := from.shareLearnt(); list != nil {
		t.Errorf("told of %d kinds with learning off", len(list))
	}
}

// BenchmarkShareLearnt is one summary of shareKinds of 64 kinds, sent and taken, and its
// size.
func BenchmarkShareLearnt(b *testing.B) {
	from, to := learningCore(64), learningCore(0)
	size := 0
	for b.Loop() {
		m := &peerv1.ExchangeRequest{Learnt: from.shareLearnt()}
		encoded, err := proto.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
		to.takeLearnt("m1", m.Learnt)
	}
	b.ReportMetric(float64(size), "bytes/op")
}
