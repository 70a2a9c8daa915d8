package instancelist

import (
	"encoding/json"
	"testing"
)

func FuzzList(f *testing.F) {
	f.Add([]byte(`{"version":1,"lag_ms":2,"instances":[{"id":"w0","state":"live"}],"entries":[{"id":"e0","state":"gone"}]}`))
	f.Add([]byte(`{"instances":[{"id":"w0","state":"live"},{"id":"w0","state":"gone"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var l List
		if json.Unmarshal(body, &l) != nil || l.check() != nil {
			return
		}
		seen := map[string]bool{}
		for _, w := range l.Instances {
			if w.ID == "" || seen[w.ID] || w.Size.HasNegative() {
				t.Fatalf("accepted %+v", l)
			}
			seen[w.ID] = true
		}
	})
}

func TestListIsChecked(t *testing.T) {
	for text, want := range map[string]bool{
		`{"instances":[{"id":"w0","state":"live"}]}`:                                     true,
		`{"instances":[{"id":"w0","state":"live"},{"id":"w0","state":"gone"}]}`:          false,
		`{"instances":[{"id":"w0","state":"live"}],"entries":[{"id":"w0","state":"x"}]}`: false,
		`{"instances":[{"id":"","state":"live"}]}`:                                       false,
		`{"entries":[{"id":"e0","state":"lost"}]}`:                                       false,
		`{"instances":[{"id":"w0","state":"live","size":{"cpu_milli":-1}}]}`:             false,
	} {
		var l List
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		if err := l.check(); (err == nil) != want {
			t.Errorf("%s: %v, want accepted %v", text, err, want)
		}
	}
}
