package timeline

import (
	"slices"
	"strings"
	"time"

	"dotterelhitch/internal/event"
)

// Filter selects events. An empty field matches every event.
type Filter struct {
	// Request is the ID of a request (the caller's or the system's) or of a job.
	Request string
	Key     string
	Task    string
	Worker  string
	// Job also matches the events of the job's tasks.
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

// matchRequest also matches the event of the outcome that a caller received, which has
// the system's request ID in its detail.
func (f Filter) matchRequest(e event.Event) bool {
	return f.Request == "" || f.Request == e.Request || belongsToJob(e, f.Request) ||
		(e.Type == event.CallerRequestEnded && f.Request == e.Detail)
}

func (f Filter) matchJob(e event.Event) bool {
	return f.Job == "" || belongsToJob(e, f.Job)
}

// belongsToJob reports whether an event concerns a job or one of its steps and tasks.
func belongsToJob(e event.Event, job string) bool {
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
