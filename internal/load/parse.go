package load

import (
	"bytes"
	stderrors "errors"
	"math"
	"net/url"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"dotterelhitch/internal/structs"
)

// Bounds of an experiment.
const (
	maxFileBytes = 1 << 20
	maxArrivals  = 5_000_000
	maxRetries   = 10
	maxFaultRate = 100
	milliPerCore = 1000
)

// ReadFile reads and checks an experiment file.
func ReadFile(path string) (*Experiment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, structs.NewError(structs.CodeNotFound, "experiment: %v", err)
	}
	return Parse(b)
}

// Parse reads and checks an experiment. Unknown keys are refused.
func Parse(b []byte) (*Experiment, error) {
	if len(b) > maxFileBytes {
		return nil, structs.NewError(structs.CodeTooLarge, "experiment: more than %d bytes", maxFileBytes)
	}
	e := &Experiment{}
	dec := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := dec.Decode(e); err != nil {
		return nil, structs.NewError(structs.CodeInvalid, "experiment: %s", tomlDetail(err))
	}
	e.setDefaults()
	return e, e.Validate()
}

// tomlDetail says where in the file the fault is.
func tomlDetail(err error) string {
	var strict *toml.StrictMissingError
	if stderrors.As(err, &strict) {
		return "unknown keys:\n" + strict.String()
	}
	var syntax *toml.DecodeError
	if stderrors.As(err, &syntax) {
		return syntax.String()
	}
	return err.Error()
}

// Validate refuses an experiment that can't be run, with every reason.
func (e *Experiment) Validate() error {
	var c complaints
	c.check(len(e.Targets) > 0, "targets: name at least one entry")
	c.check(e.Duration > 0, "duration: want more than nothing")
	c.check(e.SettleTimeout > 0, "settle: want more than nothing")
	c.check(e.MaxInFlight > 0, "max_in_flight: want at least 1")
	c.check(len(e.Requests)+len(e.Jobs) > 0, "state at least one of requests and jobs")
	c.check(len(e.Classes) == 0 || len(e.Operators) > 0, "operators: name one to set classes")
	for _, class := range e.Classes {
		c.add(class.class().Validate())
	}
	for _, r := range e.Requests {
		r.validate(&c)
	}
	for _, j := range e.Jobs {
		j.validate(&c)
	}
	for _, f := range e.Faults {
		u, err := url.Parse(f.URL)
		c.check(err == nil && u.Host != "", "fault at %s: want a URL", f.At.AsDuration())
		c.check(f.At >= 0, "fault: at must not be negative")
	}
	for _, f := range e.RandomFaults {
		u, err := url.Parse(f.URL)
		c.check(err == nil && u.Host != "", "random fault: want a URL")
		c.check(f.Rate > 0 && f.Rate <= maxFaultRate, "random fault at %s: rate: want more than 0 and at most %d a second", f.URL, maxFaultRate)
		c.check(f.Duration >= 0, "random fault at %s: lasts must not be negative", f.URL)
	}
	for _, step := range e.Cancels {
		c.check(step.At >= 0, "cancel: at must not be negative")
		c.add(step.filter().Validate())
	}
	return c.err()
}

func (r RequestStream) validate(c *complaints) {
	r.Window.validate(r.Name, c)
	c.check(structs.ValidName(r.Class), "requests %q: class: want a name", r.Name)
	c.check(r.BodyBytes >= 0 && r.BodyBytes <= structs.MaxRequestBytes, "requests %q: body_bytes: want 0 to %d", r.Name, structs.MaxRequestBytes)
	c.check(r.AnswerBytes >= 0 && r.AnswerBytes <= structs.MaxAnswerBytes, "requests %q: answer_bytes: want 0 to %d", r.Name, structs.MaxAnswerBytes)
	c.check(r.Retries >= 0 && r.Retries <= maxRetries, "requests %q: retries: want 0 to %d", r.Name, maxRetries)
	c.check(r.Retries == 0 || r.Keyed || r.Idempotent, "requests %q: retries need keyed or idempotent", r.Name)
	c.check(r.ServiceTime >= 0 && r.Deadline >= 0 && r.LatencyTarget >= 0, "requests %q: a time must not be negative", r.Name)
}

func (j JobStream) validate(c *complaints) {
	j.Window.validate(j.Name, c)
	c.check(!math.IsNaN(j.CPU) && !math.IsInf(j.CPU, 0), "jobs %q: cpu: want a number", j.Name)
	c.check(j.StartTarget >= 0, "jobs %q: within must not be negative", j.Name)
	c.add(j.job().Validate())
}

func (w Window) validate(name string, c *complaints) {
	c.check(w.From >= 0 && w.Until > w.From, "%q: want 0 <= from < until", name)
	switch w.Arrivals {
	case AtOnce:
		c.check(w.Count >= 1 && w.Count <= maxArrivals, "%q: arrival_count: want 1 to %d", name, maxArrivals)
	case Poisson, Uniform:
		expected := w.Rate * (w.Until - w.From).AsDuration().Seconds()
		c.check(w.Rate > 0 && expected <= maxArrivals, "%q: rate: want more than 0 and at most %d arrivals in all", name, maxArrivals)
	default:
		c.check(false, "%q: arrivals %q: want poisson, uniform or at_once", name, w.Arrivals)
	}
}

func (s ClassSetup) class() structs.Class {
	return structs.Class{Name: s.Name, Kind: s.Kind, Team: s.Team, Target: s.Target}
}

func (s CancelStep) filter() structs.JobFilter {
	return structs.JobFilter{Class: s.Class, Team: s.Team}
}

func (j JobStream) job() structs.Job {
	return structs.Job{
		Class: j.Class,
		Team:  j.Team,
		Count: j.Tasks,
		Size: structs.Resources{
			CPUMilli:     int64(math.Round(j.CPU * milliPerCore)),
			MemoryMiB:    j.MemoryMiB,
			Accelerators: j.Accelerators,
		},
		RunTime: j.RunTime,
		Payload: j.Payload,
	}
}

// complaints gathers every reason.
type complaints []string

func (c *complaints) check(holds bool, format string, args ...any) {
	if !holds {
		c.add(structs.NewError(structs.CodeInvalid, format, args...))
	}
}

func (c *complaints) add(err error) {
	if err != nil {
		*c = append(*c, structs.AsError(err).Message)
	}
}

func (c complaints) err() error {
	if len(c) == 0 {
		return nil
	}
	return structs.NewError(structs.CodeInvalid, "experiment: %s", strings.Join(c, "; "))
}
