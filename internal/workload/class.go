package workload

import (
	"strings"
	"time"
)

// Class is a queue of jobs with the target that its operator states.
type Class struct {
	// Name identifies the class over versions of the configuration.
	Name string `json:"name"`
	// Host and PathPrefix are where callers reach the class.
	Host       string `json:"-"`
	PathPrefix string `json:"-"`
	// Service names the workers that run the tasks.
	Service string `json:"service"`
	// Priority orders classes; 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how often a task may fail before its job has failed; zero
	// means once.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Stretch and Target say when a job is on time: Stretch times its longest chain
	// of tasks, and Target more.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target,omitempty"`
	// Advisor tells how long the placement advisor takes for the class; nil if the
	// class needs no advice.
	Advisor *AdvisorTiming `json:"advice,omitempty"`
}

// AttemptLimit returns how often a task of the class may fail.
func (c *Class) AttemptLimit() int { return max(c.MaxAttempts, 1) }

// AdvisorTiming is what an operator states of the external placement advisor for a class.
type AdvisorTiming struct {
	// DecisionTime is the time of one call, TimePerWorker the time for each worker named.
	DecisionTime  time.Duration `json:"decision"`
	TimePerWorker time.Duration `json:"per_worker"`
	// TicketValidity is how long a ticket may be used.
	TicketValidity time.Duration `json:"validity"`
}

// CallTime is how long the advisor takes for a call about n workers.
func (a AdvisorTiming) CallTime(n int) time.Duration {
	return a.DecisionTime + time.Duration(n)*a.TimePerWorker
}

// Service is a pool of workers.
type Service struct {
	Name string
	// RejectsOverload says that its workers refuse what does not fit.
	RejectsOverload bool
	// Spare says that its machines are off and cost nothing.
	Spare bool
}

// Config is one version of what operators have configured.
type Config struct {
	Version  int64
	Classes  map[string]*Class
	Services map[string]*Service
	// MaxBodyBytes bounds the bytes of a caller's body; zero for no bound of the
	// operators.
	MaxBodyBytes int64
}

// Resolve returns the class that a host and a path belong to, by the longest prefix, and
// the rest of the path; nil if there is none.
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
