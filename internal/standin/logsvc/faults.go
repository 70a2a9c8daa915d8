package logsvc

import (
	"encoding/json"
	"time"

	"dotterelhitch/internal/structs"
)

// Outage is how the service fails all calls.
type Outage string

const (
	// OutageNone is normal service.
	OutageNone Outage = "none"
	// OutageRefuse answers every call with a typed error at once.
	OutageRefuse Outage = "refuse"
	// OutageHang answers nothing and drops the calls that came during it.
	OutageHang Outage = "hang"
)

// LostAnswers are appends that take effect while their callers learn nothing.
type LostAnswers struct {
	// Count is the number of appends to come; negative means all.
	Count int `json:"count"`
	// Stream limits the fault to one stream; empty means any.
	Stream string `json:"stream,omitempty"`
	// EffectAfterMs delays the effect beyond the loss of the connection.
	EffectAfterMs int64 `json:"effect_after_ms,omitempty"`
	// KeepConnOpen keeps the caller's connection open instead of closing it.
	KeepConnOpen bool `json:"hang,omitempty"`
	// DropAppend makes the append take no effect, which the caller can't tell apart.
	DropAppend bool `json:"drop,omitempty"`
}

// Faults are the injected faults and limits.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMs is added to every call: half before its effect, half after.
	DelayMs     int64       `json:"delay_ms"`
	LostAnswers LostAnswers `json:"lose"`
	// AppendsPerSecond limits the appends; zero is no limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// MaxRecords and MaxAgeMs bound what a stream keeps; zero is no bound.
	MaxRecords int   `json:"max_records"`
	MaxAgeMs   int64 `json:"max_age_ms"`
}

// FaultChange is a change of Faults: only the members that are given change.
type FaultChange struct {
	Outage           *Outage      `json:"outage,omitempty"`
	DelayMs          *int64       `json:"delay_ms,omitempty"`
	LostAnswers      *LostAnswers `json:"lose,omitempty"`
	AppendsPerSecond *float64     `json:"appends_per_second,omitempty"`
	MaxRecords       *int         `json:"max_records,omitempty"`
	MaxAgeMs         *int64       `json:"max_age_ms,omitempty"`
}

// Validate refuses values that no service could obey.
func (c FaultChange) Validate() error {
	if c.Outage != nil {
		switch *c.Outage {
		case OutageNone, OutageRefuse, OutageHang:
		default:
			return structs.NewError(structs.CodeInvalid, "outage %q: want none, refuse or hang", *c.Outage)
		}
	}
	if negative(c.DelayMs) || negative(c.MaxAgeMs) {
		return structs.NewError(structs.CodeInvalid, "a time must not be negative")
	}
	if c.MaxRecords != nil && *c.MaxRecords < 0 {
		return structs.NewError(structs.CodeInvalid, "max_records must not be negative")
	}
	if c.AppendsPerSecond != nil && *c.AppendsPerSecond < 0 {
		return structs.NewError(structs.CodeInvalid, "appends_per_second must not be negative")
	}
	return nil
}

func negative(ms *int64) bool { return ms != nil && *ms < 0 }

// apply returns f with the members that c gives.
func (c FaultChange) apply(f Faults) Faults {
	set(&f.Outage, c.Outage)
	set(&f.DelayMs, c.DelayMs)
	set(&f.LostAnswers, c.LostAnswers)
	set(&f.AppendsPerSecond, c.AppendsPerSecond)
	set(&f.MaxRecords, c.MaxRecords)
	set(&f.MaxAgeMs, c.MaxAgeMs)
	return f
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// takeLost returns the fault that befalls the next append to a stream, nil if
// none does, and counts it.
func (f *Faults) takeLost(stream string) *LostAnswers {
	if f.LostAnswers.Count == 0 || (f.LostAnswers.Stream != "" && f.LostAnswers.Stream != stream) {
		return nil
	}
	lost := f.LostAnswers
	if f.LostAnswers.Count > 0 {
		f.LostAnswers.Count--
	}
	return &lost
}

func (f Faults) halfDelay() time.Duration {
	return time.Duration(f.DelayMs) * time.Millisecond / 2
}

func (f Faults) maxAge() time.Duration {
	return time.Duration(f.MaxAgeMs) * time.Millisecond
}

// String renders the change as JSON, for events.
func (c FaultChange) String() string {
	b, err := json.Marshal(c)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
