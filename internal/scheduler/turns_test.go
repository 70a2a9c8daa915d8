package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestTurnsFollowTheQueueAndRememberLateWork(t *testing.T) {
	var turns JobSorter
	q := NewQueue()
	var list []JobSortKey
	for i := range 8 {
		for _, slack := range []time.Duration{-time.Minute, time.Minute} {
			it := item(fmt.Sprintf("j%d%v", i, slack), slack*time.Duration(i+1))
			q.Push(it)
			list = append(list, JobSortKey{LatestStart: it.LatestStart, AcceptedAt: it.AcceptedAt, Job: it.Job})
		}
	}
	var got []string
	for _, turn := range turns.Order(epoch, 0, list) {
		got = append(got, turn.Job)
	}
	if want := fmt.Sprint(drain(q, epoch)); fmt.Sprint(got) != want {
		t.Errorf("order %v, the queue's is %s", got, want)
	}
	late := 0
	for range 8 { // only the first of each order is used
		if turns.Order(epoch, 1, list)[0].LatestStart.Before(epoch) {
			late++
		}
	}
	if late != 2 {
		t.Errorf("%d of 8 first turns for late work, want 2", late)
	}
}
