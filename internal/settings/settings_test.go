package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestExamplesAreAccepted(t *testing.T) {
	files, err := filepath.Glob("../../examples/[rt]*/*.toml")
	if err != nil || len(files) < 6 {
		t.Fatalf("found %d example files, %v; want at least 6", len(files), err)
	}
	for _, file := range files {
		entry, err := Load(file)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if entry.Listen.AdvertisePeer != entry.Listen.Peer {
			t.Errorf("%s: advertise_peer %q, want the peer address", file, entry.Listen.AdvertisePeer)
		}
		if entry.Regions.LinkBytesPerSecond != 1_875_000 {
			t.Errorf("%s: link budget %d, want 15 Mbit/s in bytes", file, entry.Regions.LinkBytesPerSecond)
		}
	}
}

const bad = `[entry]
region = "atlas"
nickname = "x"
[listen]
caller = "localhost:80"
peer = ":9000"
metrics = 9
[timing]
lease = "1s"
heartbeat = "500"
drain = "1 fortnight"
[regions]
names = ["casa", "casa"]
store_region = "fes"
link_budget = "30Mbps"
[extra]
[limits]
request_body = "1MiB"
`

func TestAllProblemsAtOnce(t *testing.T) {
	_, err := Parse("bad.toml", []byte(bad))
	var problems *Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error %v, want *Problems", err)
	}
	for _, want := range []string{
		"bad.toml:2: entry.region: \"atlas\" is not in regions.names",
		"bad.toml:3: entry.nickname: unknown key",
		"bad.toml:5: listen.caller: \"localhost:80\": want an IP number",
		"bad.toml:6: listen.peer: \":9000\": other entries can't dial it",
		"bad.toml:7: listen.metrics: want a string",
		"bad.toml:9: timing.lease: timing.lease must be more than 3 times",
		"bad.toml:10: timing.heartbeat: \"500\": want a positive duration with a unit",
		"bad.toml:11: timing.drain: ",
		"bad.toml:13: regions.names: \"casa\" is named twice",
		"bad.toml:14: regions.store_region: \"fes\" is not in",
		"bad.toml:15: regions.link_budget: \"30Mbps\": want a whole number with a unit",
		"bad.toml:16: extra: unknown table",
		"bad.toml:18: limits.request_body: 1048576 bytes: want 1 to 65536",
		"bad.toml: entry.domain: missing",
		"bad.toml: platform.log: missing",
		"bad.toml: auth.peer_keys: missing: state a key",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing problem %q", want)
		}
	}
	if t.Failed() {
		t.Logf("reported:\n%v", err)
	}
}

func TestSyntaxFaultHasItsLine(t *testing.T) {
	_, err := Parse("x.toml", []byte("[entry]\nregion = \n"))
	if err == nil || !strings.HasPrefix(err.Error(), "x.toml:2: ") {
		t.Errorf("error %v, want one at line 2", err)
	}
	_, err = Load(filepath.Join(t.TempDir(), "none.toml"))
	var problems *Problems
	if !errors.As(err, &problems) {
		t.Errorf("error %v, want *Problems", err)
	}
}

func TestDefaultsHoldTheRelations(t *testing.T) {
	data, err := os.ReadFile("../../examples/tyre-recovery/ziwa-1.toml")
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := strings.Cut(string(data), "[limits]")
	entry, err := Parse("head.toml", []byte(head))
	if err != nil {
		t.Fatal(err)
	}
	if entry.Timing != Default().Timing || entry.Timing.Heartbeat != 500*time.Millisecond {
		t.Errorf("timing %+v, want the defaults", entry.Timing)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(bad))
	f.Add([]byte("a.b = {c = [1, \"x\"]}\n[[q]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := Parse("fuzz.toml", data)
		if (entry == nil) == (err == nil) {
			t.Errorf("entry %v, error %v: want exactly one", entry, err)
		}
	})
}
