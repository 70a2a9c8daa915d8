package keyhome

import (
	"time"

	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/structs"
)

// DecisionKind is the kind of a decision.
type DecisionKind uint8

const (
	// Refused: nothing may be dispatched; Err says why.
	Refused DecisionKind = iota
	// Granted: the request may be dispatched once.
	Granted
	// AwaitCopy: Copy has to be sent to the backup; CopyAcked or CopyFailed then
	// decides.
	AwaitCopy
	// Replay: the key's request has ended; Answer is its answer.
	Replay
)

// Decision is a home's decision on a request with a key.
type Decision struct {
	Kind DecisionKind
	// ValidFor is how long the permit may be used, counted by the caller from the start
	// of its call.
	ValidFor time.Duration
	Copy     *KeyCopy
	Answer   *structs.Answer
	// Err has CodeUnknown if an earlier request with the key may have run. With any
	// other code this request did not run and the state of the key is unchanged.
	Err error
}

// KeyCopy is the state of a key that is sent from the home to the backup.
type KeyCopy struct {
	From, To string
	Epoch    int64
	Entry    Entry
}

// Retry delays suggested with refusals.
const (
	shortRetry      = 50 * time.Millisecond
	inProgressRetry = 250 * time.Millisecond
)

func refuse(err error) Decision { return Decision{Kind: Refused, Err: err} }

// Permit decides on a request at the key's home. A repeat with the same request ID is
// granted again, because the entry that chose the ID dispatches the request only once.
func (s *Store) Permit(now time.Time, key, requestID, fingerprint string) Decision {
	return s.decide(now, &Entry{Key: key, RequestID: requestID, Fingerprint: fingerprint, PermittedAt: now})
}

// Bind binds a value to a key at the key's home: the body of every answer is the first
// value that was bound, until the retention has passed. Nothing is dispatched for the
// key, so a refusal leaves its state unchanged.
func (s *Store) Bind(now time.Time, key, fingerprint string, value []byte) Decision {
	bound := &structs.Answer{Outcome: structs.OutcomeAnswered, Body: value}
	return s.decide(now, &Entry{Key: key, Fingerprint: fingerprint, Answer: bound, PermittedAt: now})
}

// decide returns the decision that follows from the known state of the key, or else
// writes the intent of the wanted entry.
func (s *Store) decide(now time.Time, wanted *Entry) Decision {
	key := wanted.Key
	if key == "" || len(key) > structs.MaxKeyBytes {
		return refuse(structs.NewError(structs.CodeInvalid, "key of %d bytes: want 1 to %d", len(key), structs.MaxKeyBytes))
	}
	p := ownership.PartitionOf(key)
	if len(s.tables) == 0 || s.currentTable().holders[p].home != s.self {
		return refuse(structs.NewError(structs.CodeNotOwner, "this member is not the home of the key"))
	}
	e := s.liveEntry(now, p, key)
	if e != nil && e.State != Free {
		return s.decideKnown(now, e, wanted.RequestID, wanted.Fingerprint)
	}
	if err := s.checkMayGrant(now, p); err != nil {
		return refuse(err)
	}
	if e == nil {
		if err := s.checkCapacity(); err != nil {
			return refuse(err)
		}
	}
	return s.writeIntent(now, p, wanted)
}

// liveEntry returns the key's entry, nil if there is none or it has expired.
func (s *Store) liveEntry(now time.Time, p int, key string) *Entry {
	e := s.partitions[p].entries[key]
	if e == nil || now.Sub(e.PermittedAt) >= s.limits.Retention {
		return nil
	}
	return e
}

// decideKnown decides on a request whose key has a state. A known state is a fact
// regardless of which member is home now, so only a new permit needs authority. The
// exception is a value bound by an older home: that home may have abandoned it, so it
// has to be confirmed.
func (s *Store) decideKnown(now time.Time, e *Entry, requestID, fingerprint string) Decision {
	if e.Fingerprint != fingerprint {
		return refuse(structs.NewError(structs.CodeKeyReused, "the key was used with another class or body"))
	}
	switch e.State {
	case Settled:
		if e.isBinding() && e.Version.Epoch != s.Epoch() {
			return s.rewriteBinding(now, e)
		}
		return replay(e)
	case Unknown:
		return refuse(errUnknownOutcome())
	case Copying:
		return refuse(structs.NewRetryAfterError(structs.CodeInProgress, shortRetry, "the key's request is being permitted"))
	}
	age := now.Sub(e.PermittedAt)
	if age >= s.limits.MaxRunTime {
		return refuse(errUnknownOutcome())
	}
	if e.RequestID != requestID {
		return refuse(structs.NewRetryAfterError(structs.CodeInProgress, inProgressRetry, "the key's first request has not ended"))
	}
	if age >= s.limits.DispatchWindow {
		return refuse(errUnknownOutcome())
	}
	if err := s.checkMayGrant(now, ownership.PartitionOf(e.Key)); err != nil {
		return refuse(err)
	}
	return Decision{Kind: Granted, ValidFor: s.limits.DispatchWindow - age}
}

// errUnknownOutcome returns the error for a key whose earlier request may have run.
func errUnknownOutcome() error {
	return structs.NewError(structs.CodeUnknown, "a request with this key may have run; its outcome is not known")
}

func replay(e *Entry) Decision {
	answer := *e.Answer
	return Decision{Kind: Replay, Answer: &answer}
}

// checkMayGrant returns an error unless this home may permit a request with a key that
// it does not know. The home need not wait until older homes have lost their authority:
// each permit of an older home needed the answer of a backup at the same epoch, and a
// complete partition was transferred by a member that had already moved on from that
// epoch, after which no such permit can come about. For homes that cannot be reached,
// authority bounds the time of their permits (assumeCompleteAt).
func (s *Store) checkMayGrant(now time.Time, p int) error {
	if !s.rights.Holds(now) {
		return structs.NewRetryAfterError(structs.CodeNoAuthority, inProgressRetry, "the home has no authority at epoch %d", s.Epoch())
	}
	if !s.isComplete(p) {
		return structs.NewRetryAfterError(structs.CodeUnknown, s.timeUntilComplete(now, p), "the home does not know all older requests with keys of this partition")
	}
	return nil
}

// timeUntilComplete returns the retry delay until the partition is assumed complete.
func (s *Store) timeUntilComplete(now time.Time, p int) time.Duration {
	return max(shortRetry, s.partitions[p].assumeCompleteAt.Sub(now))
}

// writeIntent stores the intent and returns the copy for the backup, or decides at once
// if there is no backup.
func (s *Store) writeIntent(now time.Time, p int, e *Entry) Decision {
	e.Version = s.nextVersion()
	backup := s.currentTable().holders[p].backup
	if backup == "" {
		e.State = e.stateAfterCopy()
		s.put(p, e)
		return s.grantOrReplay(now, e)
	}
	e.State = Copying
	s.put(p, e)
	return Decision{Kind: AwaitCopy, Copy: s.newCopy(backup, *e, e.stateAfterCopy())}
}

// grantOrReplay returns the decision on an entry that has just reached its
// stateAfterCopy.
func (s *Store) grantOrReplay(now time.Time, e *Entry) Decision {
	if e.State == Settled {
		return replay(e)
	}
	return Decision{Kind: Granted, ValidFor: s.limits.DispatchWindow - now.Sub(e.PermittedAt)}
}

// rewriteBinding writes a bound value again as a state of this home. The backup has to
// store it before the value is returned to any caller, because other members may know a
// newer state in which an older home abandoned the value.
func (s *Store) rewriteBinding(now time.Time, e *Entry) Decision {
	p := ownership.PartitionOf(e.Key)
	if err := s.checkMayGrant(now, p); err != nil {
		return refuse(err)
	}
	again := *e
	again.Version = s.nextVersion()
	backup := s.currentTable().holders[p].backup
	if backup == "" {
		s.put(p, &again)
		return replay(&again)
	}
	return Decision{Kind: AwaitCopy, Copy: s.newCopy(backup, again, Settled)}
}

// bindingCopied is the part of CopyAcked for a value written by rewriteBinding.
func (s *Store) bindingCopied(now time.Time, c *KeyCopy) Decision {
	p := ownership.PartitionOf(c.Entry.Key)
	if c.Epoch != s.Epoch() {
		return refuse(structs.NewRetryAfterError(structs.CodeStaleEpoch, shortRetry, "the table changed while the key was copied"))
	}
	if err := s.checkMayGrant(now, p); err != nil {
		return refuse(err)
	}
	e := c.Entry
	s.merge(p, &e)
	return replay(&e)
}

// newCopy returns the copy of an entry in the given state.
func (s *Store) newCopy(backup string, e Entry, state State) *KeyCopy {
	e.State = state
	return &KeyCopy{From: s.self, To: backup, Epoch: s.Epoch(), Entry: e}
}

// CopyAcked is called when the backup has stored the copy. Authority is checked again,
// because the acknowledgement may have taken long.
func (s *Store) CopyAcked(now time.Time, c *KeyCopy) Decision {
	p := ownership.PartitionOf(c.Entry.Key)
	e := s.partitions[p].entries[c.Entry.Key]
	if e != nil && e.State == Settled && e.isBinding() {
		return s.bindingCopied(now, c)
	}
	if e == nil || e.State != Copying || e.Version != c.Entry.Version {
		return refuse(structs.NewRetryAfterError(structs.CodeStaleEpoch, shortRetry, "the table changed while the key was copied"))
	}
	err := s.checkMayGrant(now, p)
	if err == nil && now.Sub(e.PermittedAt) >= s.limits.DispatchWindow {
		err = structs.NewRetryAfterError(structs.CodeDeadline, shortRetry, "the copy of the key took too long")
	}
	if err != nil {
		s.freeKey(e)
		return refuse(asNotRun(err))
	}
	e.State = e.stateAfterCopy()
	return s.grantOrReplay(now, e)
}

// CopyFailed is called when the backup refused the copy or did not answer. The request
// is not permitted.
func (s *Store) CopyFailed(_ time.Time, c *KeyCopy, err error) Decision {
	e := s.partitions[ownership.PartitionOf(c.Entry.Key)].entries[c.Entry.Key]
	if e != nil && e.State == Copying && e.Version == c.Entry.Version {
		s.freeKey(e)
	}
	return refuse(structs.NewRetryAfterError(structs.CodeUnavailable, inProgressRetry, "the key could not be copied: %v", err))
}

// freeKey frees a key whose request certainly did not run.
func (s *Store) freeKey(e *Entry) {
	e.State = Free
	e.Version = s.nextVersion()
}

// asNotRun replaces CodeUnknown in a refusal made after the intent was written. That
// code would mean that an earlier request may have run, but there was none.
func asNotRun(err error) error {
	typed := structs.AsError(err)
	if typed.Code != structs.CodeUnknown {
		return err
	}
	return structs.NewError(structs.CodeNoAuthority, "%s", typed.Message)
}

// Settle records the outcome of a permitted request at the key's home, as reported by
// the entry that dispatched it. It returns the copy for the backup, nil if there is no
// backup. Whether that copy arrives only affects what a repeat is answered after the
// home is lost.
//
// An outcome of not run frees the key. An entry whose Permit call ended without a
// permit also settles the request as not run, because its intent may have reached the
// backup.
func (s *Store) Settle(now time.Time, key, requestID, fingerprint string, answer structs.Answer) (*KeyCopy, error) {
	p := ownership.PartitionOf(key)
	if len(s.tables) == 0 || s.currentTable().holders[p].home != s.self {
		return nil, structs.NewError(structs.CodeNotOwner, "this member is not the home of the key")
	}
	e := s.liveEntry(now, p, key)
	switch {
	case e != nil && e.RequestID != requestID:
		return nil, structs.NewError(structs.CodeConflict, "the key belongs to another request")
	case e != nil && (e.State == Settled || e.State == Free):
		return nil, nil
	case e == nil && answer.Outcome == structs.OutcomeNotRun:
		return nil, nil
	case e == nil:
		if err := s.checkCapacity(); err != nil {
			return nil, err
		}
		e = &Entry{Key: key, RequestID: requestID, Fingerprint: fingerprint, PermittedAt: now}
	}
	return s.settle(p, *e, answer), nil
}

// settle stores the outcome and returns the copy for the backup.
func (s *Store) settle(p int, e Entry, answer structs.Answer) *KeyCopy {
	e.Version = s.nextVersion()
	switch answer.Outcome {
	case structs.OutcomeNotRun:
		e.State = Free
	case structs.OutcomeAnswered:
		e.State = Settled
		e.Answer = s.trimAnswer(answer)
	default:
		e.State = Unknown
	}
	s.put(p, &e)
	backup := s.currentTable().holders[p].backup
	if backup == "" {
		return nil
	}
	return s.newCopy(backup, e, e.State)
}

// trimAnswer removes a body that is too large to store. A repeat is then told that the
// request ran and that its answer was not kept; it never receives part of the body.
func (s *Store) trimAnswer(answer structs.Answer) *structs.Answer {
	if len(answer.Body) <= s.limits.MaxAnswerBytes && s.bytes+len(answer.Body) <= s.limits.MaxBytes {
		return &answer
	}
	size := len(answer.Body)
	answer.Body = nil
	answer.Err = structs.AsError(structs.NewError(structs.CodeTooLarge, "the request has run; its answer of %d bytes was not kept", size))
	return &answer
}
