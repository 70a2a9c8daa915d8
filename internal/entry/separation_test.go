package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/caller"
	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/operator"
	"dotterelhitch/internal/peer"
	"dotterelhitch/internal/peer/peerv1/peerv1connect"
)

// TestInterfacesAreSeparate calls the paths of every interface on the others, with every
// key that exists and with none. It also calls the protected interfaces without a key
// and with the wrong one.
func TestInterfacesAreSeparate(t *testing.T) {
	operatorKeys, peerKeys := httpx.Keys{"operator-key"}, httpx.Keys{"peer-key"}
	interfaces := map[string]http.Handler{
		"caller":   caller.NewServer(nil, caller.Options{}).Handler(),
		"operator": operator.NewHandler(nil, operatorKeys),
		"peer":     peer.NewServer(peerv1connect.UnimplementedPeerServiceHandler{}, peerKeys, new(event.Clock), metrics.NewSet()).Handler,
	}
	paths := map[string][]string{
		"caller":   {"POST /v1/classes/tickets/requests", "POST /v1/jobs", "GET /v1/jobs/g:j", "POST /v1/jobs/cancel"},
		"operator": {"PUT /v1/classes/tickets", "GET /v1/leaving", "PUT /v1/leaving/w1", "PUT /v1/quotas/a", "GET /v1/status"},
		"peer":     {"POST " + peerv1connect.PeerServiceDispatchProcedure, "POST " + peerv1connect.PeerServiceConsentProcedure},
	}
	statusCode := func(h http.Handler, call, key string) int {
		method, path, _ := strings.Cut(call, " ")
		r := httptest.NewRequest(method, path, strings.NewReader("{}"))
		if key != "" {
			r.Header.Set("Authorization", "Bearer "+key)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	for owner, calls := range paths {
		for _, call := range calls {
			for name, h := range interfaces {
				if name == owner {
					continue
				}
				for _, key := range []string{"", operatorKeys[0], peerKeys[0]} {
					got := statusCode(h, call, key)
					if got != http.StatusNotFound && got != http.StatusUnauthorized {
						t.Errorf("%s interface, %s, key %q: status %d", name, call, key, got)
					}
				}
			}
			wrongKey := map[string]string{"operator": peerKeys[0], "peer": operatorKeys[0]}[owner]
			if owner == "caller" {
				continue
			}
			for _, key := range []string{"", wrongKey} {
				if got := statusCode(interfaces[owner], call, key); got != http.StatusUnauthorized {
					t.Errorf("%s interface, %s, key %q: status %d, want 401", owner, call, key, got)
				}
			}
		}
	}
}
