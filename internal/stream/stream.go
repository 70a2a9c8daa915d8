// Package stream holds the types of the platform's append-only log: topics with conditional
// and fenced appends, and keyed topics that keep the newest record of each key. Failures are
// structs.Error values. Callers distinguish these codes:
//
//   - CodeUnavailable: certainly nothing was done.
//   - CodeUnknown: the operation may have been done, or may still be done later.
//   - CodeConflict: the end of the topic is not the expected one.
//   - CodeStaleEpoch: a producer of a newer epoch has appended.
//   - CodeBehind: the requested records have expired, or an append arrived before one with a
//     lower sequence number of its producer.
package stream

// Record is one record of a topic. Key is empty in topics without keys. A keyed record
// without a value deletes its key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
	// Malformed says that the content can't be decoded. Value is empty then, and Key is empty
	// unless it can be decoded.
	Malformed bool
}

// Producer identifies the source of an append and fences it: an append under a lower epoch
// than one seen before is refused, and a repeated sequence number gets the result of the
// first append.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Append is a request to append records to a topic, all or none. Without records it only sets
// the producer's epoch.
type Append struct {
	Topic   string
	Records []Record
	// Producer fences the append; nil means no fencing.
	Producer *Producer
	// ExpectedEnd is the end that the topic must have; nil means no condition.
	ExpectedEnd *int64
}

// AppendResult tells where the records were appended.
type AppendResult struct {
	// Offset is the offset of the first record, End the end of the topic after the last one.
	Offset int64
	End    int64
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Next is the offset of the next read, End the end of the topic, and First the offset of
	// the oldest record that is kept.
	Next  int64
	End   int64
	First int64
	// Relay is the member through which the call was made, empty for a direct call.
	Relay string
}

// Page is a page of the newest records of a keyed topic.
type Page struct {
	Records []Record
	// HasMore says that there are records after the last key of the page.
	HasMore bool
	// End is the end of the topic.
	End int64
	// Relay is the member through which the call was made, empty for a direct call.
	Relay string
}
