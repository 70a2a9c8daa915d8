package authority

import (
	"time"

	"dotterelhitch/internal/ownership"
)

// Expiry says from when an old owner certainly holds nothing any more.
type Expiry struct {
	// Never is true if time alone does not tell: a forced change lies between.
	Never bool
	// At is that time; zero if there was no other owner lately.
	At time.Time
}

// Expired reports whether the old owner's hold has lapsed at now.
func (l Expiry) Expired(now time.Time) bool { return !l.Never && !now.Before(l.At) }

// Handover tells a new owner how long to treat old owners' permissions as alive.
// It looks at every owner that a thing had in the changes read lately, not only at
// the last one: an owner of a short time may never have taken over itself.
type Handover struct {
	cfg   Config
	self  string
	steps []step
	// doubtful are members that time alone does not settle, by the epoch of the
	// forced change.
	doubtful map[string]int64
	// seen is the highest epoch at which a member was heard.
	seen map[string]int64
	// settled is when time alone tells again of a member that was doubtful.
	settled  map[string]time.Time
	released map[string]release
}

// step is one change of the table that was read.
type step struct {
	// base is the table before the change, nil if it is not known.
	base   *ownership.Map
	epoch  int64
	readAt time.Time
}

// release says that a member has applied epoch and holds nothing that is not its
// own there.
type release struct {
	epoch int64
	at    time.Time
}

// NewHandover returns the state of a process that began with the given membership
// state, from a snapshot or empty, read at now. Who owned what before it is not
// known, so that everything waits from now on.
func NewHandover(cfg Config, self string, s MembershipState, now time.Time) *Handover {
	h := &Handover{
		cfg:      cfg,
		self:     self,
		doubtful: make(map[string]int64),
		seen:     make(map[string]int64),
		settled:  make(map[string]time.Time),
		released: make(map[string]release),
	}
	if s.Table.Epoch > 0 {
		h.steps = append(h.steps, step{epoch: s.Table.Epoch, readAt: now})
	}
	h.setDoubts(s)
	return h
}

// ApplyTableChange takes over a change: the table before it, the state after it, and
// when the member read the record.
func (h *Handover) ApplyTableChange(base *ownership.Map, s MembershipState, readAt time.Time) {
	h.steps = append(h.steps, step{base: base, epoch: s.Table.Epoch, readAt: readAt})
	h.setDoubts(s)
	h.prune(readAt)
}

// ObserveEpoch counts any message by which a member shows its epoch.
func (h *Handover) ObserveEpoch(member string, epoch int64, now time.Time) {
	if epoch > h.seen[member] {
		h.seen[member] = epoch
	}
	if doubt, found := h.doubtful[member]; found && epoch >= doubt {
		delete(h.doubtful, member)
		h.settled[member] = now.Add(h.cfg.AuthorityValidity + h.cfg.ClockMargin)
	}
}

// RecordRelease counts a member's word that it has applied epoch and has given up what
// is not its own there: it renews and permits nothing of it, and no such call is
// under way.
func (h *Handover) RecordRelease(member string, epoch int64, now time.Time) {
	h.ObserveEpoch(member, epoch, now)
	if epoch > h.released[member].epoch {
		h.released[member] = release{epoch: epoch, at: now}
	}
}

// ConfirmStopped counts an operator's word that a member runs no more.
func (h *Handover) ConfirmStopped(member string, now time.Time) {
	const every = 1<<63 - 1
	h.RecordRelease(member, every, now)
}

// TaskLeasesExpiry says when the leases that old owners of a worker may have renewed
// have run out. The owner under a table is asked of the caller, which knows the
// worker.
func (h *Handover) TaskLeasesExpiry(owner func(*ownership.Map) string) Expiry {
	return h.lapse(h.cfg.MaxTaskLease+h.cfg.ClockMargin, owner)
}

// PlacementRightExpiry says when old owners of a worker can't give it work any more. That matters
// only where a worker does not refuse an old owner itself.
func (h *Handover) PlacementRightExpiry(owner func(*ownership.Map) string) Expiry {
	return h.lapse(0, owner)
}

// lapse returns the latest time over all steps, with extra added to each.
func (h *Handover) lapse(extra time.Duration, owner func(*ownership.Map) string) Expiry {
	var total Expiry
	for i, s := range h.steps {
		l := h.lapseOf(s, owner)
		if l.At.IsZero() && h.gaveUp(i, owner) {
			l.At = s.readAt
		}
		if l.Never {
			return l
		}
		if l.At.IsZero() {
			continue
		}
		if at := l.At.Add(extra); at.After(total.At) {
			total.At = at
		}
	}
	return total
}

// gaveUp reports whether this member owned the thing before a step and not after it.
// It may have renewed a lease until it read the step, and later have got the thing
// back from an owner whose release came before that.
func (h *Handover) gaveUp(i int, owner func(*ownership.Map) string) bool {
	s := h.steps[i]
	if s.base == nil || owner(s.base) != h.self || i+1 == len(h.steps) {
		return false
	}
	after := h.steps[i+1].base
	return after == nil || owner(after) != h.self
}

// lapseOf returns the lapse of what the owner before one step held, zero if that was
// nobody or this member.
func (h *Handover) lapseOf(s step, owner func(*ownership.Map) string) Expiry {
	byTime := s.readAt.Add(h.cfg.AuthorityValidity + h.cfg.ClockMargin)
	if s.base == nil {
		return Expiry{Never: len(h.doubtful) > 0, At: byTime}
	}
	loser := owner(s.base)
	if loser == "" || loser == h.self {
		return Expiry{}
	}
	if h.settled[loser].After(byTime) {
		byTime = h.settled[loser]
	}
	if r := h.released[loser]; r.epoch >= s.epoch && r.at.Before(byTime) {
		return Expiry{At: r.at}
	}
	_, doubt := h.doubtful[loser]
	return Expiry{Never: doubt, At: byTime}
}

// setDoubts takes over the doubtful members of the state, less those heard since.
func (h *Handover) setDoubts(s MembershipState) {
	clear(h.doubtful)
	for _, d := range s.Unconfirmed {
		if h.seen[d.Member] < d.Epoch {
			h.doubtful[d.Member] = d.Epoch
		}
	}
}

// prune drops the steps that can't make anything wait any more.
func (h *Handover) prune(now time.Time) {
	wait := h.cfg.AuthorityValidity + h.cfg.MaxTaskLease + 2*h.cfg.ClockMargin
	keep := h.steps[:0]
	for _, s := range h.steps {
		if now.Before(s.readAt.Add(wait)) || h.inDoubt(s) {
			keep = append(keep, s)
		}
	}
	h.steps = keep
}

// inDoubt reports whether a doubtful member may have owned something before a step.
func (h *Handover) inDoubt(s step) bool {
	for id := range h.doubtful {
		if s.base == nil || s.base.Table().HasMember(id) {
			return true
		}
	}
	return false
}
