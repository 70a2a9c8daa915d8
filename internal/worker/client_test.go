package worker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"dotterelhitch/internal/structs"
)

// TestOddInventoriesAreRefused guards against runs without a state, or with a negative size, that
// are taken from a worker's answer because only one of the calls checks it.
func TestOddInventoriesAreRefused(t *testing.T) {
	for name, body := range map[string]string{
		"no boot":          `{"seq":2}`,
		"null":             `null`,
		"unknown state":    `{"seq":2,"boot":"b","tasks":[{"task":"g:j#0","attempt":1,"state":"odd"}]}`,
		"twice":            `{"seq":2,"boot":"b","tasks":[{"task":"g:j#0","attempt":1,"state":"running"},{"task":"g:j#0","attempt":1,"state":"failed"}]}`,
		"negative size":    `{"seq":2,"boot":"b","tasks":[{"task":"g:j#0","attempt":1,"state":"running","size":{"cpu_milli":-1}}]}`,
		"number too large": `{"seq":2,"boot":"b","uptime_ms":1e30}`,
		"deeply nested":    `{"seq":2,"boot":"b","tasks":` + strings.Repeat("[", 100_000),
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		c := New(Config{Addr: strings.TrimPrefix(srv.URL, "http://")})
		for call, inventory := range map[string]func() (Inventory, error){
			"whole":   func() (Inventory, error) { return c.Inventory(context.Background(), 1, 0) },
			"changes": func() (Inventory, error) { return c.InventoryChanges(context.Background(), 1, 0) },
			"fence":   func() (Inventory, error) { return c.Fence(context.Background(), CommandHeader{}) },
		} {
			if inv, err := inventory(); structs.CodeOf(err) == "" {
				t.Errorf("%s, %s: %+v", name, call, inv)
			}
		}
		srv.Close()
	}
}
