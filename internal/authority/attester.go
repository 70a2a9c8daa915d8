package authority

import (
	"time"

	"dotterelhitch/internal/structs"
)

// AttestResult is a member's answer to another member's request for attestation.
type AttestResult int

const (
	// AttestGranted means that the callee attests the caller's epoch.
	AttestGranted AttestResult = iota
	// AttestRefused means that the callee has consented to a change, must read the log
	// first, or is not in the table.
	AttestRefused
	// AttestCallerBehind means that the callee has newer records, which it sends to the
	// caller instead.
	AttestCallerBehind
	// AttestCalleeBehind means that the caller's epoch is newer; the callee requests
	// the records from it.
	AttestCalleeBehind
)

// Attester is a member's side of attestation and consent. After a restart, a process
// creates a new Attester under a new member ID that no earlier table contains, so no
// state has to survive a restart.
type Attester struct {
	cfg     Config
	epoch   int64
	inTable bool
	// hasConsented is set while the member waits for a change of epoch that it
	// consented to.
	hasConsented bool
	// lastTick is when the control goroutine last ran.
	lastTick time.Time
	// rereadAfter is set after a pause: the member attests again only after a tail read
	// that began at or after this time. It is zero if no read is required.
	rereadAfter time.Time
}

// NewAttester returns the attester of a member that is not in the table yet.
func NewAttester(cfg Config, now time.Time) *Attester {
	return &Attester{cfg: cfg, lastTick: now}
}

// Tick must be called first in each iteration of the control goroutine and at least
// twice per Config.AuthorityValidity. A gap longer than that means that the process was
// paused.
func (a *Attester) Tick(now time.Time) {
	if now.Sub(a.lastTick) > a.cfg.AuthorityValidity {
		a.rereadAfter = now
	}
	a.lastTick = now
}

// SetTable sets the current table. Only a change of the epoch releases a member that
// has consented; a tail read without a newer epoch does not, since the record of the
// change may still take effect.
func (a *Attester) SetTable(epoch int64, inTable bool) {
	if epoch != a.epoch {
		a.hasConsented = false
	}
	a.epoch = epoch
	a.inTable = inTable
}

// ObserveTail processes a read of the log's tail, which ends the refusal to attest
// after a pause.
func (a *Attester) ObserveTail(read TailRead) {
	if read.complete() && read.Epoch == a.epoch && !read.Start.Before(a.rereadAfter) {
		a.rereadAfter = time.Time{}
	}
}

// Attest returns whether the member attests another member, or itself, at an epoch.
func (a *Attester) Attest(epoch int64) AttestResult {
	switch {
	case epoch < a.epoch:
		return AttestCallerBehind
	case epoch > a.epoch:
		return AttestCalleeBehind
	case a.hasConsented, !a.inTable, !a.rereadAfter.IsZero():
		return AttestRefused
	default:
		return AttestGranted
	}
}

// Consent consents to a change based on an epoch. From then on, the member no longer
// attests that epoch. It may consent to several changes based on one epoch, since the
// log accepts only one of them. It returns CodeConflict if the table is newer than
// base, CodeBehind if it is older, and CodeNotOwner if the member is not in the table.
func (a *Attester) Consent(base int64) error {
	switch {
	case base < a.epoch:
		return structs.NewError(structs.CodeConflict, "the change is based on epoch %d, the table is at %d", base, a.epoch)
	case base > a.epoch:
		return structs.NewError(structs.CodeBehind, "the change is based on epoch %d, this member has read to %d", base, a.epoch)
	case !a.inTable:
		return structs.NewError(structs.CodeNotOwner, "this member is not in the table of epoch %d", base)
	}
	a.hasConsented = true
	return nil
}

// HasConsented reports whether the member waits for a change that it consented to.
func (a *Attester) HasConsented() bool { return a.hasConsented }
