package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dotterelhitch/internal/stream"
)

// relayedReader reads topics through another member.
type relayedReader struct {
	node  *Node
	relay Member
}

func (r relayedReader) Newest(ctx context.Context, topic, after string) (stream.Page, error) {
	return r.node.relayNewest(ctx, r.relay, topic, after)
}

func (r relayedReader) Read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	return r.node.relayRead(ctx, r.relay, topic, from, wait)
}

// TestRelayedPagesAreNotTheWhole guards against a topic that is read as far as its first page, if a member without a path to
// the store reads it through another one.
func TestRelayedPagesAreNotTheWhole(t *testing.T) {
	c := newTestCell(t, 2)
	c.awaitLeader(10 * time.Second)
	const keys = 2*newestPage + 1
	for i := range keys {
		c.mustAppend("keyed.t", fmt.Sprintf("k%05d", i), []byte("v"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	relay := Member{Node: c.nodes[1].self.Node, Addr: c.nodes[1].self.Addr}
	records, _, err := stream.ReadNewest(ctx, relayedReader{node: c.nodes[0].Node, relay: relay}, "keyed.t")
	if err != nil || len(records) != keys {
		t.Errorf("%d records, %v, want %d", len(records), err, keys)
	}
}
