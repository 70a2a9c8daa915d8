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
	// Advice tells how long the placement advisor takes for the class; nil if the
	// class needs no advice.
	Advice *Advice `json:"advice,omitempty"`
}

// Attempts returns how often a task of the class may fail.
func (c *Class) Attempts() int { return max(c.MaxAttempts, 1) }

// Advice is what an operator states of the external placement advisor for a class.
type Advice struct {
	// Decision is the time of one call, PerWorker the time for each worker named.
	Decision  time.Duration `json:"decision"`
	PerWorker time.Duration `json:"per_worker"`
	// Validity is how long a ticket may be used.
	Validity time.Duration `json:"validity"`
}

// CallTime is how long the advisor takes for a call about n workers.
func (a Advice) CallTime(n int) time.Duration {
	return a.Decision + time.Duration(n)*a.PerWorker
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guarded says that its workers refuse what does not fit.
	Guarded bool
	// Spare says that its machines are off and cost nothing.
	Spare bool
}

// Config is one version of what operators have configured.
type Config struct {
	Version  int64
	Classes  map[string]*Class
	Services map[string]*Service
	// MaxBody bounds the bytes of a caller's body; zero for no bound of the
	// operators.
	MaxBody int64
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
