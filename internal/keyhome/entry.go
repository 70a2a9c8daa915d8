package keyhome

import (
	"time"

	"dotterelhitch/internal/structs"
)

// State is the state of a key.
type State uint8

const (
	// Free means that the key's last request certainly did not run. The entry is kept
	// so that a late copy of that request cannot replace it.
	Free State = iota
	// Copying means that the intent is being copied to the backup and no permit has
	// been granted.
	Copying
	// Intended means that a permit to dispatch was granted, or may have been.
	Intended
	// Settled means that the request ran and Answer holds its answer, or that the key
	// is bound and the body of Answer is the bound value.
	Settled
	// Unknown means that the request may have run and its answer is not known.
	Unknown
)

// String returns the name of the state in reports and logs.
func (s State) String() string {
	return [...]string{"free", "copying", "intended", "settled", "unknown"}[s]
}

// Version orders the states of one key across all its homes.
type Version struct {
	// Epoch is the epoch of the home that wrote the state.
	Epoch int64
	// Sequence increases with every state that this home writes.
	Sequence int64
}

// Before reports whether v is older than o.
func (v Version) Before(o Version) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch < o.Epoch
	}
	return v.Sequence < o.Sequence
}

// Entry is the stored state of a key. Copies and transfers carry all of it, with the
// age in place of PermittedAt.
type Entry struct {
	Key string
	// RequestID is empty for a key that is bound to a value.
	RequestID   string
	Fingerprint string
	State       State
	// Answer is set for a settled key. Its body is missing if it was too large to
	// store.
	Answer  *structs.Answer
	Version Version
	// PermittedAt is when the request was permitted, by the clock of the member that
	// stores the entry.
	PermittedAt time.Time
}

// isBinding reports whether the key is bound to a value, or is to be.
func (e *Entry) isBinding() bool { return e.RequestID == "" }

// stateAfterCopy returns the state of a new entry once its backup has stored it: a
// bound key is settled, a request may be dispatched.
func (e *Entry) stateAfterCopy() State {
	if e.isBinding() {
		return Settled
	}
	return Intended
}

// size returns the number of bytes by which the entry counts towards MaxBytes.
func (e *Entry) size() int {
	const fixed = 200
	n := fixed + len(e.Key) + len(e.RequestID) + len(e.Fingerprint)
	if e.Answer != nil {
		n += len(e.Answer.Body)
	}
	return n
}
