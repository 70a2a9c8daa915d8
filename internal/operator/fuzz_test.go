package operator

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"dotterelhitch/internal/structs"
)

func FuzzHandler(f *testing.F) {
	f.Add(http.MethodPut, "/v1/classes/a", []byte(`{"base":0,"class":{"kind":"batch","target":{"start_within":"1s"}}}`))
	f.Add(http.MethodPut, "/v1/quotas/a", []byte(`{"quota":{"limit":{"cpu_milli":1}}}`))
	f.Add(http.MethodDelete, "/v1/leaving/w-1", []byte(`{"base":3}`))
	f.Add(http.MethodGet, "/v1/explain/casa-0:j1", []byte(nil))
	f.Fuzz(func(t *testing.T, method, path string, body []byte) {
		r, err := http.NewRequest(method, "http://entry/", bytes.NewReader(body))
		if err != nil {
			t.Skip("no request line")
		}
		r.URL.Path = path
		r.Header.Set(ChangeIDHeader, "x")
		w := httptest.NewRecorder()
		NewHandler(newFakeBackend(), nil).ServeHTTP(w, r)
		if w.Code >= http.StatusInternalServerError {
			t.Errorf("%s %q: status %d: %s", method, path, w.Code, w.Body)
		}
	})
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(http.StatusOK, []byte(`{"version":3,"accepted":true,"current":{"name":"a"}}`))
	f.Add(http.StatusConflict, []byte(`{"error":{"code":"conflict"},"change":{"version":2,"current":null}}`))
	f.Add(http.StatusBadRequest, []byte(`{"error":{"code":"invalid"}}`))
	f.Fuzz(func(t *testing.T, status int, answer []byte) {
		change, err := decodeAnswer(status, answer)
		if err != nil {
			return
		}
		if _, err := decodeChange(change, &structs.Class{}); err != nil && structs.CodeOf(err) != structs.CodeInternal {
			t.Errorf("error %v, want code internal", err)
		}
		if status != http.StatusOK && change.Accepted {
			t.Errorf("status %d taken as accepted: %s", status, answer)
		}
	})
}
