package entry

import (
	"time"

	"dotterelhitch/internal/keyhome"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// answerMessage turns an answer into its message; nil gives nil.
func answerMessage(a *structs.Answer) *peerv1.DispatchResponse {
	if a == nil {
		return nil
	}
	m := &peerv1.DispatchResponse{Id: a.RequestID, Outcome: string(a.Outcome), Body: a.Body, Worker: a.Worker}
	if a.Err != nil {
		m.Error = fromError(a.Err)
	}
	return m
}

// answerOf turns a message back into an answer; a missing one is of unknown
// outcome.
func answerOf(m *peerv1.DispatchResponse) structs.Answer {
	if m == nil {
		return structs.Answer{Outcome: structs.OutcomeUnknown}
	}
	a := structs.Answer{RequestID: m.Id, Outcome: structs.Outcome(m.Outcome), Body: m.Body, Worker: m.Worker}
	if m.Error != nil {
		a.Err = structs.AsError(toError(m.Error))
	}
	return a
}

// keyMessage turns the state of a key into its message.
func keyMessage(e *keyhome.Entry, now time.Time) *peerv1.KeyEntry {
	return &peerv1.KeyEntry{
		Key:             e.Key,
		RequestId:       e.RequestID,
		Fingerprint:     []byte(e.Fingerprint),
		State:           uint32(e.State),
		Answer:          answerMessage(e.Answer),
		VersionEpoch:    e.Version.Epoch,
		VersionSequence: e.Version.Sequence,
		AgeMs:           now.Sub(e.PermittedAt).Milliseconds(),
	}
}

// keyEntry turns a message back into the state of a key and its age.
func keyEntry(m *peerv1.KeyEntry) (keyhome.Entry, time.Duration) {
	e := keyhome.Entry{
		Key:         m.Key,
		RequestID:   m.RequestId,
		Fingerprint: string(m.Fingerprint),
		State:       keyhome.State(m.State),
		Version:     keyhome.Version{Epoch: m.VersionEpoch, Sequence: m.VersionSequence},
	}
	if m.Answer != nil {
		a := answerOf(m.Answer)
		e.Answer = &a
	}
	return e, time.Duration(m.AgeMs) * time.Millisecond
}

func transferMessage(t *keyhome.Transfer, now time.Time) *peerv1.TransferKeysRequest {
	req := &peerv1.TransferKeysRequest{Member: t.From, Epoch: t.Epoch}
	for _, p := range t.Partitions {
		part := &peerv1.KeyPartition{Partition: uint32(p.Partition), Covers: p.CompleteBelow}
		for i := range p.Entries {
			part.Entries = append(part.Entries, keyMessage(&p.Entries[i], now))
		}
		req.Partitions = append(req.Partitions, part)
	}
	return req
}

// transferOf turns a message back into a transfer, with the ages of its entries.
func transferOf(r *peerv1.TransferKeysRequest) (keyhome.Transfer, [][]time.Duration) {
	t := keyhome.Transfer{From: r.Member, Epoch: r.Epoch}
	ages := make([][]time.Duration, len(r.Partitions))
	for i, p := range r.Partitions {
		part := keyhome.PartitionContent{Partition: int(p.Partition), CompleteBelow: p.Covers}
		for _, m := range p.Entries {
			e, age := keyEntry(m)
			part.Entries = append(part.Entries, e)
			ages[i] = append(ages[i], age)
		}
		t.Partitions = append(t.Partitions, part)
	}
	return t, ages
}
