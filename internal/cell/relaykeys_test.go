package cell

import (
	"context"
	"testing"
	"time"

	"dotterelhitch/internal/stream"
)

// TestRelayedReadOfOddKeys guards against a member without a path to the store that stops following
// a topic because the key of one record is not UTF-8.
func TestRelayedReadOfOddKeys(t *testing.T) {
	c := newTestCell(t, 2)
	c.awaitLeader(10 * time.Second)
	c.mustAppend("keyed.t", "a", []byte("1"))
	c.mustAppend("keyed.t", "b\xff", []byte("2"))
	c.mustAppend("keyed.t", "c", []byte("3"))
	n := c.nodes[0]
	relay := Member{Node: c.nodes[1].self.Node, Addr: c.nodes[1].self.Addr}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	batch, err := n.relayRead(ctx, relay, "keyed.t", 0, 0)
	if err != nil || batch.Next != 3 || !hasKeys(batch.Records, "a", "c") {
		t.Errorf("read: %+v, %v", batch, err)
	}
	page, err := n.relayNewest(ctx, relay, "keyed.t", "")
	if err != nil || !hasKeys(page.Records, "a", "c") {
		t.Errorf("newest: %+v, %v", page, err)
	}
}

// hasKeys reports whether the first and the last of three records have these keys.
func hasKeys(records []stream.Record, first, last string) bool {
	return len(records) == 3 && records[0].Key == first && records[2].Key == last
}
