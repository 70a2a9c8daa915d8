package httpintake

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/intake"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Refuse writes the response to a request that is refused.
type Refuse func(w http.ResponseWriter, r *http.Request, err error)

// Protect has the server account for the requests of the interface. Its listener must be one of Listener.
func (i *Interface) Protect(s *http.Server, refuse Refuse) {
	i.http2 = s.Protocols != nil && s.Protocols.UnencryptedHTTP2()
	s.Handler = i.handler(s.Handler, refuse)
	s.ConnState = i.state
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	// Gate.Run bounds the time of headers, so that the bound may change, and without a deadline for each request.
	s.ReadHeaderTimeout = 0
}

// handler returns a handler that accounts for the bodies of the requests that next serves.
func (i *Interface) handler(next http.Handler, refuse Refuse) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok || r.Body == nil || r.Body == http.NoBody:
			next.ServeHTTP(w, r)
		case c.http2:
			i.serveStream(next, refuse, w, r)
		default:
			c.serveRequest(next, refuse, w, r)
		}
	})
}

// begin accounts for a request whose body is about to be read. The error says that the request is refused.
func (i *Interface) begin(c *intake.Client, r *http.Request) error {
	g := i.gate
	now := g.now()
	g.mu.Lock()
	before := c.Phase()
	victims, ok := c.BeginBody(now)
	if ok && i.messageBytes > 0 && isCompressed(r.Header) {
		var more []*intake.Client
		more, ok = c.Charge(i.messageBytes, now)
		victims = append(victims, more...)
	}
	reason := c.Reason()
	g.mu.Unlock()
	cutOff(victims)
	if ok {
		return nil
	}
	if before != intake.Ended {
		i.refused[reason].Inc()
	}
	return errRefused(reason)
}

// isCompressed reports whether the messages of a request may be compressed.
func isCompressed(h http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if v := h.Get(name); v != "" && v != "identity" {
			return true
		}
	}
	return false
}

// serveRequest serves a request of HTTP/1.
func (c *conn) serveRequest(next http.Handler, refuse Refuse, w http.ResponseWriter, r *http.Request) {
	if err := c.iface.begin(&c.client, r); err != nil {
		w.Header().Set("Connection", "close")
		c.drain()
		refuse(w, r, err)
		return
	}
	c.body.ReadCloser, c.body.conn, c.body.response, c.body.err = r.Body, c, w, nil
	c.body.open.Store(true)
	defer func() {
		c.body.open.Store(false)
		c.iface.locked(c.client.Discard)
	}()
	if !definesBody(r.Method) {
		c.body.skip()
	}
	// The server goes by the type of the body in its own request.
	withBody := *r
	withBody.Body = &c.body
	next.ServeHTTP(w, &withBody)
	c.body.skip()
}

// definesBody reports whether a body has a meaning in requests with the method.
func definesBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return false
	default:
		return true
	}
}

// maxSkippedBytes is how much of a body is skipped. Behind a larger one, the server closes the connection.
const maxSkippedBytes = 256 << 10

// skip reads the rest of a body that no handler reads, as the server would before it answers. Only behind the end of a
// body can a request be seen that was sent ahead.
func (b *connBody) skip() {
	_, _ = io.CopyN(io.Discard, b, maxSkippedBytes) // the handler gets an error too if it reads on
}

// connBody is the body of a request of HTTP/1. Each connection has one at a time.
type connBody struct {
	io.ReadCloser
	conn     *conn
	response http.ResponseWriter
	// open is true until the body has been read completely or the handler has returned.
	open atomic.Bool
	err  error // of the refusal
}

// Read implements io.Reader.
func (b *connBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	c := b.conn
	c.iface.locked(func() {
		if b.err = c.iface.bodyEnded(&c.client, err); b.err == nil {
			b.open.Store(false) // with the mutex locked, since cutOff closes the connection only if it is false
		}
	})
	if b.err != nil {
		b.response.Header().Set("Connection", "close")
		return 0, b.err
	}
	return n, err
}

// bodyEnded accounts for the end of a body, at which reading it returned err. It returns an error if the request was
// refused or cut off before. The gate's mutex is locked.
func (i *Interface) bodyEnded(c *intake.Client, err error) error {
	if err == io.EOF {
		if c.BodyRead(i.gate.now()) {
			return nil
		}
	} else if c.Phase() != intake.Ended {
		return nil
	}
	return errRefused(c.Reason())
}

// stream is a request of HTTP/2.
type stream struct {
	io.ReadCloser
	iface     *Interface
	client    intake.Client // guarded by the gate's mutex
	messages  envelope
	enveloped bool // the body is a series of messages

	mu         sync.Mutex
	controller *http.ResponseController // nil once the handler has returned
}

// headerEntryBytes is what an entry of a header takes up in addition to its name and value.
const headerEntryBytes = 32

// headerSize returns the approximate size of a request's header in bytes.
func headerSize(r *http.Request) int64 {
	size := len(r.URL.Path) + len(r.Host)
	for name, values := range r.Header {
		size += len(name) + headerEntryBytes
		for _, v := range values {
			size += len(v)
		}
	}
	return int64(size)
}

// serveStream serves a request of HTTP/2.
func (i *Interface) serveStream(next http.Handler, refuse Refuse, w http.ResponseWriter, r *http.Request) {
	s := &stream{ReadCloser: r.Body, iface: i, controller: http.NewResponseController(w)}
	s.client.Owner = s
	contentType := r.Header.Get("Content-Type")
	s.enveloped = strings.HasPrefix(contentType, "application/connect+") || strings.HasPrefix(contentType, "application/grpc")
	g := i.gate
	g.mu.Lock()
	victims, ok := g.account.OpenStream(&s.client, headerSize(r), g.now())
	reason := s.client.Reason()
	g.mu.Unlock()
	cutOff(victims)
	defer s.close()
	if !ok {
		i.refused[reason].Inc()
		refuse(w, r, errRefused(reason))
		return
	}
	// A series of messages may begin at any time.
	if !s.enveloped {
		if err := i.begin(&s.client, r); err != nil {
			refuse(w, r, err)
			return
		}
	}
	withBody := *r
	withBody.Body = s
	next.ServeHTTP(w, &withBody)
}

// close removes the stream from the account, once its handler has returned.
func (s *stream) close() {
	s.mu.Lock()
	s.controller = nil
	s.mu.Unlock()
	s.iface.locked(s.client.Close)
}

func (s *stream) parent() *Interface { return s.iface }

// cutOff implements owner.
func (s *stream) cutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.controller != nil {
		_ = s.controller.SetReadDeadline(time.Unix(1, 0)) // fails on an ended stream only
	}
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if n > 0 {
		if refusal := s.receive(p[:n]); refusal != nil {
			return 0, refusal
		}
	}
	if err != nil {
		var refusal error
		s.iface.locked(func() { refusal = s.iface.bodyEnded(&s.client, err) })
		if refusal != nil {
			return 0, refusal
		}
	}
	return n, err
}

// receive accounts for a part of the body that has arrived.
func (s *stream) receive(b []byte) error {
	g := s.iface.gate
	now := g.now()
	g.mu.Lock()
	before := s.client.Phase()
	ok := true
	var victims []*intake.Client
	if before == intake.Handling {
		victims, ok = s.client.BeginBody(now) // of the next message
	}
	if ok && s.enveloped && s.messages.advance(b) {
		ok = s.client.MessageRead(now)
	} else if ok {
		var more []*intake.Client
		more, ok = s.client.Receive(b, now)
		victims = append(victims, more...)
	}
	reason := s.client.Reason()
	g.mu.Unlock()
	cutOff(victims)
	if ok {
		return nil
	}
	if before != intake.Ended {
		s.iface.refused[reason].Inc()
	}
	return errRefused(reason)
}
