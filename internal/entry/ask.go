package entry

import (
	"time"

	"dotterelhitch/internal/authority"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// ask is a member's question, which goes with a response, whether the caller attests
// it. The caller's next request bears the answer, so that one call a heartbeat serves
// both. The attestation counts from when the ask was made.
type ask struct {
	number int64
	epoch  int64
	at     time.Time
}

// newAsk makes the next ask to a member and returns its number. Earlier ones count
// no more.
func (p *peerState) newAsk(epoch int64, now time.Time) int64 {
	p.asked = ask{number: p.asked.number + 1, epoch: epoch, at: now}
	return p.asked.number
}

// attests reports whether this entry attests a member at an epoch.
func (c *core) attests(epoch int64) bool {
	return c.rights.attester.Attest(epoch) == authority.AttestGranted
}

// answerAsk adds the answer to a member's last ask to a request.
func (c *core) answerAsk(r *peerv1.ExchangeRequest, p *peerState) {
	if p == nil {
		return
	}
	r.RoundTripMicros = uint32(p.roundTrip.Microseconds())
	if p.toAnswer.number > 0 {
		r.Answers = p.toAnswer.number
		r.AnswerAttested = c.attests(p.toAnswer.epoch)
	}
}

// takeAnswer counts the answer to the last ask, if it attests this entry at the epoch
// of the ask.
func (c *core) takeAnswer(r *peerv1.ExchangeRequest, p *peerState) {
	if r.AnswerAttested && p.answers(r) {
		c.rights.authority.ObserveAttestation(r.Member, r.Epoch, p.asked.at)
	}
	if r.RoundTripMicros > 0 {
		p.roundTrip = time.Duration(r.RoundTripMicros) * time.Microsecond
	}
}

// answers reports whether a request answers the last ask, at its epoch.
func (p *peerState) answers(r *peerv1.ExchangeRequest) bool {
	return r.Answers > 0 && r.Answers == p.asked.number && r.Epoch == p.asked.epoch
}

// calls reports whether this entry makes the heartbeat's call to a member of its
// group: the table names one of the two. The other calls too while it hears nothing.
func (c *core) calls(g ownership.Group, m structs.Member, now time.Time) bool {
	if g.InitiatesCalls(c.self(), m.ID) {
		return true
	}
	p := c.peers[m.ID]
	return p != nil && now.Sub(p.heard) > 3*c.e.timing.Heartbeat/2
}
