package entry

import (
	"time"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// attestationRequest is a request for an attestation that a member sends in a heartbeat
// response, where it is called the ask. The calling member answers it in its next
// heartbeat request, so that one call in each heartbeat interval attests both members.
// The attestation is valid from the time when the request was made.
type attestationRequest struct {
	number int64
	epoch  int64
	madeAt time.Time
}

// newAttestationRequest makes the next attestation request to a member and returns its
// number. Answers to earlier ones are ignored from then on.
func (p *peerState) newAttestationRequest(epoch int64, now time.Time) int64 {
	p.sentAttestationRequest = attestationRequest{number: p.sentAttestationRequest.number + 1, epoch: epoch, madeAt: now}
	return p.sentAttestationRequest.number
}

// attests reports whether this entry attests a member at the given epoch.
func (c *core) attests(epoch int64) bool {
	return c.membership.attester.Attest(epoch) == authority.AttestGranted
}

// addAttestationAnswer adds to a heartbeat request the answer to the member's last
// attestation request.
func (c *core) addAttestationAnswer(r *peerv1.ExchangeRequest, p *peerState) {
	if p == nil {
		return
	}
	r.RoundTripMicros = uint32(p.roundTrip.Microseconds())
	if p.receivedAttestationRequest.number > 0 {
		r.Answers = p.receivedAttestationRequest.number
		r.AnswerAttested = c.attests(p.receivedAttestationRequest.epoch)
	}
}

// applyAttestationAnswer counts the answer to this entry's last attestation request, if
// it attests this entry at the epoch of that request. It also stores the round trip that
// the member measured.
func (c *core) applyAttestationAnswer(r *peerv1.ExchangeRequest, p *peerState) {
	if r.AnswerAttested && p.isAnsweredBy(r) {
		c.membership.authority.ObserveAttestation(r.Member, r.Epoch, p.sentAttestationRequest.madeAt)
	}
	if r.RoundTripMicros > 0 {
		p.roundTrip = time.Duration(r.RoundTripMicros) * time.Microsecond
	}
}

// isAnsweredBy reports whether a heartbeat request answers the last attestation request,
// at the epoch of the latter.
func (p *peerState) isAnsweredBy(r *peerv1.ExchangeRequest) bool {
	return r.Answers > 0 && r.Answers == p.sentAttestationRequest.number && r.Epoch == p.sentAttestationRequest.epoch
}

// initiatesHeartbeat reports whether this entry makes the heartbeat call to a member of
// its group. The table names one of the two members; the other one also calls if it has
// heard nothing for 1.5 heartbeat intervals.
func (c *core) initiatesHeartbeat(g ownership.Group, m structs.Member, now time.Time) bool {
	if g.InitiatesCalls(c.self(), m.ID) {
		return true
	}
	p := c.peers[m.ID]
	return p != nil && now.Sub(p.lastHeardAt) > 3*c.e.timing.Heartbeat/2
}
