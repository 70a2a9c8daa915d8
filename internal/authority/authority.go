// Package authority determines how long a member may act as the owner of what the
// membership table assigns to it, who may change the table, and when a new owner may
// treat the permissions of an old owner as expired.
//
// Three rules work together; the model tests of this package print which conflict
// arises if one of them is missing:
//
//   - Authority is valid for a bounded time from the start of a call that showed the
//     table to be unchanged: a read of the log's tail, or attestations by a quorum of
//     the group at the same epoch.
//   - A change of the table needs the consent of a quorum of each group that it
//     affects; a member that has consented never attests the old epoch again.
//   - A new owner waits for the old owner's release, or for the authority validity
//     plus a clock margin from when it read the change.
//
// A lease on the right to act, whose term the holder counts from before its request, is
// due to Gray and Cheriton, "Leases", 1989. All types are plain state that receives the
// time as an argument. They are used by one control goroutine and are not safe for
// concurrent use.
package authority

import (
	"slices"
	"time"
)

// Config contains the time bounds of the rules. All members must use the same values.
type Config struct {
	// AuthorityValidity is how long authority is valid from the start of the call that
	// confirmed it.
	AuthorityValidity time.Duration
	// ClockMargin covers the difference between the clock rates of two members over a
	// wait.
	ClockMargin time.Duration
	// MaxTaskLease is the maximum duration of a task lease.
	MaxTaskLease time.Duration
}

// TailRead is a read of the tail of the control stream, made by this member or relayed
// by another one.
type TailRead struct {
	// Start is when the call began, by this member's monotonic clock. For a relayed
	// read, it is the start of the call to the relaying member minus the age that
	// member stated.
	Start time.Time
	// NextOffset is the offset after the last record in the log at the time of the
	// read.
	NextOffset int64
	// AppliedOffset is the offset of the last record that this member has applied.
	AppliedOffset int64
	// Epoch is the epoch of the table after those records.
	Epoch int64
}

// complete reports whether all records that existed at the time of the read have been
// applied.
func (r TailRead) complete() bool { return r.AppliedOffset+1 >= r.NextOffset }

// Authority is a member's right to renew leases and to permit keyed requests.
type Authority struct {
	cfg      Config
	self     string
	attester *Attester

	epoch int64
	// group contains the sorted IDs of the member's group, and is empty outside the
	// table.
	group []string
	// lastTailRead is the start of the latest tail read at epoch, zero if there is
	// none.
	lastTailRead time.Time
	// lastAttestations are the starts of the latest attestations at epoch, by index in
	// group.
	lastAttestations []time.Time
}

// New returns the authority of a member that is not in the table yet. attester must be
// the member's own; it counts as that of one member of the group.
func New(cfg Config, self string, attester *Attester) *Authority {
	return &Authority{cfg: cfg, self: self, attester: attester}
}

// SetTable sets the epoch of a new table and the sorted IDs of the member's group,
// which is empty if the member is not in the table. Observations at the old epoch no
// longer count.
func (a *Authority) SetTable(epoch int64, group []string) {
	a.epoch = epoch
	a.group = slices.Clone(group)
	a.lastTailRead = time.Time{}
	a.lastAttestations = make([]time.Time, len(group))
}

// ObserveTail processes a read of the log's tail. A read that showed records not
// applied yet is ignored.
func (a *Authority) ObserveTail(read TailRead) {
	if read.Epoch != a.epoch || !read.complete() || !slices.Contains(a.group, a.self) {
		return
	}
	if read.Start.After(a.lastTailRead) {
		a.lastTailRead = read.Start
	}
}

// ObserveAttestation processes an attestation of this member by member from at an
// epoch, in answer to a call that began at start.
func (a *Authority) ObserveAttestation(from string, epoch int64, start time.Time) {
	if epoch != a.epoch {
		return
	}
	i := slices.Index(a.group, from)
	if i >= 0 && start.After(a.lastAttestations[i]) {
		a.lastAttestations[i] = start
	}
}

// ConfirmedAt returns the latest time at which this member's epoch was certainly the
// current one, that is, at which the log contained no later change. It is zero if the
// member has no authority at now. A conclusion that an owner draws from elapsed time,
// such as that a lease has ended, must have been true at ConfirmedAt: a newer owner may
// have acted after it.
func (a *Authority) ConfirmedAt(now time.Time) time.Time {
	start := a.lastTailRead
	if s := a.quorumAttestedAt(now); s.After(start) {
		start = s
	}
	if start.IsZero() || !now.Before(start.Add(a.cfg.AuthorityValidity)) {
		return time.Time{}
	}
	return start
}

// ValidUntil returns the time at which authority ends, zero if the member has none at
// now.
func (a *Authority) ValidUntil(now time.Time) time.Time {
	start := a.ConfirmedAt(now)
	if start.IsZero() {
		return time.Time{}
	}
	return start.Add(a.cfg.AuthorityValidity)
}

// Holds reports whether the member has authority, at Epoch, at time now.
func (a *Authority) Holds(now time.Time) bool { return !a.ConfirmedAt(now).IsZero() }

// Epoch returns the epoch at which the member has authority.
func (a *Authority) Epoch() int64 { return a.epoch }

// quorumAttestedAt returns the latest time at or after which a quorum has attested the
// member, zero if none has.
func (a *Authority) quorumAttestedAt(now time.Time) time.Time {
	starts := slices.Clone(a.lastAttestations)
	if i := slices.Index(a.group, a.self); i >= 0 && a.attester.Attest(a.epoch) == AttestGranted {
		starts[i] = now
	}
	candidates := slices.Clone(starts)
	slices.SortFunc(candidates, func(x, y time.Time) int { return y.Compare(x) })
	for _, since := range candidates {
		if since.IsZero() {
			break
		}
		if IsQuorum(a.group, func(i int) bool { return !starts[i].Before(since) }) {
			return since
		}
	}
	return time.Time{}
}

// renewalsPerValidity is how many times per AuthorityValidity an attestation is
// renewed.
const renewalsPerValidity = 3

// AttestersToAsk returns the members to ask for an attestation: none if the log's tail
// was read recently, else the members of the group whose latest attestation is not
// recent.
func (a *Authority) AttestersToAsk(now time.Time) []string {
	recent := now.Add(-a.cfg.AuthorityValidity / renewalsPerValidity)
	if a.lastTailRead.After(recent) {
		return nil
	}
	var ask []string
	for i, id := range a.group {
		if id != a.self && !a.lastAttestations[i].After(recent) {
			ask = append(ask, id)
		}
	}
	return ask
}
