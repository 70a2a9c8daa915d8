package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// TestAnswerThatCannotBeDecodedIsUnknown has a peer run a call and answer what is
// no message: the call may have taken effect.
func TestAnswerThatCannotBeDecodedIsUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		contentType, body string
		status            int
		want              structs.Code
	}{
		"no message":       {"application/proto", "\xff\xff\xff", http.StatusOK, structs.CodeUnknown},
		"another type":     {"text/plain", "x", http.StatusOK, structs.CodeUnknown},
		"refused as typed": {"application/json", `{"code":"invalid_argument"}`, http.StatusBadRequest, structs.CodeInvalid},
		"wrong key":        {"", "", http.StatusUnauthorized, structs.CodeUnauthorized},
	} {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", c.contentType)
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		s.Config.Protocols = new(http.Protocols)
		s.Config.Protocols.SetUnencryptedHTTP2(true)
		s.Start()
		member := structs.Member{PeerAddr: s.Listener.Addr().String(), Region: "casa"}
		client := NewPool(nil, new(event.Clock), "casa").Client(member)
		_, err := client.Dispatch(context.Background(), &peerv1.DispatchRequest{Id: "r1"})
		if got := structs.CodeOf(ClassifyCallError(err)); got != c.want {
			t.Errorf("%s: %s, want %s (%v)", name, got, c.want, err)
		}
		s.Close()
	}
}
