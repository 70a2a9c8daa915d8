package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

// script plays the endpoint's side of connection number n, from 1.
type script func(n int, c net.Conn)

// fake dials in-memory connections whose other end a script plays.
type fake struct {
	mu    sync.Mutex
	dials int
	late  []LateAnswer
}

func newFake(t *testing.T, play script, o Options) (*Client, *fake) {
	t.Helper()
	f := new(fake)
	o.Dial = func(context.Context, string) (net.Conn, error) {
		here, there := net.Pipe()
		f.mu.Lock()
		f.dials++
		n := f.dials
		f.mu.Unlock()
		go func() {
			defer there.Close()
			play(n, there)
		}()
		return here, nil
	}
	o.OnLateAnswer = func(l LateAnswer) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.late = append(f.late, l)
	}
	c := NewClient(o)
	t.Cleanup(c.Close)
	return c, f
}

func (f *fake) dialled() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dials
}

func (f *fake) lates() []LateAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// readRequest reads one request whole and returns its ID.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.URL.Path[len("/v1/requests/"):], err
}

// reply writes a whole answer.
func reply(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, id, len(body), body)
}

// refuse writes a typed failure; an empty id leaves the header out.
func refuse(w io.Writer, id string, code structs.Code) {
	body := fmt.Sprintf(`{"error":{"code":%q,"message":"refused"}}`, code)
	header := ""
	if id != "" {
		header = fmt.Sprintf("%s: %s\r\n", HeaderRequestID, id)
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// echo answers every request with its own ID.
func echo(_ int, c net.Conn) {
	r := bufio.NewReader(c)
	for {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		reply(c, id, "body of "+id)
	}
}

// raw reads one request and writes the given bytes.
func raw(text string) script {
	return func(_ int, c net.Conn) {
		if _, err := readRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}
}

const testTimeout = 2 * time.Second

func send(c *Client, id string, idempotent bool) Result {
	r := structs.Request{ID: id, Class: "tickets", Idempotent: idempotent, Body: []byte("request")}
	t := Target{Worker: "w1", Addr: "worker:1", Connections: 64}
	return c.Send(context.Background(), t, FencingToken{Epoch: 7, Owner: "e1"}, r, time.Now().Add(testTimeout))
}
