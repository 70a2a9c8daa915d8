package cell

import (
	"encoding/json"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
)

// membersTopic has one record for each machine, from which a starting process learns the
// addresses of the other members.
const membersTopic = "keyed.members"

// register appends this member's record to membersTopic, then reads the records of the other
// members. Both are retried until they succeed or the node stops.
func (n *Node) register() {
	value, err := json.Marshal(n.self)
	if err != nil {
		n.record(event.Event{Type: event.Alarm, Detail: err.Error()})
		return
	}
	for n.ctx.Err() == nil {
		_, err = n.log.Append(n.ctx, stream.Append{
			Topic:   membersTopic,
			Records: []stream.Record{{Key: n.self.Node, Value: value}},
		})
		if err == nil {
			break
		}
		n.sleep(heartbeatPeriod)
	}
	for n.ctx.Err() == nil {
		records, _, err := stream.ReadNewest(n.ctx, n.log, membersTopic)
		if err == nil {
			n.applyMemberRecords(records)
			return
		}
		n.sleep(heartbeatPeriod)
	}
}

func (n *Node) applyMemberRecords(records []stream.Record) {
	for i := range records {
		var m Member
		if err := json.Unmarshal(records[i].Value, &m); err != nil {
			n.record(event.Event{Type: event.Alarm, Detail: "member record: " + err.Error()})
			continue
		}
		if m.Node != n.self.Node {
			n.view.recordMember(m, false, time.Time{})
		}
	}
}
