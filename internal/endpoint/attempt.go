package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// Headers between an owner and an endpoint; docs/PLATFORM.md describes them.
const (
	HeaderEpoch     = "Hitch-Epoch"
	HeaderOwner     = "Hitch-Owner"
	HeaderClass     = "Hitch-Class"
	HeaderKey       = "Hitch-Key"
	HeaderDeadline  = "Hitch-Deadline-Ms"
	HeaderRequestID = "Hitch-Request-Id"
)

// Bounds on what is read of an answer that is not a whole one.
const (
	maxErrorBytes   = 16 << 10
	maxInformations = 4
)

// attempt sends r on a connection and reads the answer. It takes the connection
// over. The second result is true if nothing was sent because a reused
// connection was dead.
func (c *Client) attempt(ctx context.Context, cn *conn, f FencingToken, r structs.Request, deadline time.Time) (Result, bool) {
	left, err := untilDeadline(time.Now(), deadline)
	if err != nil {
		c.pool.drop(cn)
		return unsent(err), false
	}
	req, err := c.newRequest(cn.target, f, r, left)
	if err != nil {
		c.pool.drop(cn)
		return unsent(err), false
	}
	if err := f.check(); err != nil {
		c.pool.drop(cn)
		return unsent(err), false
	}
	end := cn.begin(ctx, deadline)
	if err := req.Write(cn); err != nil {
		end()
		return c.writeFailed(cn, err)
	}
	res, keep, err := c.read(cn, req, r.ID)
	alive := end()
	switch {
	case err == nil && keep && alive:
		cn.answeredAt = time.Now()
		c.pool.put(cn)
	case err != nil && isTimeout(err):
		c.pool.linger(cn, req)
	default:
		c.pool.drop(cn)
	}
	return res, false
}

// writeFailed gives the verdict on a request that was not sent whole: if the
// connection accepted no byte of it, it certainly was not run.
func (c *Client) writeFailed(cn *conn, err error) (Result, bool) {
	c.pool.drop(cn)
	typed := transportError(err, "sending the request")
	if cn.written > 0 {
		return unknown(typed), false
	}
	return unsent(typed), cn.reused
}

func (c *Client) newRequest(t Target, f FencingToken, r structs.Request, left time.Duration) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: t.Addr, Path: "/v1/requests/" + r.ID}
	req, err := http.NewRequest(http.MethodPost, target.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, structs.NewError(structs.CodeInternal, "building the request: %v", err)
	}
	req.Header.Set(HeaderEpoch, strconv.FormatInt(f.Epoch, 10))
	req.Header.Set(HeaderOwner, f.Owner)
	req.Header.Set(HeaderClass, r.Class)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
	}
	if c.opts.Clock != nil {
		req.Header.Set(event.ClockHeader, c.opts.Clock.Now().String())
	}
	c.opts.Keys.Sign(req.Header)
	return req, nil
}

// read reads the answer to request id. Once it is called the request may have
// run, whatever goes wrong. keep says whether the connection can be used again;
// the error is that of the connection, nil if the answer was read to its end.
func (c *Client) read(cn *conn, req *http.Request, id string) (res Result, keep bool, err error) {
	resp, err := readResponse(cn, req)
	if err != nil {
		return unknown(transportError(err, "waiting for the answer")), false, err
	}
	defer resp.Body.Close()
	c.observe(resp)
	if resp.StatusCode != http.StatusOK {
		return c.readRefusal(cn, resp, id)
	}
	if got := resp.Header.Get(HeaderRequestID); got != id {
		c.counts.wrongID.Inc()
		return unknown(structs.NewError(structs.CodeUnknown, "the endpoint answered request %.80q", got)), false, nil
	}
	return c.readAnswer(resp)
}

// readResponse reads a status line and header, past informational ones.
func readResponse(cn *conn, req *http.Request) (*http.Response, error) {
	for range maxInformations {
		resp, err := http.ReadResponse(cn.reader, req)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, structs.NewError(structs.CodeUnknown, "the endpoint sent only informational answers")
}

// readAnswer reads a body of a stated length whole, or fails.
func (c *Client) readAnswer(resp *http.Response) (Result, bool, error) {
	if resp.ContentLength < 0 {
		c.counts.truncated.Inc()
		return unknown(structs.NewError(structs.CodeTruncated, "the answer states no length")), false, nil
	}
	if resp.ContentLength > structs.MaxAnswerBytes {
		err := structs.NewError(structs.CodeTooLarge, "answer of %d bytes: at most %d", resp.ContentLength, structs.MaxAnswerBytes)
		return unknown(err), false, nil
	}
	body := make([]byte, resp.ContentLength)
	n, err := io.ReadFull(resp.Body, body)
	if err != nil {
		c.counts.truncated.Inc()
		cut := structs.NewError(structs.CodeTruncated, "answer ended after %d of %d bytes: %v", n, len(body), err)
		return unknown(cut), false, errors.Trace(err)
	}
	return answered(body), !resp.Close, nil
}

// readRefusal reads a typed failure. Only the types that docs/PLATFORM.md lists
// say that the request was not run, and only if the failure is about this
// request: it bears its ID, or none and is the first answer on the connection.
func (c *Client) readRefusal(cn *conn, resp *http.Response, id string) (Result, bool, error) {
	body, err := httpx.ReadLimited(resp.Body, maxErrorBytes)
	if err != nil {
		return unknown(transportError(err, "reading the refusal")), false, errors.Trace(err)
	}
	typed := structs.AsError(httpx.DecodeError(resp.StatusCode, body))
	got := resp.Header.Get(HeaderRequestID)
	if got != id && (got != "" || cn.reused) {
		c.counts.wrongID.Inc()
		return unknown(structs.NewError(structs.CodeUnknown, "refusal %s of request %.80q", typed.Code, got)), false, nil
	}
	keep := got == id && !resp.Close
	if !notRunCodes[typed.Code] {
		return unknown(typed), keep, nil
	}
	return refused(typed), keep, nil
}

// observe merges the endpoint's clock.
func (c *Client) observe(resp *http.Response) {
	if c.opts.Clock == nil {
		return
	}
	if t, ok := event.ParseTime(resp.Header.Get(event.ClockHeader)); ok {
		c.opts.Clock.Observe(t)
	}
}

// transportError gives a failure of a connection its type.
func transportError(err error, doing string) error {
	code := structs.CodeUnavailable
	if isTimeout(err) {
		code = structs.CodeDeadline
	}
	return structs.NewError(code, "%s: %v", doing, errors.Cause(err))
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
