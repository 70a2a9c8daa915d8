package cell

import (
	"testing"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
)

// newNodeWithConfig returns a node that does not run and has a version of the configuration in force.
func newNodeWithConfig(version int64) *Node {
	n := New(Options{Self: Member{Node: "self"}, Topics: PlatformTopics{DecodeConfig: decodeTestConfig}})
	n.applyConfig(testConfigRecord(version), configSource{kind: sourceStore})
	return n
}

// TestOnlyTheSameVersionConfirms guards against a member that takes its version for the newest because
// another member confirmed a different one, or did not say when it confirmed its own.
func TestOnlyTheSameVersionConfirms(t *testing.T) {
	age := func(ms int64) *int64 { return &ms }
	tests := map[string]struct {
		resp    *cellv1.HelloResponse
		wantAge time.Duration
		wantOK  bool
		version int64
	}{
		"same version":                 {&cellv1.HelloResponse{ConfigVersion: 5, ConfigAgeMs: age(700)}, 700 * time.Millisecond, true, 5},
		"lower version":                {&cellv1.HelloResponse{ConfigVersion: 4, ConfigAgeMs: age(700)}, 0, false, 5},
		"higher version, not sent":     {&cellv1.HelloResponse{ConfigVersion: 6, ConfigAgeMs: age(700)}, 0, false, 5},
		"higher version, sent":         {&cellv1.HelloResponse{ConfigVersion: 6, ConfigAgeMs: age(700), Config: testConfigRecord(6)}, 700 * time.Millisecond, true, 6},
		"higher version, unreadable":   {&cellv1.HelloResponse{ConfigVersion: 6, ConfigAgeMs: age(700), Config: []byte("{")}, 0, false, 5},
		"same version, no age":         {&cellv1.HelloResponse{ConfigVersion: 5}, 0, false, 5},
		"member of an earlier program": {&cellv1.HelloResponse{}, 0, false, 5},
		"age from the future":          {&cellv1.HelloResponse{ConfigVersion: 5, ConfigAgeMs: age(-9000)}, 0, true, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newNodeWithConfig(5)
			now := clock.Now()
			n.applyConfigOfMember(test.resp, now)
			got, ok := n.config.age(now)
			if ok != test.wantOK || got.Round(time.Millisecond) != test.wantAge || n.config.number() != test.version {
				t.Errorf("version %d, age %v (%v), want version %d, %v (%v)", n.config.number(), got, ok, test.version, test.wantAge, test.wantOK)
			}
		})
	}
}

// TestHeartbeatTellsVersionAndAge checks what the answer to a heartbeat says of the configuration.
func TestHeartbeatTellsVersionAndAge(t *testing.T) {
	n := newNodeWithConfig(5)
	now := clock.Now()
	resp := &cellv1.HelloResponse{}
	n.fillConfig(resp, 5, now)
	if resp.ConfigVersion != 5 || resp.ConfigAgeMs != nil || resp.Config != nil {
		t.Errorf("never confirmed: %v", resp)
	}
	n.config.confirm(now.Add(-300 * time.Millisecond))
	n.fillConfig(resp, 4, now)
	if resp.GetConfigAgeMs() < 300 || resp.GetConfigAgeMs() > 302 || string(resp.Config) != string(testConfigRecord(5)) {
		t.Errorf("confirmed 300 ms ago: %v", resp)
	}
}
