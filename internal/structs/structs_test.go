package structs

import (
	"errors"
	"fmt"
	"testing"
)

func TestTaskIDRoundTrip(t *testing.T) {
	id := NewTaskID("casa-0:abc#d", 7)
	job, index, err := id.Split()
	if err != nil || job != "casa-0:abc#d" || index != 7 {
		t.Fatalf("Split(%q) = %q, %d, %v", id, job, index, err)
	}
	for _, bad := range []TaskID{"", "x", "x#", "x#-1", "x#y"} {
		if _, _, err := bad.Split(); CodeOf(err) != CodeInvalid {
			t.Errorf("Split(%q): error %v, want code invalid", bad, err)
		}
	}
}

func TestFitsNeedsEveryComponent(t *testing.T) {
	free := Resources{CPUMilli: 1000, MemoryMiB: 512, Accelerators: 1}
	for _, c := range []struct {
		ask  Resources
		want bool
	}{
		{Resources{CPUMilli: 1000, MemoryMiB: 512, Accelerators: 1}, true},
		{Resources{CPUMilli: 1001}, false},
		{Resources{MemoryMiB: 513}, false},
		{Resources{Accelerators: 2}, false},
		{Resources{}, true},
	} {
		if got := c.ask.Fits(free); got != c.want {
			t.Errorf("%+v fits %+v: %v, want %v", c.ask, free, got, c.want)
		}
	}
}

func TestAsErrorKeepsTheTypeThroughWrapping(t *testing.T) {
	err := fmt.Errorf("placing: %w", NewError(CodeQuota, "team %s", "a"))
	if CodeOf(err) != CodeQuota {
		t.Errorf("code %q, want quota", CodeOf(err))
	}
	if CodeOf(errors.New("x")) != CodeInternal || CodeOf(nil) != "" {
		t.Error("an untyped error must be internal, nil must have no code")
	}
}

func TestCountIn(t *testing.T) {
	const most = 64
	for name, c := range map[string]struct {
		size, free Resources
		want       int64
	}{
		"processor binds": {Resources{CPUMilli: 300, MemoryMiB: 1}, Resources{CPUMilli: 1000, MemoryMiB: 100}, 3},
		"memory binds":    {Resources{CPUMilli: 1, MemoryMiB: 60}, Resources{CPUMilli: 1000, MemoryMiB: 100}, 1},
		"none is left":    {Resources{Accelerators: 1}, Resources{CPUMilli: 1000}, 0},
		"takes nothing":   {Resources{}, Resources{}, most},
		"overfull":        {Resources{CPUMilli: 100}, Resources{CPUMilli: -250}, -2},
	} {
		if got := c.size.FitCount(c.free, most); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
