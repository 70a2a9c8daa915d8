// Package stream holds the types of the platform's append-only log: topics with
// conditional and fenced appends, and keyed topics that keep the newest record of each
// key. Failures are structs.Error values; the codes that callers branch on are
//
//   - CodeUnavailable: certainly nothing was done.
//   - CodeUnknown: it may have been done, or may be later.
//   - CodeConflict: the topic does not end where the caller said.
//   - CodeStaleEpoch: a producer of a newer epoch has appended.
//   - CodeBehind: the records asked for have expired.
package stream

// Record is one record of a topic. Key is empty in topics without keys; a keyed record
// without a value drops its key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Producer fences appends: an append under a lower epoch than one seen is refused, and
// a repeat of a sequence number gets the first answer.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Append adds records to a topic, all or nothing. Without records it only sets the
// producer's epoch.
type Append struct {
	Topic   string
	Records []Record
	// Producer fences the append; nil for none.
	Producer *Producer
	// ExpectedEnd is the end that the topic must have; nil for no condition.
	ExpectedEnd *int64
}

// AppendResult tells where records were put.
type AppendResult struct {
	// Offset is that of the first record, End the end of the topic after the last.
	Offset int64
	End    int64
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// Next is where to read on, End the end of the topic, First the oldest record kept.
	Next  int64
	End   int64
	First int64
}

// Page is a part of the newest records of a keyed topic.
type Page struct {
	Records []Record
	// HasMore says that there are records after the last key.
	HasMore bool
	End     int64
}
