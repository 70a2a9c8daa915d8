package state

// SnapshotRecovery finds the snapshot from which a reader can continue after records
// that it has not read were removed from the log by age. Every remaining record has to
// be added in order.
type SnapshotRecovery struct {
	// FirstOffset is the oldest remaining offset at the time when the gap was found.
	FirstOffset int64
	// partial holds the parts of incomplete snapshots by snapshot name.
	partial map[string][][]byte
}

// NewSnapshotRecovery returns a recovery for a stream whose oldest remaining record is
// at first.
func NewSnapshotRecovery(first int64) *SnapshotRecovery {
	return &SnapshotRecovery{FirstOffset: first, partial: map[string][][]byte{}}
}

// AddControlRecord adds a record of the control stream. It returns the table of the
// first snapshot that covers all removed records once the record completes it, nil
// before.
func (b *SnapshotRecovery) AddControlRecord(data []byte) *ControlTable {
	var s ControlSnapshot
	if !b.addRecord(data, ControlSnapshotPart, &s) {
		return nil
	}
	return RestoreControlTable(s)
}

// AddJobsRecord adds a record of a jobs stream; otherwise it works like
// AddControlRecord.
func (b *SnapshotRecovery) AddJobsRecord(data []byte) *JobTable {
	var s JobsSnapshot
	if !b.addRecord(data, JobsSnapshotPart, &s) {
		return nil
	}
	return RestoreJobTable(s)
}

// addRecord adds the snapshot parts of a record. If they complete a snapshot, it is
// unpacked into v and the result is true.
func (b *SnapshotRecovery) addRecord(data []byte, t ChangeType, v any) bool {
	changes, err := Decode(data)
	if err != nil {
		return false
	}
	for _, ch := range changes {
		if ch.Type != t || ch.Part == nil || ch.Part.Next < b.FirstOffset {
			continue
		}
		if whole := b.addPart(ch.Part); whole != nil && unpack(whole, v) == nil {
			return true
		}
	}
	return false
}

// maxParts is the maximum number of parts of one snapshot.
const maxParts = 4096

// addPart adds a part and returns the packed snapshot if the part completes it, nil
// otherwise.
func (b *SnapshotRecovery) addPart(p *SnapshotPart) []byte {
	if p.Parts < 1 || p.Parts > maxParts || p.Part < 0 || p.Part >= p.Parts {
		return nil
	}
	parts := b.partial[p.Snapshot]
	if len(parts) != p.Parts {
		parts = make([][]byte, p.Parts)
		b.partial[p.Snapshot] = parts
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
