package cell

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/cell/cellv1/cellv1connect"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/peer"
	"dotterelhitch/internal/structs"
)

// peerPool holds a client for each peer address.
type peerPool struct {
	clock   *event.Clock
	mu      sync.Mutex
	clients map[string]*peerClient
}

type peerClient struct {
	cellv1connect.CellServiceClient
	transport *http.Transport
	// lastAnswer is when a call was last answered, in Unix nanoseconds.
	lastAnswer atomic.Int64
}

func newPeerPool(clock *event.Clock) *peerPool {
	return &peerPool{clock: clock, clients: map[string]*peerClient{}}
}

// client returns the client of an address.
func (p *peerPool) client(addr string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[addr]; c != nil {
		return c
	}
	transport := peer.NewTransport(nil)
	c := &peerClient{
		CellServiceClient: cellv1connect.NewCellServiceClient(
			&http.Client{Transport: p.clock.Transport(transport)},
			"http://"+addr,
			connect.WithReadMaxBytes(peer.MaxMessageBytes),
		),
		transport: transport,
	}
	p.clients[addr] = c
	return c
}

// deadConnectionTimeout is the time without an answer after which a connection with an overdue
// call is considered dead. While other calls are answered, the peer is only slow, and another
// connection would add to its load.
const deadConnectionTimeout = 600 * time.Millisecond

// resetIfSilent discards the client of an address, one of whose calls is overdue, if its
// connection may be dead. The next call opens a new connection; calls in flight go on.
func (p *peerPool) resetIfSilent(addr string, c *peerClient) {
	if clock.Since(time.Unix(0, c.lastAnswer.Load())) < deadConnectionTimeout {
		return
	}
	p.reset(addr, c)
}

// reset discards the client of an address.
func (p *peerPool) reset(addr string, c *peerClient) {
	p.mu.Lock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	c.transport.CloseIdleConnections()
}

// callPeer calls a method of the peer at addr and waits for the response up to timeout.
func callPeer[Req, Resp any](
	ctx context.Context,
	p *peerPool,
	addr string,
	timeout time.Duration,
	call func(*peerClient, context.Context, *Req) (*Resp, error),
	req *Req,
) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := p.client(addr)
	resp, err := call(c, ctx, req)
	if err == nil {
		c.lastAnswer.Store(clock.Now().UnixNano())
		return resp, nil
	}
	if ctx.Err() == context.DeadlineExceeded {
		p.resetIfSilent(addr, c)
	}
	return nil, peer.ClassifyCallError(err)
}

// membersVersion returns a hash of a list of members, in any order. It is never zero.
func membersVersion(members []Member) uint64 {
	version := uint64(1)
	for _, m := range members {
		text := m.Node + "\x00" + m.Boot + "\x00" + m.Addr + "\x00" + strconv.FormatBool(m.ReachesStore)
		version += xxhash.Sum64String(text)
	}
	return max(version, 1)
}

func memberToProto(m Member) *cellv1.Member {
	return &cellv1.Member{
		Node:         m.Node,
		Boot:         m.Boot,
		Addr:         m.Addr,
		Domain:       m.Domain,
		ReachesStore: m.ReachesStore,
		Cores:        m.Cores,
	}
}

func memberFromProto(m *cellv1.Member) Member {
	return Member{
		Node:         m.GetNode(),
		Boot:         m.GetBoot(),
		Addr:         m.GetAddr(),
		Domain:       m.GetDomain(),
		ReachesStore: m.GetReachesStore(),
		Cores:        m.GetCores(),
	}
}

func errorToProto(err error) *cellv1.Error {
	if err == nil {
		return nil
	}
	e := structs.AsError(err)
	return &cellv1.Error{Code: string(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}

func errorFromProto(e *cellv1.Error) error {
	if e == nil {
		return nil
	}
	return &structs.Error{Code: structs.Code(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}
