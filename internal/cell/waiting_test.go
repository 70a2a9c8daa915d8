package cell

import (
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/election"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// TestWaitingJobsAreReportedOrUnknown guards against a member that says that no job waits, because the
// controller has sent it orders as its agent, or has answered a call, but has not reported its counts.
func TestWaitingJobsAreReportedOrUnknown(t *testing.T) {
	n := newLargeCellNode(t, 20)
	n.view.applyClaim(election.Claim{Node: "other", Epoch: 7}, clock.Now())
	n.view.recordLeaderMessage(7, true, clock.Now())
	if _, err := n.WaitingJobs(t.Context(), "batch"); structs.CodeOf(err) != structs.CodeUnavailable {
		t.Errorf("without a report: error %v, want unavailable", err)
	}
	n.view.recordLeaderAnswer(7, true, &cellv1.WaitingJobs{ByClass: map[string]int32{"batch": 3}}, clock.Now())
	if got, err := n.WaitingJobs(t.Context(), "batch"); got != 3 || err != nil {
		t.Errorf("%d waiting jobs, error %v; want 3", got, err)
	}
}

// TestAnswerWithoutCountsIsNotZero guards against a member that says that no job waits, because it has
// heard from a new controller that serves but has not counted its jobs yet (MIXED on the large deployment).
func TestAnswerWithoutCountsIsNotZero(t *testing.T) {
	counts := func(byClass map[string]int32) *cellv1.WaitingJobs { return &cellv1.WaitingJobs{ByClass: byClass} }
	for name, c := range map[string]struct {
		resp  *cellv1.HelloResponse
		want  int
		known bool
	}{
		"no counts":                       {&cellv1.HelloResponse{Ready: true}, 0, false},
		"no job waits":                    {&cellv1.HelloResponse{Ready: true, WaitingJobs: counts(nil)}, 0, true},
		"jobs wait":                       {&cellv1.HelloResponse{Ready: true, WaitingJobs: counts(map[string]int32{"batch": 3})}, 3, true},
		"an earlier program's counts":     {&cellv1.HelloResponse{Ready: true, Waiting: map[string]int32{"batch": 2}}, 2, true},
		"an earlier program's, not known": {&cellv1.HelloResponse{Ready: true, Waiting: map[string]int32{}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := newLargeCellNode(t, 20)
			now := clock.Now()
			n.view.applyClaim(election.Claim{Node: "other", Epoch: 7}, now)
			n.view.recordLeaderAnswer(7, c.resp.Ready, reportedCounts(c.resp), now)
			got, known := n.view.waitingJobsOf("batch", now, maxCountsAge)
			if got != c.want || known != c.known {
				t.Errorf("%d jobs, known %v; want %d, %v", got, known, c.want, c.known)
			}
			if _, known := n.view.waitingJobsOf("batch", now.Add(maxCountsAge), maxCountsAge); known {
				t.Error("known although the counts are too old")
			}
		})
	}
}

// TestNewControllerCountsItsJobsBeforeItServes guards against a new controller of a large cell that serves
// before it has counted the jobs which it has read, while it waits for its agents.
func TestNewControllerCountsItsJobsBeforeItServes(t *testing.T) {
	const jobs = 20
	c := newTestCell(t, 3)
	for i := range 110 { // agents are used from 100 workers on
		c.addWorker(fmt.Sprintf("w-%d", i))
	}
	former := c.awaitLeader(10 * time.Second)
	epoch := former.events.ofType(event.AuthorityGained)[0].Epoch
	for i := range jobs {
		job := testJob(fmt.Sprintf("j%d", i))
		job.Steps[0].Size.CPUMilli = 1 << 20 // fits on no worker
		if err := former.Submit(t.Context(), job); err != nil {
			t.Fatal(err)
		}
	}
	others := c.nodesOtherThan(former)
	former.kill()
	next := c.awaitTermAfter(epoch, others...)
	server := &peerServer{node: next.node}
	served := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		resp, err := server.Hello(t.Context(), &cellv1.HelloRequest{From: &cellv1.Member{}})
		if err != nil {
			t.Fatal(err)
		}
		if !resp.Ready {
			continue
		}
		served++
		if resp.WaitingJobs == nil || resp.WaitingJobs.ByClass["batch"] != jobs {
			t.Fatalf("the controller serves and reports %v, want %d waiting jobs", resp.WaitingJobs, jobs)
		}
		time.Sleep(time.Millisecond)
	}
	if served == 0 {
		t.Error("the new controller does not serve")
	}
}
