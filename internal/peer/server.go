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

// maxStreams bounds the calls that one peer may have open at a time.
const maxStreams = 2048

// compressMinBytes is the size from which a message is compressed: heartbeats are
// far below, for which the compressors cost more than they save.
const compressMinBytes = 4 << 10

// readHeaderTimeout bounds the time a peer may take to send a request's header.
const readHeaderTimeout = 5 * time.Second

// NewServer returns the server of the peer interface: HTTP/2 without TLS, behind
// the shared keys.
func NewServer(svc peerv1connect.PeerServiceHandler, keys httpx.Keys, clock *event.Clock, set *metrics.Set) *http.Server {
	path, handler := peerv1connect.NewPeerServiceHandler(
		svc,
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(path, keys.Require(countCalls(handler, set)))
	return NewHTTP2Server(clock.Middleware(mux))
}

// countCalls counts the calls that are served, by method.
func countCalls(next http.Handler, set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		method := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
		set.GetOrCreateCounter(`hitch_peer_calls{method="` + method + `"}`).Inc()
		next.ServeHTTP(w, r)
	})
}

// neverSent reports whether a call failed before any byte of it went out.
func neverSent(err error) bool {
	var op *net.OpError
	return stderrors.As(err, &op) && op.Op == "dial"
}

// ErrorToProto turns a typed failure into its message, nil into nil.
func ErrorToProto(err error) *peerv1.Error {
	if err == nil {
		return nil
	}
	e := structs.AsError(err)
	return &peerv1.Error{Code: string(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}

// ErrorFromProto turns a message back into a typed failure, nil into nil.
func ErrorFromProto(e *peerv1.Error) error {
	if e == nil {
		return nil
	}
	return &structs.Error{Code: structs.Code(e.Code), Message: e.Message, RetryAfterMs: e.RetryAfterMs}
}

// ResourcesToProto turns resources into their message.
func ResourcesToProto(r structs.Resources) *peerv1.Resources {
	return &peerv1.Resources{CpuMilli: r.CPUMilli, MemoryMib: r.MemoryMiB, Accelerators: r.Accelerators}
}

// ResourcesFromProto turns a message back into resources; nil gives none.
func ResourcesFromProto(r *peerv1.Resources) structs.Resources {
	return structs.Resources{
		CPUMilli:     r.GetCpuMilli(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
	}
}
