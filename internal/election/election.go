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
	Resigned bool  `json:"resigned,omitempty"`
	Former   int64 `json:"former,omitempty"`
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
	// LeaderHeard is when the newest claim's controller was last heard, zero if never;
	// Watched is since when it was listened for, or the office has been vacant.
	LeaderHeard time.Time
	Watched     time.Time
	// LeaderGone says that the controller's process has certainly ended: its machine
	// runs another.
	LeaderGone bool
	// LeaderLeaving says that the controller serves only until another claims the
	// office.
	LeaderLeaving bool
	// LeaderRefused says that its machine refused or reset the last connections.
	LeaderRefused bool
	// Others says how many other members are known, Reached how many of them answer,
	// and OthersHear that one of them hears the controller.
	Others     int
	Reached    int
	OthersHear bool
}

// Timing holds the bounds of an election.
type Timing struct {
	// Silence is how long a controller may be silent before it is replaced.
	Silence time.Duration
	// Alone is the same for a member that reaches no other: the fault may be its own.
	Alone time.Duration
	// Handicap puts off the claims of members that are less fit.
	Handicap time.Duration
}

// Vacant reports whether the office is to be taken, whoever hears the last controller.
func (v *View) Vacant() bool {
	return v.Newest.Epoch == 0 || v.Newest.Resigned || v.LeaderGone || v.LeaderLeaving
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
	since := v.Watched
	if v.Vacant() {
		return after(v.Now, since.Add(t.Handicap))
	}
	if v.LeaderHeard.After(since) {
		since = v.LeaderHeard
	}
	silence := t.Silence
	if v.LeaderRefused {
		silence = t.Silence / 3
	}
	if v.Others > 0 && v.Reached == 0 {
		silence = t.Alone
	}
	at := since.Add(silence + t.Handicap)
	if v.Now.Before(at) {
		return Follow, at
	}
	if v.OthersHear {
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
