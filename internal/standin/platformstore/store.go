// Package platformstore simulates the platform's log store for tests that start the system's own
// processes: appends under conditions and fences, reads and the newest records by key, with faults.
package platformstore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault of the simulated store.
type Fault string

// The faults.
const (
	NoFault           Fault = ""
	Unavailable       Fault = "busy"   // answers with 503
	ResetsConnections Fault = "reset"  // resets the connection
	Unresponsive      Fault = "silent" // does not answer
	SlowResponses     Fault = "slow"   // answers after slowResponseTime
	LosesAnswers      Fault = "lossy"  // does appends, loses a third of their answers
	DelaysAppends     Fault = "late"   // does a third of the appends after appendDelay, without an answer
)

const (
	slowResponseTime = 200 * time.Millisecond
	appendDelay      = time.Second
	// repeatWindow is the number of a producer's last appends whose repetition is answered with
	// the first answer.
	repeatWindow = 5
	// newestPage is the maximum number of records in a page of the newest records.
	newestPage = 500
)

// Store simulates the platform's log store with one partition for each topic.
type Store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{} // closed at the next append
	fault    Fault
}

type topic struct {
	firstOffset int64 // offset of the oldest record kept
	records     [][]byte
	newest      map[string]keyedRecord
	producers   map[string]*producer
}

type keyedRecord struct {
	value  []byte
	offset int64
}

// producer is the state of a fenced producer.
type producer struct {
	epoch, nextSequence int64
	lastResponses       []appendResponse
}

type appendResponse struct {
	Offset   int64  `json:"offset"`
	End      int64  `json:"end"`
	Reason   string `json:"reason,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	status   int
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: map[string]*topic{}, appended: make(chan struct{})}
}

func (t *topic) end() int64 { return t.firstOffset + int64(len(t.records)) }

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedRecord{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// SetFault sets the fault of the store.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// DropHistory drops all records from the history of each topic but keeps the newest record of each
// key.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.firstOffset = t.end()
		t.records = nil
	}
}

// WriteRecord appends a record on behalf of the platform, whatever the store's fault. A record
// without a value removes its key.
func (s *Store) WriteRecord(name, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecords(s.topic(name), [][]byte{append(record, value...)})
}

func (s *Store) appendRecords(t *topic, records [][]byte) {
	for _, r := range records {
		key := string(r[1 : 1+int(r[0])])
		value := r[1+len(key):]
		t.newest[key] = keyedRecord{value: value, offset: t.end()}
		if len(value) == 0 {
			delete(t.newest, key)
		}
		t.records = append(t.records, r)
	}
	close(s.appended)
	s.appended = make(chan struct{})
}

// WriteRaw appends an encoded record, which need not be readable.
func (s *Store) WriteRaw(name string, record []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record)
	close(s.appended)
	s.appended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case ResetsConnections:
		panic(http.ErrAbortHandler)
	case Unresponsive:
		<-r.Context().Done()
		return
	case SlowResponses:
		time.Sleep(slowResponseTime)
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, fault)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, fault Fault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	lost := (fault == LosesAnswers || fault == DelaysAppends) && rand.IntN(3) == 0
	if lost && fault == DelaysAppends {
		time.AfterFunc(appendDelay, func() { s.append(r, body) })
		panic(http.ErrAbortHandler)
	}
	out := s.append(r, body)
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, out.status, out)
}

// append performs an append.
func (s *Store) append(r *http.Request, body []byte) appendResponse {
	q := r.URL.Query()
	records := decodeRecords(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	end := t.end()
	if asOf := q.Get("as_of"); asOf != "" && parseInt(asOf) != end {
		return appendResponse{End: end, status: http.StatusPreconditionFailed}
	}
	out := appendResponse{Offset: end, End: end + int64(len(records)), status: http.StatusOK}
	if name := q.Get("producer"); name != "" {
		p := t.producers[name]
		if p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		if refused, done := p.checkAppend(parseInt(q.Get("epoch")), parseInt(q.Get("sequence")), len(records) == 0, out); done {
			return refused
		}
	}
	s.appendRecords(t, records)
	return out
}

// checkAppend checks an append's epoch and sequence number. It returns the response and true if the
// append is refused, has been done before or has no records, and false if its records are to be
// appended.
func (p *producer) checkAppend(epoch, sequence int64, empty bool, out appendResponse) (appendResponse, bool) {
	if epoch < p.epoch {
		return appendResponse{Reason: "fenced", status: http.StatusConflict}, true
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch, nextSequence: sequence}
	}
	if empty {
		return out, true
	}
	if repeatsBack := p.nextSequence - sequence; repeatsBack > 0 && repeatsBack <= int64(len(p.lastResponses)) {
		return p.lastResponses[len(p.lastResponses)-int(repeatsBack)], true
	}
	if sequence != p.nextSequence {
		return appendResponse{Reason: "seq", Sequence: p.nextSequence, status: http.StatusConflict}, true
	}
	p.nextSequence++
	p.lastResponses = append(p.lastResponses, out)
	p.lastResponses = p.lastResponses[max(0, len(p.lastResponses)-repeatWindow):]
	return out, false
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := parseInt(q.Get("from"))
	wait := time.After(time.Duration(parseInt(q.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		first, end, appended := t.firstOffset, t.end(), s.appended
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
		}
		s.mu.Unlock()
		if from < first {
			writeJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if len(records) == 0 {
			select {
			case <-appended:
				continue
			case <-r.Context().Done():
				return
			case <-wait:
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, uint64(first))
		for _, record := range records {
			out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
			out = append(out, record...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	var out struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int64  `json:"end"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	out.End = t.end()
	for key, k := range t.newest {
		if key > after {
			out.Items = append(out.Items, item{key, base64.StdEncoding.EncodeToString(k.value), k.offset})
		}
	}
	slices.SortFunc(out.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(out.Items) > newestPage {
		out.Items, out.HasMore = out.Items[:newestPage], true
	}
	writeJSON(w, http.StatusOK, out)
}

func decodeRecords(body []byte) [][]byte {
	var out [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out
}

func parseInt(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64) // a missing number counts as 0
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client whose connection has closed retries
}
