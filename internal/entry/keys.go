package entry

import (
	"context"

	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// errNoHomes refuses keyed requests: without a home for its key a request could
// run twice.
func errNoHomes() error {
	return structs.NewError(structs.CodeUnavailable, "no home for request keys")
}

// Permit implements dispatch.Keys.
func (t *traffic) Permit(context.Context, string, string, []byte) (dispatch.Decision, error) {
	return dispatch.Decision{}, errNoHomes()
}

// Settle implements dispatch.Keys.
func (t *traffic) Settle(context.Context, string, structs.Answer) error { return errNoHomes() }

// Permit implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Permit(context.Context, *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
	return &peerv1.PermitResponse{Error: fromError(errNoHomes())}, nil
}

// Settle implements peerv1connect.PeerServiceHandler.
func (s *peerServer) Settle(context.Context, *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	return &peerv1.SettleResponse{Error: fromError(errNoHomes())}, nil
}

// CopyKey implements peerv1connect.PeerServiceHandler.
func (s *peerServer) CopyKey(context.Context, *peerv1.CopyKeyRequest) (*peerv1.CopyKeyResponse, error) {
	return &peerv1.CopyKeyResponse{Error: fromError(errNoHomes())}, nil
}
