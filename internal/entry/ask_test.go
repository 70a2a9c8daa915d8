package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/standin"
)

func TestOnlyLastAttestationRequestIsAnswered(t *testing.T) {
	p := &peerState{}
	now := time.Now()
	first := p.newAttestationRequest(7, now)
	second := p.newAttestationRequest(8, now.Add(time.Second))
	for _, tt := range []struct {
		name string
		r    *peerv1.ExchangeRequest
		want bool
	}{
		{"no answer", &peerv1.ExchangeRequest{Epoch: 8}, false},
		{"an earlier ask", &peerv1.ExchangeRequest{Answers: first, Epoch: 7}, false},
		{"an earlier ask at the present epoch", &peerv1.ExchangeRequest{Answers: first, Epoch: 8}, false},
		{"another epoch", &peerv1.ExchangeRequest{Answers: second, Epoch: 9}, false},
		{"an ask that was not made", &peerv1.ExchangeRequest{Answers: second + 1, Epoch: 8}, false},
		{"the last ask", &peerv1.ExchangeRequest{Answers: second, Epoch: 8}, true},
	} {
		if got := p.isAnsweredBy(tt.r); got != tt.want {
			t.Errorf("%s: counts %t, want %t", tt.name, got, tt.want)
		}
	}
}

// TestHeartbeatCallAttestsBothMembers stops the log. Every member of a group must keep
// its authority through attestations, whether it makes or receives the heartbeat calls.
func TestHeartbeatCallAttestsBothMembers(t *testing.T) {
	c := newTestCell(t, 3)
	c.awaitReady()
	url := "http://" + c.cell.Addr(standin.LogName) + "/admin/faults"
	resp, err := http.Post(url, "application/json", strings.NewReader(`{"outage":"refuse"}`))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("outage: %v, %v", resp, err)
	}
	resp.Body.Close()
	for _, e := range c.entries {
		c.await("authority more than two authority bounds after the last read of the log", func() (authorized bool) {
			e.runOnControl(func() {
				now := time.Now()
				authorized = now.Sub(e.core.controlTailReadAt) > 2*e.timing.Authority && e.core.mayGrant(now)
			})
			return authorized
		})
	}
}
