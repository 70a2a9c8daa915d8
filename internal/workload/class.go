package workload

import (
	"strings"
	"time"

	"dotterelhitch/internal/structs"
)

// Class is a queue of jobs with a common target for their completion time.
type Class struct {
	// Name identifies the class in all versions of the configuration.
	Name string `json:"name"`
	// Host and PathPrefix are the HTTP host and path at which callers reach the class.
	Host       string `json:"-"`
	PathPrefix string `json:"-"`
	// Service is the name of the service whose workers run the tasks.
	Service string `json:"service"`
	// Priority orders classes; 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failures of one task that fails the job. Zero means one.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch and Target define when a job is on time: within Stretch times the run time of
	// its critical path, plus Target.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target,omitempty"`
	// Advisor describes the placement advisor for the class. It is nil if tasks of the class
	// need no ticket.
	Advisor *AdvisorTiming `json:"advice,omitempty"`
	// AllowAnonymous lets callers without a key use the class although the configuration has teams.
	AllowAnonymous bool `json:"-"`
}

// AttemptLimit returns the number of failures of one task that fails the job.
func (c *Class) AttemptLimit() int { return max(c.MaxAttempts, 1) }

// AdvisorTiming describes the stated behaviour of the external placement advisor for a class.
type AdvisorTiming struct {
	// DecisionTime is the fixed part of the duration of a call, TimePerWorker the part for
	// each worker in the call.
	DecisionTime  time.Duration `json:"decision"`
	TimePerWorker time.Duration `json:"per_worker"`
	// TicketValidity is how long a ticket may be used.
	TicketValidity time.Duration `json:"validity"`
}

// CallTime returns the stated duration of a call about n workers.
func (a AdvisorTiming) CallTime(n int) time.Duration {
	return a.DecisionTime + time.Duration(n)*a.TimePerWorker
}

// Service is a pool of workers.
type Service struct {
	Name string
	// RejectsOverload says that the workers refuse tasks that do not fit.
	RejectsOverload bool
	// Spare says that the instances are powered off and cost nothing.
	Spare bool
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Classes  map[string]*Class
	Services map[string]*Service
	// Teams are the teams whose callers may submit jobs. It is nil if the configuration has none; then
	// callers need no key and nothing is limited by team.
	Teams *Teams
	// MaxBodyBytes is the largest size of a caller's request body. Zero means that the
	// configuration sets no limit.
	MaxBodyBytes int64
	// MaxHeaderBytes and HeaderTimeout are the limits of the headers of callers' requests. IdleTimeout is how
	// long the body of a request may make no progress. Zero means that the configuration sets no limit.
	MaxHeaderBytes int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Authorize returns the team on whose behalf a request for a class with a key is made. It is nil if the
// configuration has no teams, or for an anonymous request, if the class allows that. The error has
// CodeUnauthorized.
func (c *Config) Authorize(class *Class, key string) (*Team, error) {
	if c.Teams == nil {
		return nil, nil
	}
	if team := c.Teams.ByKey(key); team != nil {
		return team, nil
	}
	if class.AllowAnonymous {
		return nil, nil
	}
	return nil, structs.NewError(structs.CodeUnauthorized, "the key is missing or unknown")
}

// Resolve returns the class for a host and a path, and the rest of the path after the class's
// prefix. The longest matching prefix decides. The class is nil if none matches.
func (c *Config) Resolve(host, path string) (*Class, string) {
	var best *Class
	for _, class := range c.Classes {
		if class.Host != host || !strings.HasPrefix(path, class.PathPrefix) {
			continue
		}
		if best == nil || len(class.PathPrefix) > len(best.PathPrefix) {
			best = class
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.PathPrefix):]
}
