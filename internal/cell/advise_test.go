package cell

import (
	"context"
	"testing"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// failingAdvisor answers each call with an error.
type failingAdvisor struct{ err error }

func (a failingAdvisor) RequestTickets(context.Context, workload.StepID, []string) ([]workload.Ticket, time.Duration, error) {
	return nil, 0, a.err
}

// TestAdvisorRefusalPassesThroughMember checks that the controller can tell a call that the advisor has refused from
// one that failed, if it was made through another member. It puts the entry off for different times.
func TestAdvisorRefusalPassesThroughMember(t *testing.T) {
	for _, code := range []structs.Code{structs.CodeOverload, structs.CodeUnavailable, structs.CodeUnknown} {
		server := &peerServer{node: &Node{opts: Options{Advisor: failingAdvisor{structs.NewError(code, "refused")}}}}
		resp, err := server.Advise(context.Background(), &cellv1.AdviseRequest{Job: "j", Workers: []string{"w"}})
		if err != nil {
			t.Fatal(err)
		}
		if got := structs.CodeOf(errorFromProto(resp.Error)); got != code {
			t.Errorf("code %q arrives as %q", code, got)
		}
	}
}
