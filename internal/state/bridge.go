package state

// SnapshotRecovery finds the snapshot that lets a reader go on after records it has not
// read were removed by age. Feed it every kept record in order.
type SnapshotRecovery struct {
	// FirstOffset is the oldest kept offset when the gap was found.
	FirstOffset int64
	open        map[string][][]byte
}

// NewSnapshotRecovery returns a bridge for a stream whose oldest kept record is at first.
func NewSnapshotRecovery(first int64) *SnapshotRecovery {
	return &SnapshotRecovery{FirstOffset: first, open: map[string][][]byte{}}
}

// AddControlRecord returns the table of the first snapshot that covers all removed records,
// once the last of its parts was fed, and nil before.
func (b *SnapshotRecovery) AddControlRecord(data []byte) *ControlTable {
	var s ControlSnapshot
	if !b.feed(data, ControlSnapshotPart, &s) {
		return nil
	}
	return RestoreControlTable(s)
}

// AddJobsRecord is Control for a jobs stream.
func (b *SnapshotRecovery) AddJobsRecord(data []byte) *JobTable {
	var s JobsSnapshot
	if !b.feed(data, JobsSnapshotPart, &s) {
		return nil
	}
	return RestoreJobTable(s)
}

// feed adds the parts that a record holds and unpacks the snapshot that they
// complete into v.
func (b *SnapshotRecovery) feed(data []byte, t ChangeType, v any) bool {
	changes, err := Decode(data)
	if err != nil {
		return false
	}
	for _, ch := range changes {
		if ch.Type != t || ch.Part == nil || ch.Part.Next < b.FirstOffset {
			continue
		}
		if whole := b.add(ch.Part); whole != nil && unpack(whole, v) == nil {
			return true
		}
	}
	return false
}

// maxParts bounds the parts of one snapshot.
const maxParts = 4096

// add keeps a part and returns the packed snapshot if it was the last one missing.
func (b *SnapshotRecovery) add(p *SnapshotPart) []byte {
	if p.Parts < 1 || p.Parts > maxParts || p.Part < 0 || p.Part >= p.Parts {
		return nil
	}
	parts := b.open[p.Snapshot]
	if len(parts) != p.Parts {
		parts = make([][]byte, p.Parts)
		b.open[p.Snapshot] = parts
	}
	parts[p.Part] = p.Data
	var whole []byte
	for _, part := range parts {
		if part == nil {
			return nil
		}
		whole = append(whole, part...)
	}
	return whole
}
