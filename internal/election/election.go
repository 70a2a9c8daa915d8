// Package election decides which member of a cell is its leader, that is, runs the cell's
// controller. "Leader" and "controller" both mean this member here. Members claim leadership
// by conditional appends to a keyed topic of the platform's log. The epoch of a claim is its
// offset plus one, so that no two controllers share an epoch and a later claim has a higher
// one. A claim reserves the offsets behind it, so that its controller has further fencing tokens
// above its epoch. The package does no I/O; internal/cell makes the calls.
package election

import (
	"encoding/json"
	"time"

	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
)

// Topic and Key are the topic and the key of the claims. ReservationKey is the key of the records that
// take up the offsets behind a claim.
const (
	Topic          = "keyed.control"
	Key            = "controller"
	ReservationKey = "reserved"
)

// Claim is a member's claim to be the controller of a new epoch.
type Claim struct {
	// Node is the name of the claiming instance, Boot identifies its process, and Addr is the
	// address at which other members reach it.
	Node string `json:"node"`
	Boot string `json:"boot"`
	Addr string `json:"addr"`
	// Resigned says that the claim is a resignation: the controller of ResignedEpoch has
	// stopped by itself.
	Resigned      bool  `json:"resigned,omitempty"`
	ResignedEpoch int64 `json:"former,omitempty"`
	// Witnessed says that the claiming member holds its leader lease by the rules of package
	// leaderlease. Earlier programs do not.
	Witnessed bool `json:"witnessed,omitempty"`
	// Epoch is the offset of the record plus one. ParseClaim sets it.
	Epoch int64 `json:"-"`
}

// Record encodes the claim as a record.
func (c Claim) Record() (stream.Record, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return stream.Record{}, structs.NewError(structs.CodeInternal, "encode claim: %v", err)
	}
	return stream.Record{Key: Key, Value: b}, nil
}

// RecordsWithTokens encodes the claim and the reservation of its fencing tokens as the records of one
// append. The claim has a number of tokens: its epoch and those that follow it. Each of these but the
// epoch is taken up by a record that is no claim, which programs without reservations ignore too: their
// next claim has a higher epoch as well.
func (c Claim) RecordsWithTokens(tokens int) ([]stream.Record, error) {
	claim, err := c.Record()
	if err != nil {
		return nil, err
	}
	records := make([]stream.Record, tokens)
	records[0] = claim
	for i := 1; i < tokens; i++ {
		// A record without a value would drop its key.
		records[i] = stream.Record{Key: ReservationKey, Value: []byte("{}")}
	}
	return records, nil
}

// EndOffset returns the offset behind the last record of a claim that has an epoch and a number of
// fencing tokens.
func EndOffset(epoch int64, tokens int) int64 { return epoch - 1 + int64(tokens) }

// ParseClaim decodes a claim from a record. A record that does not name a member is no claim.
func ParseClaim(r stream.Record) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return Claim{}, structs.NewError(structs.CodeInternal, "decode claim at offset %d: %v", r.Offset, err)
	}
	if c.Node == "" || c.Boot == "" || c.Addr == "" {
		return Claim{}, structs.NewError(structs.CodeInternal, "claim at offset %d: no member", r.Offset)
	}
	c.Epoch = r.Offset + 1
	return c, nil
}

// View is what a member knows when it decides whether to claim leadership.
type View struct {
	Now time.Time
	// Newest is the newest claim, the zero value if there is none.
	Newest Claim
	// Node is this member's instance, Boot its process.
	Node, Boot string
	// LeaderLastHeard is when the controller of the newest claim was last heard from, zero if
	// never. WatchedSince is since when this member has been listening for it, or since when
	// leadership has been vacant.
	LeaderLastHeard time.Time
	WatchedSince    time.Time
	// LeaderProcessEnded says that the controller's process has certainly ended, because its
	// instance runs another one.
	LeaderProcessEnded bool
	// LeaderHandsOver says that the controller serves only until another member claims
	// leadership.
	LeaderHandsOver bool
	// LeaderRefusesConnections says that the controller's instance refused or reset the
	// latest connections.
	LeaderRefusesConnections bool
	// OtherMembers is the number of other known members, ReachedMembers the number of those
	// that answer. OthersHearLeader says that one of them hears from the controller.
	OtherMembers     int
	ReachedMembers   int
	OthersHearLeader bool
}

// Timing holds the time limits of an election.
type Timing struct {
	// LeaderTimeout is how long a controller may be silent before it is replaced.
	LeaderTimeout time.Duration
	// RefusedTimeout replaces LeaderTimeout if the controller's instance refuses connections.
	RefusedTimeout time.Duration
	// IsolatedTimeout replaces LeaderTimeout for a member that reaches no other member, since
	// the fault may be its own.
	IsolatedTimeout time.Duration
	// ClaimDelay is added to the time-outs, so that less suitable members claim later.
	ClaimDelay time.Duration
}

// LeadershipVacant reports whether a new controller is needed, even if other members still
// hear from the last one.
func (v *View) LeadershipVacant() bool {
	return v.Newest.Epoch == 0 || v.Newest.Resigned || v.LeaderProcessEnded || v.LeaderHandsOver
}

// Decision is a member's next step in the election.
type Decision uint8

const (
	// Follow means that the member follows the controller of the newest claim.
	Follow Decision = iota
	// Wait means that leadership is vacant, but the member may not claim it yet.
	Wait
	// MakeClaim means that the member appends a claim.
	MakeClaim
)

// String returns the name of the decision.
func (d Decision) String() string {
	switch d {
	case Follow:
		return "follow"
	case Wait:
		return "wait"
	default:
		return "claim"
	}
}

// Decide returns the member's decision and the time at which it has to decide again.
func Decide(v View, t Timing) (Decision, time.Time) {
	if v.Newest.Node == v.Node && v.Newest.Boot != v.Boot && !v.Newest.Resigned {
		// An earlier process of this instance was the controller. This instance knows for
		// certain that the process has ended.
		return MakeClaim, v.Now
	}
	lastHeard := v.WatchedSince
	if v.LeadershipVacant() {
		return claimAt(v.Now, lastHeard.Add(t.ClaimDelay))
	}
	if v.LeaderLastHeard.After(lastHeard) {
		lastHeard = v.LeaderLastHeard
	}
	timeout := t.LeaderTimeout
	if v.LeaderRefusesConnections {
		timeout = t.RefusedTimeout
	}
	if v.OtherMembers > 0 && v.ReachedMembers == 0 {
		timeout = t.IsolatedTimeout
	}
	at := lastHeard.Add(timeout + t.ClaimDelay)
	if v.Now.Before(at) {
		return Follow, at
	}
	if v.OthersHearLeader {
		return Follow, v.Now.Add(timeout)
	}
	return MakeClaim, v.Now
}

// claimAt decides to claim from a time on, and to wait until then.
func claimAt(now, at time.Time) (Decision, time.Time) {
	if now.Before(at) {
		return Wait, at
	}
	return MakeClaim, now
}
