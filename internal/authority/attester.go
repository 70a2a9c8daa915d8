package authority

import (
	"time"

	"dotterelhitch/internal/structs"
)

// AttestResult is what a member says when another asks to be attested.
type AttestResult int

const (
	// AttestGranted: the callee stands by the caller's epoch.
	AttestGranted AttestResult = iota
	// AttestRefused: the callee consented to a change, has to read the log first, or is
	// not in the table.
	AttestRefused
	// AttestCallerBehind: the callee has newer records, which go to the caller instead.
	AttestCallerBehind
	// AttestCalleeBehind: the caller's epoch is newer; the callee asks it for the records.
	AttestCalleeBehind
)

// Attester is a member's side of attestation and consent. A restarted process
// makes a new one under a new member ID, which no old table knows, so nothing has
// to be remembered over a restart.
type Attester struct {
	cfg     Config
	epoch   int64
	inTable bool
	// consented says that the member consented to a change of epoch.
	consented bool
	// lastTick is when the control goroutine last ran.
	lastTick time.Time
	// readFrom is set after a pause: only a tail read that began at or after it
	// lets the member attest again. Zero if no read is due.
	readFrom time.Time
}

// NewAttester returns the attester of a member that is not in the table yet.
func NewAttester(cfg Config, now time.Time) *Attester {
	return &Attester{cfg: cfg, lastTick: now}
}

// Tick is called first in each turn of the control goroutine and at least twice
// within the bound. A longer gap means that the process was paused.
func (a *Attester) Tick(now time.Time) {
	if now.Sub(a.lastTick) > a.cfg.AuthorityValidity {
		a.readFrom = now
	}
	a.lastTick = now
}

// SetTable takes over a new table. Only a change of the epoch, never a read
// that shows none, frees a member that has consented: until then the record may
// still take effect.
func (a *Attester) SetTable(epoch int64, inTable bool) {
	if epoch != a.epoch {
		a.consented = false
	}
	a.epoch = epoch
	a.inTable = inTable
}

// ObserveTail counts a read of the log's tail, which ends the wait after a pause.
func (a *Attester) ObserveTail(read TailRead) {
	if read.whole() && read.Epoch == a.epoch && !read.Start.Before(a.readFrom) {
		a.readFrom = time.Time{}
	}
}

// Attest says whether the member attests another one, or itself, at an epoch.
func (a *Attester) Attest(epoch int64) AttestResult {
	switch {
	case epoch < a.epoch:
		return AttestCallerBehind
	case epoch > a.epoch:
		return AttestCalleeBehind
	case a.consented, !a.inTable, !a.readFrom.IsZero():
		return AttestRefused
	default:
		return AttestGranted
	}
}

// Consent agrees to a change based on an epoch. From then on the member attests
// that epoch no more. It may consent to several changes of one epoch: the log lets
// only one of them win.
func (a *Attester) Consent(base int64) error {
	switch {
	case base < a.epoch:
		return structs.NewError(structs.CodeConflict, "the change is based on epoch %d, the table is at %d", base, a.epoch)
	case base > a.epoch:
		return structs.NewError(structs.CodeBehind, "the change is based on epoch %d, this member has read to %d", base, a.epoch)
	case !a.inTable:
		return structs.NewError(structs.CodeNotOwner, "this member is not in the table of epoch %d", base)
	}
	a.consented = true
	return nil
}

// HasConsented reports whether the member waits for a change that it consented to.
func (a *Attester) HasConsented() bool { return a.consented }
