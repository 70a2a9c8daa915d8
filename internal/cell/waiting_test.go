package cell

import (
	"testing"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/election"
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
	n.view.recordLeaderAnswer(7, true, map[string]int32{"batch": 3}, clock.Now())
	if got, err := n.WaitingJobs(t.Context(), "batch"); got != 3 || err != nil {
		t.Errorf("%d waiting jobs, error %v; want 3", got, err)
	}
}
