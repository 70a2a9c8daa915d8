package cell

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/cell/cellv1/cellv1connect"
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

// reset drops the connection to an address after a call without an answer: it may be
// silent. The next call opens a fresh one.
func (p *peerPool) reset(addr string, c *peerClient) {
	p.mu.Lock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	c.transport.CloseIdleConnections()
}

// callPeer makes one call of a peer within a time. A call that gets no answer drops the
// connection.
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
		return resp, nil
	}
	if ctx.Err() == context.DeadlineExceeded {
		p.reset(addr, c)
	}
	return nil, peer.ClassifyCallError(err)
}

func toMember(m Member) *cellv1.Member {
	return &cellv1.Member{
		Node:         m.Node,
		Boot:         m.Boot,
		Addr:         m.Addr,
		Domain:       m.Domain,
		ReachesStore: m.ReachesStore,
		Cores:        m.Cores,
	}
}

func fromMember(m *cellv1.Member) Member {
	return Member{
		Node:         m.GetNode(),
		Boot:         m.GetBoot(),
		Addr:         m.GetAddr(),
		Domain:       m.GetDomain(),
		ReachesStore: m.GetReachesStore(),
		Cores:        m.GetCores(),
	}
}

func toError(err error) *cellv1.Error {
	if err == nil {
		return nil
	}
	e := structs.AsError(err)
	return &cellv1.Error{Code: string(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}

func fromError(e *cellv1.Error) error {
	if e == nil {
		return nil
	}
	return &structs.Error{Code: structs.Code(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}
