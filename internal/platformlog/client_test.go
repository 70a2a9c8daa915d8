package platformlog

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

func TestAppendToNobodyIsCertainlyNotAppended(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	_, err = New(Config{BaseURL: "http://" + addr}).Append(context.Background(), "control", []byte("x"))
	if structs.CodeOf(err) != structs.CodeUnavailable {
		t.Errorf("append: %v, want unavailable", err)
	}
	big := make([]byte, MaxRecordBytes+1)
	if _, err = New(Config{BaseURL: "http://" + addr}).Append(context.Background(), "control", big); structs.CodeOf(err) != structs.CodeTooLarge {
		t.Errorf("append of a large record: %v, want too_large", err)
	}
}

func TestAppendErrorOfEachAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle http.HandlerFunc
		want   structs.Code
	}{
		{"typed refusal", func(w http.ResponseWriter, _ *http.Request) {
			httpx.WriteError(w, structs.NewError(structs.CodeOverload, "busy"))
		}, structs.CodeOverload},
		{"typed fault", func(w http.ResponseWriter, _ *http.Request) {
			httpx.WriteError(w, structs.NewError(structs.CodeInternal, "broken"))
		}, structs.CodeUnknown},
		{"untyped status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, structs.CodeUnknown},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }, structs.CodeUnknown},
		{"no offset", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, structs.CodeUnknown},
		{"broken connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, structs.CodeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(c.handle)
			defer srv.Close()
			_, err := New(Config{BaseURL: srv.URL}).Append(context.Background(), "control", []byte("x"))
			if structs.CodeOf(err) != c.want {
				t.Errorf("append: %v, want %s", err, c.want)
			}
		})
	}
}

// TestTimedOutConnectionIsNotUsedAgain has a server that goes silent on each
// connection after its first answer.
func TestTimedOutConnectionIsNotUsedAgain(t *testing.T) {
	served := make(map[string]int)
	lock := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		lock <- struct{}{}
		served[r.RemoteAddr]++
		silent := served[r.RemoteAddr] > 1
		<-lock
		if silent {
			<-r.Context().Done()
			return
		}
		httpx.WriteJSON(w, http.StatusOK, AppendResult{Offset: 1})
	}))
	defer srv.Close()
	client := New(Config{BaseURL: srv.URL, AppendTimeout: 200 * time.Millisecond})
	for i, want := range []structs.Code{"", structs.CodeUnknown, "", structs.CodeUnknown, ""} {
		if _, err := client.Append(context.Background(), "control", []byte("x")); structs.CodeOf(err) != want {
			t.Errorf("append %d: %v, want code %q", i, err, want)
		}
	}
}

func FuzzBatch(f *testing.F) {
	f.Add([]byte(`{"first":1,"next":3,"records":[{"offset":1,"data":"eA=="},{"offset":2,"data":""}]}`), int64(1))
	f.Add([]byte(`{"first":5,"next":3}`), int64(2))
	f.Fuzz(func(t *testing.T, body []byte, from int64) {
		var b Batch
		if json.Unmarshal(body, &b) != nil || b.check(from) != nil {
			return
		}
		for i, r := range b.Records {
			if r.Offset < b.FirstOffset || r.Offset >= b.NextOffset || r.Offset != b.Records[0].Offset+int64(i) || r.Offset < from {
				t.Fatalf("accepted %+v from %d", b, from)
			}
		}
	})
}

// TestUnreadableRecordSpoilsNoOther guards against a reader that stays at one offset of a stream for
// ever because the data of one record can't be decoded. Such a record has no data, which the readers
// of a stream refuse as a change.
func TestUnreadableRecordSpoilsNoOther(t *testing.T) {
	for _, data := range []string{`"***"`, `"eA="`, `7`, `{"a":[]}`, `["eA=="]`, `1e999`, `true`} {
		body := `{"first":1,"next":4,"records":[{"offset":1,"data":"eA=="},{"offset":2,"data":` + data + `},{"offset":3,"data":"eQ=="}]}`
		var b Batch
		if err := json.Unmarshal([]byte(body), &b); err != nil {
			t.Errorf("%s: %v", data, err)
			continue
		}
		if err := b.check(1); err != nil || len(b.Records) != 3 || string(b.Records[0].Data) != "x" || len(b.Records[1].Data) != 0 || string(b.Records[2].Data) != "y" {
			t.Errorf("%s: %+v, %v", data, b, err)
		}
	}
	for _, offset := range []string{`"2"`, `2.5`, `9223372036854775808`, `[]`} {
		var b Batch
		body := `{"first":1,"next":4,"records":[{"offset":1,"data":"eA=="},{"offset":` + offset + `,"data":"eA=="}]}`
		if json.Unmarshal([]byte(body), &b) == nil && b.check(1) == nil {
			t.Errorf("offset %s: %+v", offset, b)
		}
	}
}
