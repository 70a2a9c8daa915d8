package entry

import (
	"time"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// attestationAsk is a request for an attestation that a member sends in a heartbeat
// response. The calling member answers it in its next heartbeat request, so that one
// call in each heartbeat interval attests both members. The attestation is valid from
// the time when the ask was made.
type attestationAsk struct {
	number int64
	epoch  int64
	madeAt time.Time
}

// newAttestationAsk makes the next ask to a member and returns its number. Answers to
// earlier asks are ignored from then on.
func (p *peerState) newAttestationAsk(epoch int64, now time.Time) int64 {
	p.lastAsk = attestationAsk{number: p.lastAsk.number + 1, epoch: epoch, madeAt: now}
	return p.lastAsk.number
}

// attests reports whether this entry attests a member at the given epoch.
func (c *core) attests(epoch int64) bool {
	return c.membership.attester.Attest(epoch) == authority.AttestGranted
}

// addAttestationAnswer adds the answer to the member's last ask to a heartbeat request
// for it.
func (c *core) addAttestationAnswer(r *peerv1.ExchangeRequest, p *peerState) {
	if p == nil {
		return
	}
	r.RoundTripMicros = uint32(p.roundTrip.Microseconds())
	if p.askToAnswer.number > 0 {
		r.Answers = p.askToAnswer.number
		r.AnswerAttested = c.attests(p.askToAnswer.epoch)
	}
}

// applyAttestationAnswer counts the answer to this entry's last ask as an attestation if
// it attests this entry at the epoch of the ask. It also stores the round trip that the
// member measured.
func (c *core) applyAttestationAnswer(r *peerv1.ExchangeRequest, p *peerState) {
	if r.AnswerAttested && p.isAnsweredBy(r) {
		c.membership.authority.ObserveAttestation(r.Member, r.Epoch, p.lastAsk.madeAt)
	}
	if r.RoundTripMicros > 0 {
		p.roundTrip = time.Duration(r.RoundTripMicros) * time.Microsecond
	}
}

// isAnsweredBy reports whether a request answers the last ask, at the epoch of the ask.
func (p *peerState) isAnsweredBy(r *peerv1.ExchangeRequest) bool {
	return r.Answers > 0 && r.Answers == p.lastAsk.number && r.Epoch == p.lastAsk.epoch
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
