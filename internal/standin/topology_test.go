package standin

import (
	"strings"
	"testing"

	"dotterelhitch/internal/structs"
)

func TestTopologyIsChecked(t *testing.T) {
	for _, c := range []struct{ from, to string }{
		{"count = 2", "count = 0"},
		{`region = "casa"`, `region = "Casa!"`},
		{"cores = 16\nmemory_gib = 64", "cores = -1"},
		{`lag = "10ms"`, `lag = "10"`},
		{`lag = "10ms"`, `lagg = "10ms"`},
		{`lag = "10ms"`, `lag = "-1s"`},
	} {
		text := strings.Replace(smallCell, c.from, c.to, 1)
		if text == smallCell {
			t.Fatalf("%q is not in the topology", c.from)
		}
		if _, err := ParseTopology([]byte(text)); structs.CodeOf(err) != structs.CodeInvalid {
			t.Errorf("with %q: %v, want invalid", c.to, err)
		}
	}
}

func FuzzTopology(f *testing.F) {
	f.Add([]byte(smallCell))
	f.Fuzz(func(t *testing.T, text []byte) {
		topology, err := ParseTopology(text)
		if err != nil {
			return
		}
		for _, g := range topology.Workers {
			if g.Count < 1 || g.Size().HasNegative() || !structs.ValidName(g.workerID(0)) {
				t.Fatalf("accepted %+v", g)
			}
		}
	})
}
