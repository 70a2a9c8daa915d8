// Package httpx holds the HTTP plumbing that every peer package shares: JSON
// bodies with limits, typed error bodies, shared-key checks and transports that
// do not wait for ever on a silent connection.
package httpx

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// MaxJSONBytes bounds every JSON body that is read from another process.
const MaxJSONBytes = 8 << 20

// Timeouts and bounds of a client transport.
const (
	dialTimeout      = 2 * time.Second
	idleConnTimeout  = 30 * time.Second
	maxConnsPerHost  = 64
	maxIdlePerHost   = 16
	maxHeaderBytes   = 16 << 10
	readHeaderWithin = 5 * time.Second
	serverIdle       = 60 * time.Second
)

// errorBody is the JSON form of a failure.
type errorBody struct {
	Error *structs.Error `json:"error"`
}

// StatusOf returns the HTTP status that goes with a failure type.
func StatusOf(code structs.Code) int {
	switch code {
	case structs.CodeInvalid:
		return http.StatusBadRequest
	case structs.CodeUnauthorized:
		return http.StatusUnauthorized
	case structs.CodeNotFound:
		return http.StatusNotFound
	case structs.CodeConflict, structs.CodeStaleEpoch, structs.CodeInProgress, structs.CodeKeyReused:
		return http.StatusConflict
	case structs.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case structs.CodeNeverFits, structs.CodeQuota:
		return http.StatusUnprocessableEntity
	case structs.CodeOverload:
		return http.StatusTooManyRequests
	case structs.CodeDeadline, structs.CodeUnknown, structs.CodeTruncated:
		return http.StatusGatewayTimeout
	case structs.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// WriteJSON writes v with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		WriteError(w, structs.NewError(structs.CodeInternal, "encoding the answer: %v", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// WriteError writes err as a typed error body with its status.
func WriteError(w http.ResponseWriter, err error) {
	e := structs.AsError(err)
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(errorBody{Error: e})
	w.WriteHeader(StatusOf(e.Code))
	_, _ = w.Write(b)
}

// ReadJSON decodes a request body of at most limit bytes into v. Unknown members
// and trailing data are refused.
func ReadJSON(r *http.Request, limit int64, v any) error {
	body, err := ReadLimited(r.Body, limit)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return structs.NewError(structs.CodeInvalid, "body: %v", err)
	}
	if dec.More() {
		return structs.NewError(structs.CodeInvalid, "body: data after the JSON value")
	}
	return nil
}

// ReadLimited reads all of r and fails with CodeTooLarge past limit bytes.
func ReadLimited(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(b)) > limit {
		return nil, structs.NewError(structs.CodeTooLarge, "body: more than %d bytes", limit)
	}
	return b, nil
}

// NewTransport returns a transport whose connections are bounded in number and
// counted. The clock may be nil.
func NewTransport(clock *event.Clock, bytes ...*TrafficCounter) http.RoundTripper {
	t := &http.Transport{
		DialContext:            CountDialer(bytes...),
		MaxConnsPerHost:        maxConnsPerHost,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	if clock == nil {
		return t
	}
	return clock.Transport(t)
}

// NewServer returns an HTTP server with bounded headers and read times.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderWithin,
		IdleTimeout:       serverIdle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Keys is the set of accepted shared keys; the first is the one to send. An
// empty set turns authentication off.
type Keys []string

// Sign adds the first key to a request's header.
func (k Keys) Sign(h http.Header) {
	if len(k) > 0 {
		h.Set("Authorization", "Bearer "+k[0])
	}
}

// Check reports whether the header bears one of the keys.
func (k Keys) Check(h http.Header) error {
	if len(k) == 0 {
		return nil
	}
	got := strings.TrimPrefix(h.Get("Authorization"), "Bearer ")
	ok := 0
	for _, key := range k {
		ok |= subtle.ConstantTimeCompare([]byte(got), []byte(key))
	}
	if ok == 1 {
		return nil
	}
	return structs.NewError(structs.CodeUnauthorized, "the shared key is missing or wrong")
}

// Require wraps a handler so that only requests with one of the keys pass.
func (k Keys) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := k.Check(r.Header); err != nil {
			WriteError(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Client calls JSON endpoints of one peer.
type Client struct {
	// BaseURL is "http://host:port".
	BaseURL string
	HTTP    *http.Client
	Keys    Keys
}

// Call sends in (nil for none) as JSON and decodes a 2xx answer into out (nil to
// drop it). A typed error body is returned as *structs.Error; a transport
// failure as one of CodeUnavailable or, past ctx's deadline, CodeDeadline.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return structs.NewError(structs.CodeInvalid, "encoding the body: %v", err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, body)
	if err != nil {
		return structs.NewError(structs.CodeInvalid, "%s %s: %v", method, path, err)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.Keys.Sign(req.Header)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return TransportError(err)
	}
	defer resp.Body.Close()
	b, err := ReadLimited(resp.Body, MaxJSONBytes)
	if err != nil {
		return TransportError(err)
	}
	if resp.StatusCode/100 != 2 {
		return DecodeError(resp.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return structs.NewError(structs.CodeInternal, "%s %s: answer: %v", method, path, err)
	}
	return nil
}

// DecodeError turns an error answer into its typed failure.
func DecodeError(status int, body []byte) error {
	var e errorBody
	if err := json.Unmarshal(body, &e); err == nil && e.Error != nil {
		return e.Error
	}
	return structs.NewError(structs.CodeInternal, "status %d without a typed error", status)
}

// TransportError gives a failure of the transport its type.
func TransportError(err error) error {
	var typed *structs.Error
	if stderrors.As(err, &typed) {
		return typed
	}
	var timeout net.Error
	if stderrors.Is(err, context.DeadlineExceeded) || (stderrors.As(err, &timeout) && timeout.Timeout()) {
		return structs.NewError(structs.CodeDeadline, "%v", err)
	}
	return structs.NewError(structs.CodeUnavailable, "%v", err)
}
