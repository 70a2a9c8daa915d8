// Package authority decides how long a member may act as the owner of what the
// membership table gives it, who may change the table, and when a new owner may
// treat an old one's permissions as lapsed.
//
// Three rules work together; the walk in the package's tests prints what breaks
// without each:
//
//   - Authority holds for a bounded time from the start of a call that showed the
//     table unchanged: a read of the log's tail, or answers of more than half of
//     the group at the same epoch.
//   - A change of the table needs the consent of more than half of each group that
//     it affects; a member that consented never attests the old epoch again.
//   - A new owner waits for the old one's release, or for the bound and a clock
//     margin from when it read the change.
//
// The idea of a lease on the right to act, counted by the holder from before its
// request, is that of Gray and Cheriton, "Leases", 1989. Everything is plain state
// with the clock passed in, and is run by the one control goroutine; nothing here
// may be called from two goroutines at once.
package authority

import (
	"slices"
	"time"
)

// Config holds the bounds of the rules. All members have the same.
type Config struct {
	// AuthorityValidity is how long authority lasts from the start of the call that gave it.
	AuthorityValidity time.Duration
	// ClockMargin covers the difference in rate of two members' clocks over a wait.
	ClockMargin time.Duration
	// MaxTaskLease is the greatest lease of a task.
	MaxTaskLease time.Duration
}

// TailRead is a read of the control stream's tail, by this member or relayed.
type TailRead struct {
	// Start is when the call began by this member's monotonic clock; for a relayed
	// read, the start of the call to the relaying member less the age it stated.
	Start time.Time
	// NextOffset is the offset after the last record in the log, as the read showed it.
	NextOffset int64
	// AppliedOffset is the offset of the last record that this member has applied.
	AppliedOffset int64
	// Epoch is the epoch of the table with those records applied.
	Epoch int64
}

// whole reports whether every record that the read showed has been applied.
func (r TailRead) whole() bool { return r.AppliedOffset+1 >= r.NextOffset }

// Authority is a member's right to renew leases and to permit keyed requests.
type Authority struct {
	cfg      Config
	self     string
	attester *Attester

	epoch int64
	// group are the sorted IDs of the member's group, empty outside the table.
	group []string
	// tail is the start of the last tail read at epoch, zero for none.
	tail time.Time
	// attested are the starts of the last attestations at epoch, by place in group.
	attested []time.Time
}

// New returns the authority of a member that is not in the table yet. The attester
// is the member's own: it counts as one of its group.
func New(cfg Config, self string, attester *Attester) *Authority {
	return &Authority{cfg: cfg, self: self, attester: attester}
}

// SetTable takes over a new table: its epoch and the sorted IDs of the member's
// group, empty if the member is not in the table. What was observed at the old
// epoch no longer counts.
func (a *Authority) SetTable(epoch int64, group []string) {
	a.epoch = epoch
	a.group = slices.Clone(group)
	a.tail = time.Time{}
	a.attested = make([]time.Time, len(group))
}

// ObserveTail counts a read of the log's tail. A read that showed records which
// have not been applied yet counts for nothing.
func (a *Authority) ObserveTail(read TailRead) {
	if read.Epoch != a.epoch || !read.whole() || !slices.Contains(a.group, a.self) {
		return
	}
	if read.Start.After(a.tail) {
		a.tail = read.Start
	}
}

// ObserveAttestation counts an answer that attests this member at an epoch, to a
// call that began at start.
func (a *Authority) ObserveAttestation(from string, epoch int64, start time.Time) {
	if epoch != a.epoch {
		return
	}
	i := slices.Index(a.group, from)
	if i >= 0 && start.After(a.attested[i]) {
		a.attested[i] = start
	}
}

// ConfirmedAt returns the time at which the member last certainly was in force at its epoch:
// no change that followed was in the log then. It is zero if authority does not hold at
// now. What an owner concludes from the passing of time, such as that a lease ended,
// must have been so at this time: after it a newer owner may have acted.
func (a *Authority) ConfirmedAt(now time.Time) time.Time {
	start := a.tail
	if s := a.attestedSince(now); s.After(start) {
		start = s
	}
	if start.IsZero() || !now.Before(start.Add(a.cfg.AuthorityValidity)) {
		return time.Time{}
	}
	return start
}

// ValidUntil returns the time before which authority holds, zero if it does not hold at now.
func (a *Authority) ValidUntil(now time.Time) time.Time {
	start := a.ConfirmedAt(now)
	if start.IsZero() {
		return time.Time{}
	}
	return start.Add(a.cfg.AuthorityValidity)
}

// Holds reports whether the member has authority at now, at Epoch.
func (a *Authority) Holds(now time.Time) bool { return !a.ConfirmedAt(now).IsZero() }

// Epoch returns the epoch at which authority holds.
func (a *Authority) Epoch() int64 { return a.epoch }

// attestedSince returns the latest time since which a quorum attested the member,
// zero if none did.
func (a *Authority) attestedSince(now time.Time) time.Time {
	starts := slices.Clone(a.attested)
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

// renewals is how many times within the bound an attestation is asked for anew.
const renewals = 3

// AttestersToAsk returns the members to ask for an attestation: none while the log's
// tail was read lately, else those of the group whose last attestation is old.
func (a *Authority) AttestersToAsk(now time.Time) []string {
	fresh := now.Add(-a.cfg.AuthorityValidity / renewals)
	if a.tail.After(fresh) {
		return nil
	}
	var ask []string
	for i, id := range a.group {
		if id != a.self && !a.attested[i].After(fresh) {
			ask = append(ask, id)
		}
	}
	return ask
}
