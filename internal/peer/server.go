package peer

import (
	stderrors "errors"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/peer/peerv1/peerv1connect"
	"dotterelhitch/internal/structs"
)

// maxStreams limits the concurrent calls on one peer connection.
const maxStreams = 2048

// CompressMinBytes is the size from which a message is compressed. Heartbeats are
// far smaller; compressing them costs more than it saves.
const CompressMinBytes = 4 << 10

// readHeaderTimeout limits how long a peer may take to send a request's header.
const readHeaderTimeout = 5 * time.Second

// NewServer returns the server of the peer interface: HTTP/2 without TLS,
// authenticated by the shared keys.
func NewServer(svc peerv1connect.PeerServiceHandler, keys httpx.Keys, clock *event.Clock, set *metrics.Set) *http.Server {
	path, handler := peerv1connect.NewPeerServiceHandler(
		svc,
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(CompressMinBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(path, keys.Require(countCalls(handler, set)))
	return NewHTTP2Server(clock.Middleware(mux))
}

// countCalls counts the calls served, by method.
func countCalls(next http.Handler, set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		method := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
		set.GetOrCreateCounter(`hitch_peer_calls{method="` + method + `"}`).Inc()
		next.ServeHTTP(w, r)
	})
}

// dialFailed reports whether a call failed while dialing, before any byte of the
// call was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return stderrors.As(err, &op) && op.Op == "dial"
}

// ErrorToProto converts err to its protobuf message; nil yields nil.
func ErrorToProto(err error) *peerv1.Error {
	if err == nil {
		return nil
	}
	e := structs.AsError(err)
	return &peerv1.Error{Code: string(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}

// ErrorFromProto converts a protobuf message to a *structs.Error; nil yields nil.
func ErrorFromProto(e *peerv1.Error) error {
	if e == nil {
		return nil
	}
	return &structs.Error{Code: structs.Code(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}

// ResourcesToProto converts resources to their protobuf message.
func ResourcesToProto(r structs.Resources) *peerv1.Resources {
	return &peerv1.Resources{CpuMilli: r.CPUMilli, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// ResourcesFromProto converts a protobuf message to resources; nil yields zero
// resources.
func ResourcesFromProto(r *peerv1.Resources) structs.Resources {
	return structs.Resources{
		CPUMilli:     r.GetCpuMilli(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
	}
}
