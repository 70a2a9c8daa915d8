package load

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/standin/workersvc"
	"dotterelhitch/internal/structs"
)

// TestBaselineQueuesAndAnswers has more requests than slots: all are answered, with their
// own bodies, and one whose deadline passes in the queue is not run.
func TestBaselineQueuesAndAnswers(t *testing.T) {
	w := workersvc.New(workersvc.Config{
		Worker:      structs.Worker{ID: "w0", Slots: 2},
		ServiceTime: 5 * time.Millisecond,
	})
	server := httptest.NewServer(w)
	defer server.Close()
	b := NewBaseline([]string{strings.TrimPrefix(server.URL, "http://")}, 2, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var all sync.WaitGroup
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		all.Go(func() {
			body := []byte(id)
			a := b.Request(ctx, structs.Request{ID: id, Class: "lookups", Body: body})
			if a.Outcome != structs.OutcomeAnswered || !bytes.Equal(a.Body, workersvc.Answer(body)) {
				t.Errorf("%s: %s %q %v", id, a.Outcome, a.Body, a.Err)
			}
		})
	}
	all.Wait()
	none := NewBaseline([]string{"127.0.0.1:1"}, 0, 1)
	ended, end := context.WithCancel(ctx)
	end()
	if a := none.Request(ended, structs.Request{ID: "late"}); a.Outcome != structs.OutcomeNotRun {
		t.Errorf("outcome %s of a request that got no slot", a.Outcome)
	}
}
