package baseline

import (
	"math/rand/v2"
	"testing"
)

func TestQueueFollowsArrivalOrderAndSlots(t *testing.T) {
	q := NewQueue[int](rand.New(rand.NewPCG(1, 1)), 2, 1)
	for i := range 5 {
		q.Add(i)
	}
	if !q.Remove(1) || q.Remove(1) {
		t.Fatal("Remove")
	}
	busy := map[int]bool{}
	for _, want := range []int{0, 2} {
		r, endpoint, ok := q.Next()
		if !ok || r != want || busy[endpoint] {
			t.Fatalf("request %d at %d, %v", r, endpoint, ok)
		}
		busy[endpoint] = true
	}
	if _, _, ok := q.Next(); ok {
		t.Fatal("Next returned more requests than there are slots")
	}
	q.Done(1)
	if r, endpoint, ok := q.Next(); !ok || r != 3 || endpoint != 1 {
		t.Fatalf("request %d at %d, %v", r, endpoint, ok)
	}
}
