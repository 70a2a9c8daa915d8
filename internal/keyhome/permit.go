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
	// AwaitCopy: Copy goes to the backup first; CopyAcked or CopyFailed decides.
	AwaitCopy
	// Replay: the key's request has ended; Answer is what it gave.
	Replay
)

// Decision is a home's word on a request with a key.
type Decision struct {
	Kind DecisionKind
	// ValidFor is how long a grant may be used, counted from the start of the call.
	ValidFor time.Duration
	Copy     *KeyCopy
	Answer   *structs.Answer
	// Err has CodeUnknown if an earlier request of the key may have run. With every
	// other code this request was not run and the key is as it was before it.
	Err error
}

// KeyCopy is a state of a key on its way from the home to the backup.
type KeyCopy struct {
	From, To string
	Epoch    int64
	Entry    Entry
}

// Retry times of refusals.
const (
	retrySoon     = 50 * time.Millisecond
	retryProgress = 250 * time.Millisecond
)

func refuse(err error) Decision { return Decision{Kind: Refused, Err: err} }

// Permit decides on a request at the key's home. A repeat with the same request ID
// is granted again: the entry that gave the ID dispatches it once.
func (s *Store) Permit(now time.Time, key, requestID, fingerprint string) Decision {
	return s.decide(now, &Entry{Key: key, RequestID: requestID, Fingerprint: fingerprint, PermittedAt: now})
}

// Bind fixes the value of a key at its home: the first value that was bound is the
// body of every answer until the retention has passed. Nothing is dispatched for the
// key, so that a refusal leaves it as it was.
func (s *Store) Bind(now time.Time, key, fingerprint string, value []byte) Decision {
	bound := &structs.Answer{Outcome: structs.OutcomeAnswered, Body: value}
	return s.decide(now, &Entry{Key: key, Fingerprint: fingerprint, Answer: bound, PermittedAt: now})
}

// decide replays what is known of a wanted entry's key, or makes the entry's intent.
func (s *Store) decide(now time.Time, want *Entry) Decision {
	key := want.Key
	if key == "" || len(key) > structs.MaxKeyBytes {
		return refuse(structs.NewError(structs.CodeInvalid, "key of %d bytes: want 1 to %d", len(key), structs.MaxKeyBytes))
	}
	p := ownership.PartitionOf(key)
	if len(s.terms) == 0 || s.current().holders[p].home != s.self {
		return refuse(structs.NewError(structs.CodeNotOwner, "this member is not the home of the key"))
	}
	e := s.live(now, p, key)
	if e != nil && e.State != Free {
		return s.known(now, e, want.RequestID, want.Fingerprint)
	}
	if err := s.mayGrant(now, p); err != nil {
		return refuse(err)
	}
	if e == nil {
		if err := s.room(); err != nil {
			return refuse(err)
		}
	}
	return s.intend(now, p, want)
}

// live returns the key's entry unless it has expired.
func (s *Store) live(now time.Time, p int, key string) *Entry {
	e := s.parts[p].entries[key]
	if e == nil || now.Sub(e.PermittedAt) >= s.limits.Retention {
		return nil
	}
	return e
}

// known decides on a request whose key has a state. What is known is a fact whoever
// is home now, so only a new grant needs authority. A value that an older home wrote
// is none, as that home may have given it up: it has to be confirmed.
func (s *Store) known(now time.Time, e *Entry, requestID, fingerprint string) Decision {
	if e.Fingerprint != fingerprint {
		return refuse(structs.NewError(structs.CodeKeyReused, "the key was used with another class or body"))
	}
	switch e.State {
	case Settled:
		if e.bound() && e.Version.Epoch != s.Epoch() {
			return s.confirm(now, e)
		}
		return replay(e)
	case Unknown:
		return refuse(unknownRun())
	case Copying:
		return refuse(structs.NewRetryAfterError(structs.CodeInProgress, retrySoon, "the key's request is being permitted"))
	}
	age := now.Sub(e.PermittedAt)
	if age >= s.limits.MaxRunTime {
		return refuse(unknownRun())
	}
	if e.RequestID != requestID {
		return refuse(structs.NewRetryAfterError(structs.CodeInProgress, retryProgress, "the key's first request has not ended"))
	}
	if age >= s.limits.DispatchWindow {
		return refuse(unknownRun())
	}
	if err := s.mayGrant(now, ownership.PartitionOf(e.Key)); err != nil {
		return refuse(err)
	}
	return Decision{Kind: Granted, ValidFor: s.limits.DispatchWindow - age}
}

func unknownRun() error {
	return structs.NewError(structs.CodeUnknown, "a request with this key may have run; its outcome is not known")
}

func replay(e *Entry) Decision {
	answer := *e.Answer
	return Decision{Kind: Replay, Answer: &answer}
}

// mayGrant returns an error unless this home may permit a key that it does not know.
// It need not wait for older homes to lapse: each of their permits needed the answer
// of a backup at their epoch, and what is complete here was told by a member that had
// moved on from that epoch, after which no such permit comes about any more. Authority
// bounds the permits of homes that nobody hears of (certainAt).
func (s *Store) mayGrant(now time.Time, p int) error {
	if !s.rights.Holds(now) {
		return structs.NewRetryAfterError(structs.CodeNoAuthority, retryProgress, "the home has no authority at epoch %d", s.Epoch())
	}
	if !s.complete(p) {
		return structs.NewRetryAfterError(structs.CodeUnknown, s.untilCertain(now, p), "the home does not know all older requests with keys like this one")
	}
	return nil
}

func (s *Store) untilCertain(now time.Time, p int) time.Duration {
	return max(retrySoon, s.parts[p].certainAt.Sub(now))
}

// intend writes the intent and sends it to the backup, if there is one.
func (s *Store) intend(now time.Time, p int, e *Entry) Decision {
	e.Version = s.nextVersion()
	backup := s.current().holders[p].backup
	if backup == "" {
		e.State = e.wanted()
		s.put(p, e)
		return s.grant(now, e)
	}
	e.State = Copying
	s.put(p, e)
	return Decision{Kind: AwaitCopy, Copy: s.copyOf(backup, *e, e.wanted())}
}

// grant is the decision on an entry that has just reached its wanted state.
func (s *Store) grant(now time.Time, e *Entry) Decision {
	if e.State == Settled {
		return replay(e)
	}
	return Decision{Kind: Granted, ValidFor: s.limits.DispatchWindow - now.Sub(e.PermittedAt)}
}

// confirm writes a bound value again as a state of this home, which its backup has
// before anybody is told: other members may know a newer state in which an older home
// gave the value up.
func (s *Store) confirm(now time.Time, e *Entry) Decision {
	p := ownership.PartitionOf(e.Key)
	if err := s.mayGrant(now, p); err != nil {
		return refuse(err)
	}
	again := *e
	again.Version = s.nextVersion()
	backup := s.current().holders[p].backup
	if backup == "" {
		s.put(p, &again)
		return replay(&again)
	}
	return Decision{Kind: AwaitCopy, Copy: s.copyOf(backup, again, Settled)}
}

// confirmed is CopyAcked for a value that was written again.
func (s *Store) confirmed(now time.Time, c *KeyCopy) Decision {
	p := ownership.PartitionOf(c.Entry.Key)
	if c.Epoch != s.Epoch() {
		return refuse(structs.NewRetryAfterError(structs.CodeStaleEpoch, retrySoon, "the table changed while the key was copied"))
	}
	if err := s.mayGrant(now, p); err != nil {
		return refuse(err)
	}
	e := c.Entry
	s.merge(p, &e)
	return replay(&e)
}

// copyOf returns the copy of an entry in the given state.
func (s *Store) copyOf(backup string, e Entry, state State) *KeyCopy {
	e.State = state
	return &KeyCopy{From: s.self, To: backup, Epoch: s.Epoch(), Entry: e}
}

// CopyAcked is called when the backup has kept the copy. Authority is checked again:
// the answer may have been long in coming.
func (s *Store) CopyAcked(now time.Time, c *KeyCopy) Decision {
	p := ownership.PartitionOf(c.Entry.Key)
	e := s.parts[p].entries[c.Entry.Key]
	if e != nil && e.State == Settled && e.bound() {
		return s.confirmed(now, c)
	}
	if e == nil || e.State != Copying || e.Version != c.Entry.Version {
		return refuse(structs.NewRetryAfterError(structs.CodeStaleEpoch, retrySoon, "the table changed while the key was copied"))
	}
	err := s.mayGrant(now, p)
	if err == nil && now.Sub(e.PermittedAt) >= s.limits.DispatchWindow {
		err = structs.NewRetryAfterError(structs.CodeDeadline, retrySoon, "the copy of the key took too long")
	}
	if err != nil {
		s.release(e)
		return refuse(notRun(err))
	}
	e.State = e.wanted()
	return s.grant(now, e)
}

// CopyFailed is called when the backup refused the copy or did not answer. The
// request was not permitted.
func (s *Store) CopyFailed(_ time.Time, c *KeyCopy, err error) Decision {
	e := s.parts[ownership.PartitionOf(c.Entry.Key)].entries[c.Entry.Key]
	if e != nil && e.State == Copying && e.Version == c.Entry.Version {
		s.release(e)
	}
	return refuse(structs.NewRetryAfterError(structs.CodeUnavailable, retryProgress, "the key could not be copied: %v", err))
}

// release frees a key whose request was certainly not run.
func (s *Store) release(e *Entry) {
	e.State = Free
	e.Version = s.nextVersion()
}

// notRun gives a refusal after the intent was written a code that does not say that
// an earlier request may have run: there was none.
func notRun(err error) error {
	typed := structs.AsError(err)
	if typed.Code != structs.CodeUnknown {
		return err
	}
	return structs.NewError(structs.CodeNoAuthority, "%s", typed.Message)
}

// Settle takes the outcome of a permitted request from the entry that dispatched it,
// at the key's home. A copy is returned for the backup, nil without one; whether it
// arrives decides only what a repeat is told after the home is lost.
//
// An outcome of not run frees the key. An entry whose Permit ended without a grant
// settles the request as not run too, as its intent may have reached the backup.
func (s *Store) Settle(now time.Time, key, requestID, fingerprint string, answer structs.Answer) (*KeyCopy, error) {
	p := ownership.PartitionOf(key)
	if len(s.terms) == 0 || s.current().holders[p].home != s.self {
		return nil, structs.NewError(structs.CodeNotOwner, "this member is not the home of the key")
	}
	e := s.live(now, p, key)
	switch {
	case e != nil && e.RequestID != requestID:
		return nil, structs.NewError(structs.CodeConflict, "the key belongs to another request")
	case e != nil && (e.State == Settled || e.State == Free):
		return nil, nil
	case e == nil && answer.Outcome == structs.OutcomeNotRun:
		return nil, nil
	case e == nil:
		if err := s.room(); err != nil {
			return nil, err
		}
		e = &Entry{Key: key, RequestID: requestID, Fingerprint: fingerprint, PermittedAt: now}
	}
	return s.settle(p, *e, answer), nil
}

// settle keeps the outcome and returns the copy for the backup.
func (s *Store) settle(p int, e Entry, answer structs.Answer) *KeyCopy {
	e.Version = s.nextVersion()
	switch answer.Outcome {
	case structs.OutcomeNotRun:
		e.State = Free
	case structs.OutcomeAnswered:
		e.State = Settled
		e.Answer = s.trim(answer)
	default:
		e.State = Unknown
	}
	s.put(p, &e)
	backup := s.current().holders[p].backup
	if backup == "" {
		return nil
	}
	return s.copyOf(backup, e, e.State)
}

// trim drops a body that is too large to keep. The repeat is then told that the
// request ran and that its answer is not kept, never a part of it.
func (s *Store) trim(answer structs.Answer) *structs.Answer {
	if len(answer.Body) <= s.limits.MaxAnswerBytes && s.bytes+len(answer.Body) <= s.limits.MaxBytes {
		return &answer
	}
	size := len(answer.Body)
	answer.Body = nil
	answer.Err = structs.AsError(structs.NewError(structs.CodeTooLarge, "the request has run; its answer of %d bytes was not kept", size))
	return &answer
}
