package keyhome

import (
	"time"

	"dotterelhitch/internal/structs"
)

// State is what a home knows of a key.
type State uint8

const (
	// Free means that the key's last request was certainly not run. The entry is
	// kept so that a late copy of that request can't come back.
	Free State = iota
	// Copying means that the intent is on its way to the backup; nothing is granted.
	Copying
	// Intended means that leave to dispatch was granted, or may have been.
	Intended
	// Settled means that the request ran, and Answer holds what it gave, or that the
	// key is bound, and the body of Answer is the value.
	Settled
	// Unknown means that the request may have run and no answer is known.
	Unknown
)

// String names the state as reports and logs do.
func (s State) String() string {
	return [...]string{"free", "copying", "intended", "settled", "unknown"}[s]
}

// Version orders the states of one key over all its homes.
type Version struct {
	// Epoch is that of the home that wrote the state.
	Epoch int64
	// Sequence rises with every state that this home writes.
	Sequence int64
}

// Before reports whether v is older than o.
func (v Version) Before(o Version) bool {
	if v.Epoch != o.Epoch {
		return v.Epoch < o.Epoch
	}
	return v.Sequence < o.Sequence
}

// Entry is what is kept of a key. Copies and transfers carry it whole, with the age
// in place of At.
type Entry struct {
	Key string
	// RequestID is empty for a key that is bound to a value.
	RequestID   string
	Fingerprint string
	State       State
	// Answer is set for a settled key; without a body if that was too large to keep.
	Answer  *structs.Answer
	Version Version
	// PermittedAt is when the request was permitted, by the clock of the member that keeps
	// the entry.
	PermittedAt time.Time
}

// bound reports whether the key is bound to a value, or to be.
func (e *Entry) bound() bool { return e.RequestID == "" }

// wanted is the state of an entry once its backup has it: a key that is bound to a
// value is settled, a request may be dispatched.
func (e *Entry) wanted() State {
	if e.bound() {
		return Settled
	}
	return Intended
}

// size returns the bytes that the entry counts for.
func (e *Entry) size() int {
	const fixed = 200
	n := fixed + len(e.Key) + len(e.RequestID) + len(e.Fingerprint)
	if e.Answer != nil {
		n += len(e.Answer.Body)
	}
	return n
}
