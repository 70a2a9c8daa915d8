package cell

import (
	"net"
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
)

// oddMemberRecords are records that describe no member.
var oddMemberRecords = map[string]string{
	"null": "null", "empty": "{}", "array": "[]", "number": "7", "bytes": "\x00\xff",
	"nested":     strings.Repeat(`{"node":`, 50_000),
	"no-address": `{"node":"no-address","boot":"b"}`, "no-node": `{"boot":"b","addr":"10.0.0.1:80"}`,
	"no-boot":     `{"node":"no-boot","addr":"10.0.0.1:80"}`,
	"odd-address": `{"node":"odd-address","boot":"b","addr":"a b\u0000:99999/x?y"}`,
	"port":        `{"node":"port","boot":"b","addr":"10.0.0.1:65536"}`,
	"name":        `{"node":"name","boot":"b","addr":"worker:80"}`,
	"cores":       `{"node":"cores","boot":"b","addr":"10.0.0.1:80","cores":1e999}`,
	"large":       `{"node":"large","boot":"b","addr":"10.0.0.1:80","cores":` + strings.Repeat("9", 1<<20) + `}`,
	"another-key": `{"node":"not this one","boot":"b","addr":"10.0.0.1:80"}`,
	"negative":    `{"node":"negative","boot":"b","addr":"10.0.0.1:80","cores":-1}`,
}

// TestOddMemberRecords guards against members that another writer has made up: they slow down the
// heartbeats and the election, and calls go through them. Alarms are of bounded length.
func TestOddMemberRecords(t *testing.T) {
	c := newTestCell(t, 1)
	leader := c.awaitLeader(10 * time.Second)
	for key, value := range oddMemberRecords {
		c.mustAppend(membersTopic, key, []byte(value))
	}
	c.mustAppend(membersTopic, "deleted", nil)
	n := c.addNode("late")
	c.submit(n, "j1")
	c.awaitCompleted(n, "j1")
	if others := n.view.otherMembers(time.Time{}); len(others) != 1 || others[0].Node != leader.self.Node {
		t.Errorf("other members: %+v", others)
	}
	if known := n.view.knownNodeCount(); known != 1 {
		t.Errorf("%d other machines are known, want 1", known)
	}
	alarms := n.events.ofType(event.Alarm)
	for end := time.Now().Add(5 * time.Second); len(alarms) < len(oddMemberRecords) && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		alarms = n.events.ofType(event.Alarm)
	}
	if len(alarms) != len(oddMemberRecords) {
		t.Errorf("%d alarms, want %d", len(alarms), len(oddMemberRecords))
	}
	for _, e := range alarms {
		if len(e.Detail) > maxReasonBytes {
			t.Errorf("alarm of %d bytes", len(e.Detail))
		}
	}
}

// FuzzMemberRecord checks that a record either is refused or names a member that can be called.
func FuzzMemberRecord(f *testing.F) {
	f.Add("a", []byte(`{"node":"a","boot":"b","addr":"10.0.0.1:80","domain":"d","cores":0.5}`))
	for key, value := range oddMemberRecords {
		f.Add(key, []byte(value))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		m, err := parseMember(&stream.Record{Key: key, Value: value})
		if err != nil {
			return
		}
		_, port, err := net.SplitHostPort(m.Addr)
		if err != nil || port == "0" || m.Node != key || m.Node == "" || m.Boot == "" || m.Cores < 0 {
			t.Fatalf("accepted %+v", m)
		}
	})
}
