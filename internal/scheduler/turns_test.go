package scheduler

import (
	"fmt"
	"testing"
	"time"
)

func TestJobSorterMatchesQueueAndCountsLatePicks(t *testing.T) {
	var sorter JobSorter
	q := NewQueue()
	var list []JobSortKey
	for i := range 8 {
		for _, slack := range []time.Duration{-time.Minute, time.Minute} {
			it := newJob(fmt.Sprintf("j%d%v", i, slack), slack*time.Duration(i+1))
			q.Push(it)
			list = append(list, JobSortKey{LatestStart: it.LatestStart, AcceptedAt: it.AcceptedAt, Job: it.Job})
		}
	}
	var got []string
	for _, key := range sorter.Order(epoch, 0, list) {
		got = append(got, key.Job)
	}
	if want := fmt.Sprint(startAll(q, epoch)); fmt.Sprint(got) != want {
		t.Errorf("order %v, want the queue's order %s", got, want)
	}
	late := 0
	for range 8 { // only the first job of each order is handled
		if sorter.Order(epoch, 1, list)[0].LatestStart.Before(epoch) {
			late++
		}
	}
	if late != 2 {
		t.Errorf("a late job was first in %d of 8 orders, want 2", late)
	}
}
