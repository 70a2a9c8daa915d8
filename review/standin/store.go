package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it: topics with one
// partition, conditional and fenced appends, reads that wait, and the newest record of each key.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{} // closed at the next append
}

type topic struct {
	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producer
}

type newestRecord struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, next int64
	last        []appendAnswer
}

type appendAnswer struct {
	Offset   int64  `json:"offset"`
	End      int64  `json:"end"`
	Reason   string `json:"reason,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	status   int
}

// repeatWindow is the number of a producer's last appends that may be repeated.
const repeatWindow = 5

// appendTime is how long an append takes.
const appendTime = 2 * time.Millisecond

func newStore() *store { return &store{topics: map[string]*topic{}, appended: make(chan struct{})} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// write appends a keyed record on behalf of the operator or of a worker. No value drops the key.
func (s *store) write(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.add(s.topic(name), [][]byte{append(record, value...)})
}

// value returns the newest value of a key.
func (s *store) value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

func (s *store) add(t *topic, records [][]byte) {
	for _, r := range records {
		if len(r) > 0 && int(r[0]) < len(r) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = newestRecord{value: value, offset: int64(len(t.records))}
			}
		}
		t.records = append(t.records, r)
	}
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(appendTime)
		a := s.append(r, body)
		answerJSON(w, a.status, a)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(r *http.Request, body []byte) appendAnswer {
	q := r.URL.Query()
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	end := int64(len(t.records))
	if asOf := q.Get("as_of"); asOf != "" && number(asOf) != end {
		return appendAnswer{End: end, status: http.StatusPreconditionFailed}
	}
	out := appendAnswer{Offset: end, End: end + int64(len(records)), status: http.StatusOK}
	if name := q.Get("producer"); name != "" {
		p := t.producers[name]
		if p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		epoch, sequence := number(q.Get("epoch")), number(q.Get("sequence"))
		if epoch < p.epoch {
			return appendAnswer{Reason: "fenced", status: http.StatusConflict}
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch, next: sequence}
		}
		if len(records) == 0 {
			return out
		}
		if back := p.next - sequence; back > 0 && back <= int64(len(p.last)) {
			return p.last[int64(len(p.last))-back]
		}
		if sequence != p.next {
			return appendAnswer{Reason: "seq", Sequence: p.next, status: http.StatusConflict}
		}
		p.next++
		p.last = append(p.last, out)
		p.last = p.last[max(0, len(p.last)-repeatWindow):]
	}
	s.add(t, records)
	return out
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	wait := time.After(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end, appended := int64(len(t.records)), s.appended
		var records [][]byte
		if from < end {
			records = t.records[from:]
		}
		s.mu.Unlock()
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
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, record := range records {
			out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
			out = append(out, record...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
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
	const page = 500
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	out.End = int64(len(t.records))
	for key, n := range t.newest {
		if key > after {
			out.Items = append(out.Items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
		}
	}
	s.mu.Unlock()
	sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
	if len(out.Items) > page {
		out.Items, out.HasMore = out.Items[:page], true
	}
	answerJSON(w, http.StatusOK, out)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64) // a missing number counts as 0
	return n
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}
