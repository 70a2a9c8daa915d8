package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// mayGrant reports whether this entry may renew leases and give out work: it has
// joined, and has read the log's tail within the authority bound.
func (c *core) mayGrant(now time.Time) bool {
	return c.joined && now.Sub(c.controlRead) <= c.e.timing.Authority
}

func (e *Entry) mayGrant() (ok bool) {
	e.do(func() { ok = e.core.mayGrant(time.Now()) })
	return ok
}

// Consent implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Consent(context.Context, *peerv1.ConsentRequest) (*peerv1.ConsentResponse, error) {
	return &peerv1.ConsentResponse{Error: fromError(structs.NewError(structs.CodeNoAuthority, "no consent is given"))}, nil
}

// Records implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Records(context.Context, *peerv1.RecordsRequest) (*peerv1.RecordsResponse, error) {
	return nil, structs.NewError(structs.CodeUnavailable, "no records are relayed")
}

// Release implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Release(context.Context, *peerv1.ReleaseRequest) (*peerv1.ReleaseResponse, error) {
	return &peerv1.ReleaseResponse{}, nil
}
