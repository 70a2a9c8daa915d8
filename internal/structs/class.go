package structs

import (
	"regexp"
	"time"
)

// Kind is the sort of work a class holds.
type Kind string

const (
	// KindService is long-running tasks, and requests answered by endpoints.
	KindService Kind = "service"
	// KindBatch is tasks that run to completion, each by itself.
	KindBatch Kind = "batch"
	// KindGang is jobs whose tasks all start together or not at all.
	KindGang Kind = "gang"
)

// Duration is a time.Duration that is written as text, for example "1.1s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return NewError(CodeInvalid, "duration %q: want a number with a unit, such as 300ms or 1.1s", b)
	}
	*d = Duration(v)
	return nil
}

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Target is what an operator states for a class. A zero member is not stated.
type Target struct {
	// AnswerWithin bounds the time from a request's arrival to its answer.
	AnswerWithin Duration `json:"answer_within,omitempty" toml:"answer_within"`
	// StartWithin bounds the time from a job's acceptance to its tasks' start.
	StartWithin Duration `json:"start_within,omitempty" toml:"start_within"`
	// FinishWithin bounds the time from a job's acceptance to its end.
	FinishWithin Duration `json:"finish_within,omitempty" toml:"finish_within"`
}

// Class is a named sort of work with the target that its operator states.
type Class struct {
	Name   string `json:"name"`
	Kind   Kind   `json:"kind"`
	Team   string `json:"team,omitempty"`
	Target Target `json:"target"`
	// Version is the log offset of the accepted change that made this value;
	// zero in a change that has not been accepted yet.
	Version int64 `json:"version,omitempty"`
}

// Quota bounds what the running tasks of a team may hold together in the cell.
type Quota struct {
	Team    string    `json:"team"`
	Limit   Resources `json:"limit"`
	Version int64     `json:"version,omitempty"`
}

// QuotaMove moves a part of a team's quota from one group of members to another.
type QuotaMove struct {
	Team   string    `json:"team"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	Amount Resources `json:"amount"`
}

// Validate checks that a move names two groups and an amount.
func (m QuotaMove) Validate() error {
	if m.Team == "" || m.To == "" || m.From == m.To {
		return NewError(CodeInvalid, "quota move of team %q from %q to %q: want a team and two groups", m.Team, m.From, m.To)
	}
	if m.Amount.HasNegative() || m.Amount.IsZero() {
		return NewError(CodeInvalid, "quota move of team %s: want an amount, no component negative", m.Team)
	}
	return nil
}

// LeavingDeclaration declares that an instance (worker or entry) gets no new work.
type LeavingDeclaration struct {
	Instance string `json:"instance"`
	// ConfirmedStopped is the operator's word that the instance no longer runs anything.
	ConfirmedStopped bool `json:"gone,omitempty"`
	// Unlisted says that the platform's list need not hold the instance.
	Unlisted bool  `json:"unlisted,omitempty"`
	Version  int64 `json:"version,omitempty"`
}

// nameRE is the form of class, team and instance names.
var nameRE = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// ValidName reports whether s may name a class, team or instance: 1 to 63
// lower-case letters, digits, dots, dashes and underscores.
func ValidName(s string) bool { return nameRE.MatchString(s) }

// Validate checks a class as an operator states it.
func (c Class) Validate() error {
	if !ValidName(c.Name) {
		return NewError(CodeInvalid, "class name %q: want 1 to 63 of a-z 0-9 . _ -", c.Name)
	}
	if c.Team != "" && !ValidName(c.Team) {
		return NewError(CodeInvalid, "team name %q: want 1 to 63 of a-z 0-9 . _ -", c.Team)
	}
	if c.Target.AnswerWithin < 0 || c.Target.StartWithin < 0 || c.Target.FinishWithin < 0 {
		return NewError(CodeInvalid, "class %s: a target must not be negative", c.Name)
	}
	switch c.Kind {
	case KindService, KindBatch, KindGang:
	default:
		return NewError(CodeInvalid, "class %s: kind %q: want service, batch or gang", c.Name, c.Kind)
	}
	if c.Target == (Target{}) {
		return NewError(CodeInvalid, "class %s: state a target: answer_within, start_within or finish_within", c.Name)
	}
	return nil
}
