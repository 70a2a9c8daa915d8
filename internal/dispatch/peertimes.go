package dispatch

import (
	"sync"
	"time"

	"dotterelhitch/internal/scheduler/admission"
)

// peerTimes estimates how long peers take to answer the requests of a class, with
// the wait for a slot there. An entry without own workers knows no other time. It is
// safe for concurrent use.
type peerTimes struct {
	mu    sync.Mutex
	class map[string]*admission.ServiceTime
}

func newPeerTimes() *peerTimes {
	return &peerTimes{class: make(map[string]*admission.ServiceTime)}
}

// record adds the time of an answer.
func (p *peerTimes) record(class string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.class[class]
	if s == nil {
		s = admission.NewServiceTime()
		p.class[class] = s
	}
	s.Record(took)
}

// usual returns a time that nearly all answers take, zero before the first.
func (p *peerTimes) usual(class string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.class[class]; s != nil {
		return s.HighQuantile()
	}
	return 0
}
