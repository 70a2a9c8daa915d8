package entry

import (
	"testing"

	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/scheduler/health"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/structs"
)

func TestLinkShare(t *testing.T) {
	casa, fes := structs.Member{Region: "casa"}, structs.Member{Region: "fes"}
	for _, tt := range []struct {
		members []structs.Member
		want    int
	}{
		{nil, 1200},
		{[]structs.Member{casa}, 1200},
		{[]structs.Member{casa, fes, casa, fes}, 600},
		{[]structs.Member{fes, fes}, 1200},
	} {
		if got := linkShare(1200, "casa", tt.members); got != tt.want {
			t.Errorf("%v: %d bytes a second, want %d", tt.members, got, tt.want)
		}
	}
}

func TestAbandonedAttemptSaysNothingOfItsWorker(t *testing.T) {
	u := dispatch.AttemptReport{Outcome: structs.OutcomeUnknown, Code: structs.CodeDeadline}
	if got := resultOf(u); got != health.AttemptFailed {
		t.Errorf("unknown outcome: %v, want a failure", got)
	}
	u.Abandoned = true
	if got := resultOf(u); got != health.AttemptRefused {
		t.Errorf("abandoned attempt: %v, want nothing learnt", got)
	}
}

func TestFenceChecksAuthorityWithoutWorkerFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e := &Entry{settings: settings.Entry{WorkerFencing: fencing}}
		f := (&core{e: e}).fence(7)
		if got := f.CheckAuthority != nil; got == fencing {
			t.Errorf("worker fencing %t: authority checked before a dispatch: %t", fencing, got)
		}
	}
}
