package scheduler

import (
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

func TestRunningSlack(t *testing.T) {
	within := func(start, finish time.Duration) structs.Target {
		return structs.Target{StartWithin: structs.Duration(start), FinishWithin: structs.Duration(finish)}
	}
	for _, c := range []struct {
		name    string
		target  structs.Target
		atStart time.Duration
		want    time.Duration
	}{
		{"a late start counts with the whole width", within(time.Minute, 0), -time.Hour, time.Minute},
		{"a finish target counts with what is left", within(0, time.Hour), 5 * time.Minute, 5 * time.Minute},
		{"a late finish has none left", within(time.Minute, time.Hour), -time.Second, -time.Second},
		{"the nearer of both counts", within(time.Minute, time.Hour), 5 * time.Minute, time.Minute},
		{"no target", structs.Target{}, 0, DefaultStartWithin},
	} {
		if got := RunningSlack(c.target, c.atStart); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestNoTwoTasksEvictEachOther(t *testing.T) {
	slacks := []time.Duration{-time.Hour, 0, time.Second, 8 * time.Second, time.Minute, 8 * time.Minute, 64 * time.Hour}
	for _, a := range slacks {
		for _, b := range slacks {
			if SlackAllowsEviction(a, b) && SlackAllowsEviction(b, a) {
				t.Errorf("slacks %v and %v evict each other", a, b)
			}
		}
	}
	if !SlackAllowsEviction(time.Hour, -time.Minute) || SlackAllowsEviction(7*time.Second, 0) {
		t.Error("late work evicts what has at least eight times the least slack, and nothing else")
	}
}
