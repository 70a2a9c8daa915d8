package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/peer/peerv1/peerv1connect"
	"dotterelhitch/internal/structs"
)

// burst is the number of first calls at a time.
const burst = 50

// barrierServer answers no call before all calls of the burst have arrived.
type barrierServer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	arrived sync.WaitGroup
}

// Dispatch implements peerv1connect.PeerServiceHandler.
func (s *barrierServer) Dispatch(_ context.Context, r *peerv1.DispatchRequest) (*peerv1.DispatchResponse, error) {
	s.arrived.Done()
	s.arrived.Wait()
	return &peerv1.DispatchResponse{Id: r.GetId()}, nil
}

// TestBurstSharesOneConnection checks that calls that begin together share a connection
// and all run at a time.
func TestBurstSharesOneConnection(t *testing.T) {
	svc := &barrierServer{}
	svc.arrived.Add(burst)
	server := NewServer(svc, nil, new(event.Clock), metrics.NewSet())
	var opened atomic.Int64
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	pool := NewPool(nil, new(event.Clock), "casa")
	member := structs.Member{ID: "e1", Region: "fes", PeerAddr: l.Addr().String()}
	var calls sync.WaitGroup
	for range burst {
		calls.Go(func() {
			if _, err := pool.Client(member).Dispatch(t.Context(), &peerv1.DispatchRequest{Id: "r"}); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}
