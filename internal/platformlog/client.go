// Package platformlog is the client of the platform's append-only log service.
// docs/PLATFORM.md states the protocol and what the system assumes of it.
package platformlog

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/platformhttp"
	"dotterelhitch/internal/structs"
)

// MaxRecordBytes bounds one record.
const MaxRecordBytes = 512 << 10

// Bounds on the time of a call.
const (
	appendTimeout = 5 * time.Second
	readGrace     = 3 * time.Second
)

// Config says which log service to use.
type Config struct {
	// BaseURL is "http://host:port".
	BaseURL string
	// Keys are the shared keys; empty turns authentication off.
	Keys httpx.Keys
	// Clock stamps the calls; it may be nil.
	Clock *event.Clock
	// AppendTimeout bounds an append; zero means 5 s.
	AppendTimeout time.Duration
	// Traffic counts the bytes of the calls; it may be nil.
	Traffic *httpx.TrafficCounter
}

// Client appends to and reads the streams of the log service. It is safe for
// concurrent use.
type Client struct {
	http          *platformhttp.Client
	appendTimeout time.Duration
}

// New returns a client of the log service at cfg.BaseURL.
func New(cfg Config) *Client {
	c := &Client{
		http:          platformhttp.New(platformhttp.Config{BaseURL: cfg.BaseURL, Keys: cfg.Keys, Clock: cfg.Clock, Traffic: cfg.Traffic}),
		appendTimeout: cfg.AppendTimeout,
	}
	if c.appendTimeout <= 0 {
		c.appendTimeout = appendTimeout
	}
	return c
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// UnmarshalJSON implements json.Unmarshaler. A record whose data can't be decoded has none, so that
// the records after it can be read.
func (r *Record) UnmarshalJSON(b []byte) error {
	var raw struct {
		Offset int64           `json:"offset"`
		Data   json.RawMessage `json:"data"`
	}
	if err := json.Unmarshal(b, &raw); err != nil {
		return err
	}
	r.Offset = raw.Offset
	if json.Unmarshal(raw.Data, &r.Data) != nil {
		r.Data = nil
	}
	return nil
}

// Batch is the answer to a read.
type Batch struct {
	// FirstOffset is the oldest offset that is kept.
	FirstOffset int64 `json:"first"`
	// NextOffset is the offset that the next append will get.
	NextOffset int64    `json:"next"`
	Records    []Record `json:"records"`
}

// AppendResult is the answer to an append.
type AppendResult struct {
	Offset int64 `json:"offset"`
}

// Append adds one record to a stream and returns its offset. An error of
// CodeUnknown says that the record may have been appended or may yet be; any
// other error says that it certainly is not and will not be.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > MaxRecordBytes {
		return 0, structs.NewError(structs.CodeTooLarge, "record of %d bytes: at most %d", len(data), MaxRecordBytes)
	}
	x := platformhttp.Exchange{
		Method:      http.MethodPost,
		Path:        streamPath(stream),
		Body:        data,
		ContentType: "application/octet-stream",
		Timeout:     c.appendTimeout,
	}
	var out AppendResult
	delivery, err := c.http.Do(ctx, x, &out)
	if err != nil {
		return 0, appendError(stream, delivery, err)
	}
	if out.Offset < 1 {
		return 0, structs.NewError(structs.CodeUnknown, "append to %s: answer with offset %d", stream, out.Offset)
	}
	return out.Offset, nil
}

// appendError gives a failed append the type CodeUnknown unless the record is
// certainly not appended.
func appendError(stream string, delivery platformhttp.Delivery, err error) error {
	if delivery == platformhttp.NotSent {
		return structs.NewError(structs.CodeUnavailable, "append to %s: not sent: %v", stream, err)
	}
	if delivery == platformhttp.Answered && refusedBeforeAppend(structs.CodeOf(err)) {
		return err
	}
	return structs.NewError(structs.CodeUnknown, "append to %s: %v", stream, err)
}

// refusedBeforeAppend reports whether a code in an answer of the log service says that the
// record was refused before it could take effect.
func refusedBeforeAppend(code structs.Code) bool {
	switch code {
	case structs.CodeInvalid, structs.CodeNotFound, structs.CodeTooLarge,
		structs.CodeOverload, structs.CodeUnauthorized, structs.CodeUnavailable:
		return true
	default:
		return false
	}
}

// Read returns up to max records of a stream from offset from on. If there is
// none yet it waits up to wait for the first.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Batch, error) {
	path := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", streamPath(stream), from, max, wait.Milliseconds())
	x := platformhttp.Exchange{Method: http.MethodGet, Path: path, Timeout: wait + readGrace}
	var out Batch
	if _, err := c.http.Do(ctx, x, &out); err != nil {
		return Batch{}, err
	}
	if err := out.check(from); err != nil {
		return Batch{}, err
	}
	return out, nil
}

// check refuses a batch whose offsets do not rise by one from where the read
// began.
func (b Batch) check(from int64) error {
	if b.FirstOffset < 1 || b.NextOffset < b.FirstOffset {
		return structs.NewError(structs.CodeInternal, "log answer: first %d, next %d", b.FirstOffset, b.NextOffset)
	}
	want := max(from, b.FirstOffset)
	for _, r := range b.Records {
		if r.Offset != want || r.Offset >= b.NextOffset {
			return structs.NewError(structs.CodeInternal, "log answer: offset %d in place of %d", r.Offset, want)
		}
		want++
	}
	return nil
}

func streamPath(stream string) string {
	return "/v1/streams/" + url.PathEscape(stream) + "/records"
}
