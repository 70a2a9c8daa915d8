package endpoint

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"dotterelhitch/internal/structs"
)

func refusal(id string, code structs.Code) script {
	return func(_ int, c net.Conn) {
		if _, err := readRequest(bufio.NewReader(c)); err == nil {
			refuse(c, id, code)
		}
	}
}

func TestOutcomeOfOneAttempt(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nHitch-Request-Id: r1\r\n"
	for name, c := range map[string]struct {
		play    script
		outcome structs.Outcome
		code    structs.Code
	}{
		"whole":                {echo, structs.OutcomeAnswered, ""},
		"empty":                {raw(head + "Content-Length: 0\r\n\r\n"), structs.OutcomeAnswered, ""},
		"informational first":  {raw("HTTP/1.1 103 Early\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok"), structs.OutcomeAnswered, ""},
		"only informational":   {raw(strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 10)), structs.OutcomeUnknown, structs.CodeUnavailable},
		"another's answer":     {raw("HTTP/1.1 200 OK\r\nHitch-Request-Id: r2\r\nContent-Length: 2\r\n\r\nok"), structs.OutcomeUnknown, structs.CodeUnknown},
		"no request ID":        {raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), structs.OutcomeUnknown, structs.CodeUnknown},
		"truncated":            {raw(head + "Content-Length: 10\r\n\r\nhalf"), structs.OutcomeUnknown, structs.CodeTruncated},
		"no length":            {raw(head + "\r\nhalf"), structs.OutcomeUnknown, structs.CodeTruncated},
		"chunked":              {raw(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), structs.OutcomeUnknown, structs.CodeTruncated},
		"too large":            {raw(head + "Content-Length: 999999999\r\n\r\nx"), structs.OutcomeUnknown, structs.CodeTooLarge},
		"endless header":       {raw(head + "X: " + strings.Repeat("x", answerBound)), structs.OutcomeUnknown, structs.CodeUnavailable},
		"no HTTP":              {raw("garbage\r\n\r\n"), structs.OutcomeUnknown, structs.CodeUnavailable},
		"closed after request": {raw(""), structs.OutcomeUnknown, structs.CodeUnavailable},
		"untyped failure":      {raw("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), structs.OutcomeUnknown, structs.CodeInternal},
		"failure of no list":   {refusal("r1", structs.CodeInternal), structs.OutcomeUnknown, structs.CodeInternal},
		"another's refusal":    {refusal("r2", structs.CodeOverload), structs.OutcomeUnknown, structs.CodeUnknown},
		"overload":             {refusal("r1", structs.CodeOverload), structs.OutcomeNotRun, structs.CodeOverload},
		"draining":             {refusal("r1", structs.CodeDraining), structs.OutcomeNotRun, structs.CodeDraining},
		"stale epoch":          {refusal("r1", structs.CodeStaleEpoch), structs.OutcomeNotRun, structs.CodeStaleEpoch},
		"unauthorized":         {refusal("r1", structs.CodeUnauthorized), structs.OutcomeNotRun, structs.CodeUnauthorized},
		"invalid":              {refusal("r1", structs.CodeInvalid), structs.OutcomeNotRun, structs.CodeInvalid},
		"refused as too large": {refusal("r1", structs.CodeTooLarge), structs.OutcomeNotRun, structs.CodeTooLarge},
		"refused as late":      {refusal("r1", structs.CodeDeadline), structs.OutcomeNotRun, structs.CodeDeadline},
		"first, without ID":    {refusal("", structs.CodeOverload), structs.OutcomeNotRun, structs.CodeOverload},
		"silent":               {silent, structs.OutcomeUnknown, structs.CodeDeadline},
		"silent in the body":   {silentInBody, structs.OutcomeUnknown, structs.CodeTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, _ := newFake(t, c.play, Options{})
				got := send(client, "r1", true)
				if got.Outcome != c.outcome || structs.CodeOf(asError(got.Err)) != c.code || got.Unsent {
					t.Fatalf("got %s %v unsent=%v, want %s %s", got.Outcome, got.Err, got.Unsent, c.outcome, c.code)
				}
				if got.Outcome != structs.OutcomeAnswered && got.Body != nil {
					t.Fatalf("a body with outcome %s", got.Outcome)
				}
			})
		})
	}
}

// silent takes the request and says nothing until the other side closes.
func silent(_ int, c net.Conn) {
	r := bufio.NewReader(c)
	_, _ = readRequest(r)
	_, _ = r.ReadByte()
}

func silentInBody(_ int, c net.Conn) {
	r := bufio.NewReader(c)
	id, _ := readRequest(r)
	_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": " + id + "\r\nContent-Length: 10\r\n\r\nhalf"))
	_, _ = r.ReadByte()
}

func asError(e *structs.Error) error {
	if e == nil {
		return nil
	}
	return e
}

func TestNothingSent(t *testing.T) {
	dialFails := func(context.Context, string) (net.Conn, error) {
		return nil, structs.NewError(structs.CodeUnavailable, "refused")
	}
	authorityLapsed := func() error { return structs.NewError(structs.CodeNoAuthority, "lapsed") }
	r := structs.Request{ID: "r1", Class: "tickets"}
	synctest.Test(t, func(t *testing.T) {
		client, f := newFake(t, echo, Options{})
		later := nowPlus(testTimeout)
		for name, c := range map[string]struct {
			got  Result
			code structs.Code
		}{
			"past deadline":    {client.Send(t.Context(), Target{Addr: "a"}, FencingToken{}, r, nowPlus(0)), structs.CodeDeadline},
			"authority lapsed": {client.Send(t.Context(), Target{Addr: "a"}, FencingToken{CheckAuthority: authorityLapsed}, r, later), structs.CodeNoAuthority},
			"dial fails":       {NewClient(Options{Dial: dialFails}).Send(t.Context(), Target{Addr: "a"}, FencingToken{}, r, later), structs.CodeUnavailable},
		} {
			if c.got.Outcome != structs.OutcomeNotRun || !c.got.Unsent || c.got.Err.Code != c.code {
				t.Errorf("%s: got %+v %v, want not run %s", name, c.got, c.got.Err, c.code)
			}
		}
		if f.dialled() != 1 {
			t.Errorf("%d connections, want 1", f.dialled())
		}
	})
}
