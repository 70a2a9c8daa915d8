package workersvc

import (
	"testing"
	"time"

	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/worker"
)

// withMemory is withWorker with a worker of 4 cores and 1,000 MiB.
func withMemory(t *testing.T, f func(h *harness)) {
	withSize(t, structs.Resources{CPUMilli: 4000, MemoryMiB: 1000}, f)
}

func TestTrueUseDoesNotDependOnTheGrant(t *testing.T) {
	withMemory(t, func(h *harness) {
		ref := h.start("g:j#0", time.Minute, time.Hour, "use:cpu=2500,mem=300")
		h.wait(250 * time.Millisecond)
		if got, want := h.info(ref).Usage, (structs.Resources{CPUMilli: 2500, MemoryMiB: 300}); got != want {
			t.Errorf("usage %+v of a grant of 1000, want %+v", got, want)
		}
	})
	u := parseUse("cpu=1000,mem=1000,spread=0.5,seed=7")
	if u.draw("g:a#3") != u.draw("g:b#3") || u.draw("g:a#3") == u.draw("g:a#4") {
		t.Error("the use is not drawn by seed and index")
	}
}

func TestProcessorsAreShared(t *testing.T) {
	withMemory(t, func(h *harness) {
		first := h.start("g:j#0", time.Second, time.Hour, "use:cpu=4000,mem=1")
		second := h.start("g:j#1", time.Second, time.Hour, "use:cpu=4000,mem=1")
		h.wait(1900 * time.Millisecond)
		for _, ref := range []worker.TaskRef{first, second} {
			if info := h.info(ref); info.State != structs.AllocRunning || info.Usage.CPUMilli != 2000 {
				t.Errorf("after 1.9 s at half speed: %+v", info)
			}
		}
		h.wait(200 * time.Millisecond)
		if info := h.info(second); info.State != structs.AllocComplete {
			t.Errorf("after 2.1 s at half speed: %+v", info)
		}
	})
}

func TestThrottleHoldsTrueUseAndShows(t *testing.T) {
	withMemory(t, func(h *harness) {
		ref := h.start("g:j#0", time.Second, time.Hour, "use:cpu=2000,mem=1")
		throttle := func(percent int) {
			t.Helper()
			out, err := h.Throttle(worker.ThrottleRequest{CommandHeader: owner, Tasks: []worker.TaskThrottle{{TaskRef: ref, CPUPercent: percent}}})
			if err != nil || out.Results[0].Error != nil {
				t.Fatal(out, err)
			}
			h.wait(250 * time.Millisecond)
		}
		throttle(99)
		if info := h.info(ref); info.Usage.CPUMilli != 990 || info.CPUPercent != 99 {
			t.Errorf("throttled to a grant of 1000: %+v", info)
		}
		throttle(100)
		if info := h.info(ref); info.Usage.CPUMilli != 2000 || info.CPUPercent != 0 {
			t.Errorf("throttle lifted: %+v", info)
		}
	})
}

func TestMemoryRunsOut(t *testing.T) {
	withMemory(t, func(h *harness) {
		modest := h.start("g:j#0", time.Minute, time.Hour, "use:cpu=1,mem=100")
		greedy := h.start("g:j#1", time.Minute, time.Hour, "use:cpu=1,mem=1200,grow=1000")
		h.wait(700 * time.Millisecond)
		if info := h.info(greedy); info.State != structs.AllocRunning || info.Usage.MemoryMiB < 600 {
			t.Errorf("after 0.7 s: %+v", info)
		}
		h.wait(200 * time.Millisecond)
		if info := h.info(greedy); !info.OutOfMemory() || info.Usage.MemoryMiB < 900 {
			t.Errorf("with 900 MiB left: %+v", info)
		}
		if info := h.info(modest); info.State != structs.AllocRunning {
			t.Errorf("the task within its grant: %+v", info)
		}
	})
}
