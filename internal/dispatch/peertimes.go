package dispatch

import (
	"sync"
	"time"

	"dotterelhitch/internal/scheduler/admission"
)

// peerTimes estimates how long peers take to answer the requests of a class, including
// the wait for a slot. It is the only estimate of an entry without own workers. It is
// safe for concurrent use.
type peerTimes struct {
	mu    sync.Mutex
	class map[string]*admission.ServiceTime
}

func newPeerTimes() *peerTimes {
	return &peerTimes{class: make(map[string]*admission.ServiceTime)}
}

// record adds the duration of one answered request.
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

// typicalAnswerTime returns a high quantile of the time until an answer, zero before
// the first answer.
func (p *peerTimes) typicalAnswerTime(class string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.class[class]; s != nil {
		return s.HighQuantile()
	}
	return 0
}
