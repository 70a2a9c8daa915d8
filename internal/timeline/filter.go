package timeline

import (
	"slices"
	"strings"
	"time"

	"dotterelhitch/internal/event"
)

// Filter selects events. An empty member matches everything.
type Filter struct {
	// Request is a request's ID, the caller's own or the system's, or a job's.
	Request string
	Key     string
	Task    string
	Worker  string
	// Job matches its tasks' events too.
	Job    string
	Member string
	Proc   string
	Types  []event.Type
	// From and To bound the wall-clock part of the time; To is excluded.
	From time.Time
	To   time.Time
}

// Match reports whether the filter selects e.
func (f Filter) Match(e event.Event) bool {
	return f.matchNames(e) && f.matchJob(e) && f.matchTime(e) &&
		(len(f.Types) == 0 || slices.Contains(f.Types, e.Type))
}

func (f Filter) matchNames(e event.Event) bool {
	return f.matchRequest(e) &&
		(f.Key == "" || f.Key == e.Key) &&
		(f.Task == "" || f.Task == string(e.Task)) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(f.Member == "" || f.Member == e.Member) &&
		(f.Proc == "" || f.Proc == e.Proc)
}

// matchRequest also matches what a caller got, which names the system's ID in
// its detail.
func (f Filter) matchRequest(e event.Event) bool {
	return f.Request == "" || f.Request == e.Request || ofJob(e, f.Request) ||
		(e.Type == event.CallerRequestEnded && f.Request == e.Detail)
}

func (f Filter) matchJob(e event.Event) bool {
	return f.Job == "" || ofJob(e, f.Job)
}

// ofJob reports whether an event is one of a job or of its steps and tasks.
func ofJob(e event.Event, job string) bool {
	rest, ok := strings.CutPrefix(string(e.Task), job)
	return job == e.Job || ok && (strings.HasPrefix(rest, "#") || strings.HasPrefix(rest, "."))
}

func (f Filter) matchTime(e event.Event) bool {
	at := time.UnixMicro(e.Time.Micros)
	return (f.From.IsZero() || !at.Before(f.From)) && (f.To.IsZero() || at.Before(f.To))
}

// Select returns the events that the filter selects.
func (f Filter) Select(events []event.Event) []event.Event {
	var selected []event.Event
	for _, e := range events {
		if f.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected
}
