// Package relay is a TCP relay that stands for the network between two processes.
// It adds delay, limits the bandwidth, counts bytes, and cuts or silences
// connections.
package relay

import (
	"net"
	"sync"

	"github.com/juju/errors"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// State is what the relay does with connections.
type State string

const (
	// StateOpen relays.
	StateOpen State = "open"
	// StateCut resets every connection, new ones at once.
	StateCut State = "cut"
	// StateBlackhole accepts new connections and carries nothing on any.
	StateBlackhole State = "blackhole"
	// StateHeld keeps connections open and holds back what is sent on them. After it has ended, open connections
	// deliver that at their next retransmission, also if the caller has closed its end by then. A connection that was
	// opened meanwhile goes on only if its caller still waits.
	StateHeld State = "held"
)

// Relay relays the connections of its routes over one shared link. It is safe
// for concurrent use.
type Relay struct {
	recorder *event.Recorder
	up, down lane

	mu        sync.Mutex
	state     State
	listeners []net.Listener
	pairs     map[*pair]struct{}
	closed    bool
	released  chan struct{} // closed while the state is not StateHeld
}

// New returns a relay without routes; the recorder may be nil.
func New(shape Shape, recorder *event.Recorder) *Relay {
	r := &Relay{recorder: recorder, state: StateOpen, pairs: make(map[*pair]struct{}), released: make(chan struct{})}
	close(r.released)
	r.SetShape(shape)
	return r
}

// AddRoute listens on an address, whose port may be 0, and relays to target. It
// returns the address bound.
func (r *Relay) AddRoute(listen, target string) (string, error) {
	return r.addRoute(listen, target, &r.up, &r.down)
}

// AddReverseRoute is AddRoute for callers at the other end of the link: what they send
// shares the lane of the answers of other routes.
func (r *Relay) AddReverseRoute(listen, target string) (string, error) {
	return r.addRoute(listen, target, &r.down, &r.up)
}

// addRoute adds a route whose callers send on one lane and get answers on the other.
func (r *Relay) addRoute(listen, target string, send, answer *lane) (string, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", errors.Annotatef(err, "listening on %s", listen)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = l.Close()
		return "", structs.NewError(structs.CodeDraining, "the relay is closed")
	}
	r.listeners = append(r.listeners, l)
	go r.accept(l, func(conn net.Conn) { r.serve(conn, target, send, answer) })
	return l.Addr().String(), nil
}

func (r *Relay) accept(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// serve relays one connection as the state at its start says.
func (r *Relay) serve(conn net.Conn, target string, send, answer *lane) {
	switch r.State() {
	case StateCut:
		reset(conn)
	case StateBlackhole:
		p := newPair(conn, nil)
		p.silent.Store(true)
		r.keep(p)
	case StateHeld:
		if early, ok := r.awaitRelease(conn); ok {
			r.relay(conn, early, target, send, answer)
		}
	default:
		r.relay(conn, nil, target, send, answer)
	}
}

// relay relays one connection, on which early was read before.
func (r *Relay) relay(conn net.Conn, early []byte, target string, send, answer *lane) {
	to, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		reset(conn)
		return
	}
	p := newPair(conn, to)
	p.release = r.releaseOf
	if !r.keep(p) {
		return
	}
	if _, err := to.Write(early); err != nil {
		p.abort()
	}
	p.run(send, answer)
	if !p.silent.Load() {
		r.drop(p)
	}
}

// keep registers a pair, or breaks it if the relay was cut or closed meanwhile.
func (r *Relay) keep(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.state == StateCut {
		p.abort()
		return false
	}
	if r.state == StateBlackhole {
		p.silent.Store(true)
	}
	r.pairs[p] = struct{}{}
	return true
}

func (r *Relay) drop(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// State returns what the relay does now.
func (r *Relay) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// Cut resets every connection and each new one until Heal.
func (r *Relay) Cut() {
	r.set(StateCut, "cut", (*pair).abort)
}

// Hold holds back everything until Heal.
func (r *Relay) Hold() { r.set(StateHeld, "hold", nil) }

// Silence makes the present connections carry nothing for good while they stay
// open; new ones work.
func (r *Relay) Silence() {
	r.set(StateOpen, "silence", (*pair).silence)
}

// Blackhole makes the present connections and new ones until Heal carry nothing.
func (r *Relay) Blackhole() {
	r.set(StateBlackhole, "blackhole", (*pair).silence)
}

// Heal makes new connections work. Silent ones stay silent.
func (r *Relay) Heal() {
	r.set(StateOpen, "heal", nil)
}

func (p *pair) silence() { p.silent.Store(true) }

func (r *Relay) set(state State, name string, each func(*pair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != StateHeld && state == StateHeld {
		r.released = make(chan struct{})
	}
	if r.state == StateHeld && state != StateHeld {
		close(r.released)
	}
	r.state = state
	r.recorder.Record(event.Event{Type: event.FaultInjected, Detail: "relay: " + name})
	if each == nil {
		return
	}
	for p := range r.pairs {
		each(p)
	}
	if state == StateCut {
		clear(r.pairs)
	}
}

// SetShape changes the link for data that comes from then on.
func (r *Relay) SetShape(s Shape) {
	r.up.setShape(s)
	r.down.setShape(s)
}

// Status is what the relay reports of itself.
type Status struct {
	State State `json:"state"`
	// UpBytes went from the callers of routes to targets and from the targets of
	// back routes to callers, DownBytes the other way.
	UpBytes     int64 `json:"up_bytes"`
	DownBytes   int64 `json:"down_bytes"`
	Connections int   `json:"connections"`
}

// Status returns the state and the counts.
func (r *Relay) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{State: r.state, UpBytes: r.up.count(), DownBytes: r.down.count(), Connections: len(r.pairs)}
}

// Close ends all routes and connections.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.state == StateHeld {
		r.state = StateCut
		close(r.released)
	}
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for p := range r.pairs {
		p.abort()
	}
	clear(r.pairs)
}
