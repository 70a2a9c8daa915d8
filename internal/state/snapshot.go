package state

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"dotterelhitch/internal/structs"
)

// Limits of a snapshot in the log.
const (
	// partBytes is the size of a part before it is encoded into a record.
	partBytes = 256 << 10
	// maxSnapshotBytes is the maximum size of an unpacked snapshot.
	maxSnapshotBytes = 256 << 20
)

// SnapshotPart is one part of a packed snapshot. A snapshot is split into parts because
// it may be larger than a record.
type SnapshotPart struct {
	// Snapshot is the ID of the snapshot that the part belongs to.
	Snapshot string `json:"snapshot"`
	// Next is the offset of the first record that is not included in the snapshot.
	Next int64 `json:"next"`
	// Part is the index of the part, from 0 to Parts-1.
	Part  int    `json:"part"`
	Parts int    `json:"parts"`
	Data  []byte `json:"data"`
}

// SnapshotChanges packs a snapshot into changes of type t, each small enough for a
// record.
func SnapshotChanges(id string, t ChangeType, next int64, snapshot any) ([]Change, error) {
	packed, err := pack(snapshot)
	if err != nil {
		return nil, err
	}
	parts := (len(packed) + partBytes - 1) / partBytes
	changes := make([]Change, parts)
	for i := range changes {
		end := min((i+1)*partBytes, len(packed))
		changes[i] = Change{
			ID:   id,
			Type: t,
			Part: &SnapshotPart{Snapshot: id, Next: next, Part: i, Parts: parts, Data: packed[i*partBytes : end]},
		}
	}
	return changes, nil
}

func pack(v any) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, structs.NewError(structs.CodeInternal, "snapshot: %v", err)
	}
	if err := w.Close(); err != nil {
		return nil, structs.NewError(structs.CodeInternal, "snapshot: %v", err)
	}
	return buf.Bytes(), nil
}

func unpack(packed []byte, v any) error {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return structs.NewError(structs.CodeInvalid, "snapshot: %v", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(v); err != nil {
		return structs.NewError(structs.CodeInvalid, "snapshot: %v", err)
	}
	return nil
}
