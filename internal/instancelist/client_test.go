package instancelist

import (
	"encoding/json"
	"strings"
	"testing"

	"dotterelhitch/internal/structs"
)

// oddInstances are entries that describe no instance.
var oddInstances = []string{
	`{"id":"","state":"live"}`, `{"state":"live"}`, `{"id":"odd"}`, `{"id":"odd","state":"lost"}`, `{"id":"odd","state":1}`,
	`{"id":"odd","state":"live","size":{"cpu_milli":-1}}`, `{"id":"odd","state":"live","size":{"cpu_milli":9223372036854775807}}`,
	`{"id":"odd","state":"live","size":{"cpu_milli":1e30}}`, `{"id":"odd","state":"live","size":[]}`, `{"id":"odd","state":"live","slots":-1}`,
	`{"id":"odd","state":"live","slots":9223372036854775807}`, `{"id":"odd","state":"live","connections":-1}`,
	`{"id":7,"state":"live"}`, `null`, `7`, `[]`, `"odd"`, `{}`, nested(9_000),
}

// nested returns an entry with deeply nested arrays.
func nested(depth int) string {
	return `{"id":"odd","state":"live","addr":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`
}

// TestOddInstanceIsLeftOut guards against an entry instance that stops following the list because of
// one entry that it can't read: the others are applied.
func TestOddInstanceIsLeftOut(t *testing.T) {
	for _, odd := range oddInstances {
		body := `{"version":3,"instances":[{"id":"w0","state":"live"},` + odd + `,{"id":"w1","state":"gone"}],"entries":[` + odd + `,{"id":"e0","state":"live"}]}`
		l, err := decode([]byte(body))
		if err != nil || l.Version != 3 || len(l.Instances) != 2 || l.Instances[0].ID != "w0" || l.Instances[1].ID != "w1" {
			t.Errorf("%.100s: %+v, %v", odd, l, err)
			continue
		}
		for _, e := range l.Entries {
			if e.ID == "" || e.State == "" {
				t.Errorf("%.100s: %+v", odd, l.Entries)
			}
		}
	}
}

func FuzzList(f *testing.F) {
	f.Add([]byte(`{"version":1,"lag_ms":2,"instances":[{"id":"w0","state":"live"}],"entries":[{"id":"e0","state":"gone"}]}`))
	f.Add([]byte(`{"instances":[{"id":"w0","state":"live"},{"id":"w0","state":"gone"}]}`))
	for _, odd := range oddInstances {
		f.Add([]byte(`{"version":1,"instances":[` + odd + `,{"id":"w0","state":"live"}],"entries":[` + odd + `]}`))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		l, err := decode(body)
		if err != nil {
			return
		}
		seen := map[string]bool{}
		for _, w := range l.Instances {
			if w.ID == "" || seen[w.ID] || w.Size.HasNegative() || w.Size.Times(1<<20).HasNegative() || w.Slots < 0 || w.Connections < 0 {
				t.Fatalf("accepted %+v", l)
			}
			seen[w.ID] = true
		}
	})
}

// TestListIsChecked checks which entries of a list are taken. An entry of a name that is there twice
// is not: which of them holds is not known.
func TestListIsChecked(t *testing.T) {
	for text, want := range map[string]string{
		`{"instances":[{"id":"w0","state":"live"}]}`:                                                                   "w0",
		`{"instances":[{"id":"w0","state":"live"},{"id":"w0","state":"gone"}]}`:                                        "",
		`{"instances":[{"id":"w0","state":"live"},{"id":"w0","state":"gone"},{"id":"w0","state":"live"}]}`:             "",
		`{"instances":[{"id":"w0","state":"live"},{"id":"w1","state":"live"}],"entries":[{"id":"w0","state":"gone"}]}`: "w1",
		`{"instances":[{"id":"w0","state":"live"}],"entries":[{"id":"w0","state":"x"}]}`:                               "",
		`{"instances":[{"id":"","state":"live"}]}`:                                                                     "",
		`{"entries":[{"id":"e0","state":"lost"}]}`:                                                                     "",
		`{"entries":[{"id":"e0","state":"leaving"}]}`:                                                                  "e0",
		`{"instances":[{"id":"w0","state":"live","size":{"cpu_milli":-1}}]}`:                                           "",
	} {
		l, err := decode([]byte(text))
		var ids []string
		for _, w := range l.Instances {
			ids = append(ids, w.ID)
		}
		for _, e := range l.Entries {
			ids = append(ids, e.ID)
		}
		if got := strings.Join(ids, " "); err != nil || got != want {
			t.Errorf("%s: %q, %v; want %q", text, got, err, want)
		}
	}
}

// TestListThatCannotBeRead checks that an answer which is no list is an error.
func TestListThatCannotBeRead(t *testing.T) {
	for _, body := range []string{"", "[]", `{"version":"x"}`, `{"instances":{}}`, strings.Repeat(`{"instances":[`, 50_000)} {
		if l, err := decode([]byte(body)); err == nil {
			t.Errorf("%.60q: %+v", body, l)
		}
	}
}

// decode decodes the body of an answer as Client.Read does.
func decode(body []byte) (List, error) {
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return List{}, structs.NewError(structs.CodeInternal, "%v", err)
	}
	return a.list(), nil
}
