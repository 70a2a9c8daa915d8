// Package peer is the protocol between entry instances: a pool of clients, one
// connection a peer, and the server's plumbing. The messages are in peerv1.
package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/peer/peerv1/peerv1connect"
	"dotterelhitch/internal/structs"
)

// Bounds of the HTTP/2 connections between entries. A connection that carries
// nothing is probed; one that does not answer the probe is closed, so that the
// next call opens a fresh one.
const (
	pingAfter    = 2 * time.Second
	pingTimeout  = 2 * time.Second
	idleTimeout  = 90 * time.Second
	writeTimeout = 2 * time.Second
	// MaxMessageBytes bounds a message between entries.
	MaxMessageBytes = 4 << 20
)

// Pool holds a client for each peer address. It is safe for concurrent use.
type Pool struct {
	keys  httpx.Keys
	clock *event.Clock
	// region is the region of this entry; traffic to others is counted apart.
	region string

	// LocalTraffic and Cross count the bytes of calls within the region and across.
	LocalTraffic       httpx.TrafficCounter
	CrossRegionTraffic httpx.TrafficCounter

	mu      sync.Mutex
	clients map[string]*client
}

type client struct {
	peerv1connect.PeerServiceClient
	transport *http.Transport
}

// NewPool returns an empty pool.
func NewPool(keys httpx.Keys, clock *event.Clock, region string) *Pool {
	return &Pool{keys: keys, clock: clock, region: region, clients: map[string]*client{}}
}

// Client returns the client of a member; calls share one connection.
func (p *Pool) Client(m structs.Member) peerv1connect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := p.addrOf(m)
	if c := p.clients[addr]; c != nil {
		return c
	}
	c := p.open(m, addr)
	p.clients[addr] = c
	return c
}

// addrOf returns the address at which this entry dials a member.
func (p *Pool) addrOf(m structs.Member) string {
	if m.Region != p.region && m.CrossRegionAddr != "" {
		return m.CrossRegionAddr
	}
	return m.PeerAddr
}

// Reset closes the connections to a member; the next call opens a fresh one. It
// is called after a call timed out, since its connection may be silent.
func (p *Pool) Reset(m structs.Member) {
	p.mu.Lock()
	addr := p.addrOf(m)
	c := p.clients[addr]
	delete(p.clients, addr)
	p.mu.Unlock()
	if c != nil {
		c.transport.CloseIdleConnections()
	}
}

// RetainOnly drops the clients of all addresses but those of the given members.
func (p *Pool) RetainOnly(members []structs.Member) {
	wanted := make(map[string]bool, len(members))
	for _, m := range members {
		wanted[p.addrOf(m)] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		if !wanted[addr] {
			c.transport.CloseIdleConnections()
			delete(p.clients, addr)
		}
	}
}

func (p *Pool) open(m structs.Member, addr string) *client {
	bytes := &p.LocalTraffic
	if m.Region != p.region {
		bytes = &p.CrossRegionTraffic
	}
	transport := NewTransport(httpx.CountDialer(bytes))
	rt := p.clock.Transport(transport)
	service := peerv1connect.NewPeerServiceClient(
		&http.Client{Transport: rt},
		"http://"+addr,
		connect.WithInterceptors(signer{keys: p.keys}),
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
	)
	return &client{PeerServiceClient: service, transport: transport}
}

// signer adds the shared key to every call.
type signer struct{ keys httpx.Keys }

// WrapUnary implements connect.Interceptor.
func (s signer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		s.keys.Sign(req.Header())
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor; there are no streams.
func (s signer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor; there are no streams.
func (s signer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// ClassifyCallError gives a failed call its type: CodeUnavailable if the callee certainly
// never got it, CodeUnknown otherwise.
func ClassifyCallError(err error) error {
	if err == nil {
		return nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		return structs.NewError(structs.CodeUnauthorized, "%v", err)
	case connect.CodeUnimplemented:
		return structs.NewError(structs.CodeInvalid, "%v", err)
	case connect.CodeInvalidArgument:
		// The same code is given to an answer that can't be decoded, which comes
		// from this side.
		if connect.IsWireError(err) {
			return structs.NewError(structs.CodeInvalid, "%v", err)
		}
	}
	if neverSent(err) {
		return structs.NewError(structs.CodeUnavailable, "%v", err)
	}
	return structs.NewError(structs.CodeUnknown, "%v", err)
}
