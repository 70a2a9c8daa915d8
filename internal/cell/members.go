package cell

import (
	"encoding/json"
	"net/netip"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
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

// applyMemberRecords adds the members that records describe to the view. A deleted record has no
// value.
func (n *Node) applyMemberRecords(records []stream.Record) {
	for i := range records {
		if len(records[i].Value) == 0 && !records[i].Malformed {
			continue
		}
		m, err := parseMember(&records[i])
		if err != nil {
			n.recordAlarm(err)
			continue
		}
		if m.Node != n.self.Node {
			n.view.recordMember(m, false, time.Time{})
		}
	}
}

// maxMemberCores is more processor time than any machine has, in cores.
const maxMemberCores = 1 << 20

// parseMember decodes the record of a member.
func parseMember(r *stream.Record) (Member, error) {
	var m Member
	if err := json.Unmarshal(r.Value, &m); err != nil {
		return Member{}, structs.NewError(structs.CodeInvalid, "member record %q: %v", r.Key, err)
	}
	addr, err := netip.ParseAddrPort(m.Addr)
	if m.Node == "" || m.Node != r.Key || m.Boot == "" || err != nil || addr.Port() == 0 || m.Cores < 0 || m.Cores > maxMemberCores {
		return Member{}, structs.NewError(structs.CodeInvalid, "member record %q describes no member", r.Key)
	}
	return m, nil
}

// recordAlarm records an alarm for a record that can't be used. The error may quote the record.
func (n *Node) recordAlarm(err error) {
	n.record(event.Event{Type: event.Alarm, Code: structs.CodeOf(err), Detail: truncate(err.Error(), maxReasonBytes)})
}
