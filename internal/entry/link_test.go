package entry

import (
	"testing"

	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/scheduler/health"
	"dotterelhitch/internal/settings"
	"dotterelhitch/internal/structs"
)

func TestLinkBytesPerMember(t *testing.T) {
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
		if got := linkBytesPerMember(1200, "casa", tt.members); got != tt.want {
			t.Errorf("%v: %d bytes a second, want %d", tt.members, got, tt.want)
		}
	}
}

func TestAbandonedAttemptDoesNotAffectHealth(t *testing.T) {
	u := dispatch.AttemptReport{Outcome: structs.OutcomeUnknown, Code: structs.CodeDeadline}
	if got := attemptResult(u); got != health.AttemptFailed {
		t.Errorf("unknown outcome: %v, want AttemptFailed", got)
	}
	u.Abandoned = true
	if got := attemptResult(u); got != health.AttemptRefused {
		t.Errorf("abandoned attempt: %v, want AttemptRefused, which does not affect health", got)
	}
}

func TestFenceChecksAuthorityWithoutWorkerFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e := &Entry{settings: settings.Entry{WorkerFencing: fencing}}
		f := (&core{e: e}).endpointFence(7)
		if got := f.CheckAuthority != nil; got == fencing {
			t.Errorf("worker fencing %t: authority checked before a dispatch: %t", fencing, got)
		}
	}
}
