// Package election decides which member of a cell is its controller: by conditional
// appends to a keyed topic of the platform's log. A claim's offset plus one is the epoch,
// so that no two controllers share one and a later one is higher. The package is pure;
// internal/cell makes the calls.
package election

import (
	"encoding/json"
	"time"

	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
)

// Topic and Key are where claims are.
const (
	Topic = "keyed.control"
	Key   = "controller"
)

// Claim is the record of a controller.
type Claim struct {
	// Node is the name of the controller's machine, Boot its process, Addr where its
	// peers reach it.
	Node string `json:"node"`
	Boot string `json:"boot"`
	Addr string `json:"addr"`
	// Resigned says that the controller of the epoch Former has stopped by itself.
	Resigned      bool  `json:"resigned,omitempty"`
	ResignedEpoch int64 `json:"former,omitempty"`
	// Epoch is the offset of the record plus one.
	Epoch int64 `json:"-"`
}

// Record returns the claim as a record.
func (c Claim) Record() (stream.Record, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return stream.Record{}, structs.NewError(structs.CodeInternal, "claim: %v", err)
	}
	return stream.Record{Key: Key, Value: b}, nil
}

// ParseClaim reads a claim.
func ParseClaim(r stream.Record) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(r.Value, &c); err != nil {
		return Claim{}, structs.NewError(structs.CodeInternal, "claim at %d: %v", r.Offset, err)
	}
	c.Epoch = r.Offset + 1
	return c, nil
}

// View is what a member knows when it considers a claim of its own.
type View struct {
	Now time.Time
	// Newest is the newest claim, the zero value if there is none.
	Newest Claim
	// Self is this member's machine and Boot its process.
	Node, Boot string
	// LeaderLastHeard is when the newest claim's controller was last heard, zero if never;
	// Watched is since when it was listened for, or the office has been vacant.
	LeaderLastHeard time.Time
	WatchedSince    time.Time
	// LeaderProcessEnded says that the controller's process has certainly ended: its machine
	// runs another.
	LeaderProcessEnded bool
	// LeaderHandsOver says that the controller serves only until another claims the
	// office.
	LeaderHandsOver bool
	// LeaderRefusesConnections says that its machine refused or reset the last connections.
	LeaderRefusesConnections bool
	// OtherMembers says how many other members are known, Reached how many of them answer,
	// and OthersHearLeader that one of them hears the controller.
	OtherMembers     int
	ReachedMembers   int
	OthersHearLeader bool
}

// Timing holds the bounds of an election.
type Timing struct {
	// LeaderTimeout is how long a controller may be silent before it is replaced.
	LeaderTimeout time.Duration
	// IsolatedTimeout is the same for a member that reaches no other: the fault may be its own.
	IsolatedTimeout time.Duration
	// ClaimDelay puts off the claims of members that are less fit.
	ClaimDelay time.Duration
}

// LeadershipVacant reports whether the office is to be taken, whoever hears the last controller.
func (v *View) LeadershipVacant() bool {
	return v.Newest.Epoch == 0 || v.Newest.Resigned || v.LeaderProcessEnded || v.LeaderHandsOver
}

// Decision is what to do about the controller.
type Decision uint8

const (
	// Follow the newest claim's controller.
	Follow Decision = iota
	// Wait: nobody may claim yet.
	Wait
	// MakeClaim: append a claim.
	MakeClaim
)

// String names the decision.
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

// Decide says what a member does and when to look again.
func Decide(v View, t Timing) (Decision, time.Time) {
	if v.Newest.Node == v.Node && v.Newest.Boot != v.Boot && !v.Newest.Resigned {
		// An earlier process of this machine held the office: nobody knows better that
		// it has ended.
		return MakeClaim, v.Now
	}
	since := v.WatchedSince
	if v.LeadershipVacant() {
		return after(v.Now, since.Add(t.ClaimDelay))
	}
	if v.LeaderLastHeard.After(since) {
		since = v.LeaderLastHeard
	}
	silence := t.LeaderTimeout
	if v.LeaderRefusesConnections {
		silence = t.LeaderTimeout / 3
	}
	if v.OtherMembers > 0 && v.ReachedMembers == 0 {
		silence = t.IsolatedTimeout
	}
	at := since.Add(silence + t.ClaimDelay)
	if v.Now.Before(at) {
		return Follow, at
	}
	if v.OthersHearLeader {
		return Follow, v.Now.Add(silence)
	}
	return MakeClaim, v.Now
}

// after claims at a time.
func after(now, at time.Time) (Decision, time.Time) {
	if now.Before(at) {
		return Wait, at
	}
	return MakeClaim, now
}
