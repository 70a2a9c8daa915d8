package cell

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/structs"
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

// submitAs submits a job to a node as a member would forward it that accepted it by a version of the
// configuration.
func (c *testCell) submitAs(leader *testNode, id, class string, accepted configRef) error {
	c.t.Helper()
	job := testJob(id)
	job.Class = class
	raw, err := json.Marshal(job)
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := (&peerServer{node: leader.Node}).Submit(context.Background(), &cellv1.SubmitRequest{
		Job: raw, DeadlineMs: 3000, ConfigVersion: accepted.version, ConfigAddr: accepted.addr,
	})
	return responseError(resp, err)
}

// TestControllerBehindAcceptsByNoOldVersion guards against a controller that refuses a job with 404, or runs it by
// an old version, although the member that forwards it has a newer one (CONFIG).
func TestControllerBehindAcceptsByNoOldVersion(t *testing.T) {
	c := newTestCell(t, 1)
	leader := c.awaitLeader(5 * time.Second)
	other := c.addNode("other")
	for other.config.number() < 1 {
		time.Sleep(10 * time.Millisecond)
	}
	if err := c.submitAs(leader, "j1", "new", configRef{version: 2}); structs.CodeOf(err) != structs.CodeUnavailable {
		t.Errorf("new class, version 2 not to be had: %v, want %s", err, structs.CodeUnavailable)
	}
	if err := c.submitAs(leader, "j2", "batch", configRef{version: 2}); structs.CodeOf(err) != structs.CodeUnavailable {
		t.Errorf("known class, version 2 not to be had: %v, want %s", err, structs.CodeUnavailable)
	}
	if err := c.submitAs(leader, "j3", "new", configRef{version: 1}); structs.CodeOf(err) != structs.CodeNotFound {
		t.Errorf("no such class: %v, want %s", err, structs.CodeNotFound)
	}
	other.applyConfig(testConfigRecord(2, "new"), configSource{kind: sourceStore})
	if err := c.submitAs(leader, "j4", "new", configRef{version: 2, addr: other.self.Addr}); err != nil {
		t.Errorf("version 2 at another member: %v", err)
	}
	if err := c.submitAs(leader, "j4", "new", configRef{version: 3}); err != nil {
		t.Errorf("the same job again, by a version that is not to be had: %v", err)
	}
}
