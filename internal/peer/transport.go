package peer

import (
	"context"
	"net"
	"net/http"
	"time"
)

// dialTimeout bounds the opening of a connection to a peer.
const dialTimeout = time.Second

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns an HTTP/2 transport without TLS that keeps one connection a host
// and probes it while it is idle.
func NewTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext: dial,
		Protocols:   protocols,
		// A burst of first calls would open a connection each otherwise, which
		// are all probed until they are closed as idle.
		MaxConnsPerHost: 1,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
		},
	}
}

// NewHTTP2Server sets up a server for HTTP/2 without TLS with the bounds of this package.
func NewHTTP2Server(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingAfter,
			PingTimeout:          pingTimeout,
			WriteByteTimeout:     writeTimeout,
		},
	}
}
