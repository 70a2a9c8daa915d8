package endpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

// cannedConn is a connection that takes every request and answers fixed bytes.
type cannedConn struct {
	io.Reader
}

func (cannedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (cannedConn) Close() error                     { return nil }
func (cannedConn) LocalAddr() net.Addr              { return nil }
func (cannedConn) RemoteAddr() net.Addr             { return nil }
func (cannedConn) SetDeadline(time.Time) error      { return nil }
func (cannedConn) SetReadDeadline(time.Time) error  { return nil }
func (cannedConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzAnswer feeds any bytes as an endpoint's answer: once the request has been
// sent, only a whole answer with the right ID is answered and only a listed
// refusal is not run.
func FuzzAnswer(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nHitch-Request-Id: r1\r\nContent-Length: "
	f.Add([]byte(head + "2\r\n\r\nok"))
	f.Add([]byte(head + "3\r\n\r\nok"))
	f.Add([]byte(head + "2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 429 X\r\nHitch-Request-Id: r1\r\n\r\n{\"error\":{\"code\":\"overload\"}}"))
	f.Add([]byte("HTTP/1.1 100 C\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		c := NewClient(Options{Dial: func(context.Context, string) (net.Conn, error) {
			return cannedConn{bytes.NewReader(answer)}, nil
		}})
		defer c.Close()
		got := send(c, "r1", false)
		switch got.Outcome {
		case structs.OutcomeAnswered:
			if !bytes.Contains(answer, got.Body) || !strings.Contains(string(answer), "r1") {
				t.Fatalf("an answer that is not in the bytes: %q", got.Body)
			}
		case structs.OutcomeNotRun:
			if got.Unsent || !notRunCodes[got.Err.Code] {
				t.Fatalf("not run with %v", got.Err)
			}
		case structs.OutcomeUnknown:
			if got.Err == nil || got.Body != nil {
				t.Fatalf("unknown without a reason or with a body: %+v", got)
			}
		default:
			t.Fatalf("outcome %q", got.Outcome)
		}
	})
}
