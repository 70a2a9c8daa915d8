//go:build review3

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in the settings.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 2 * time.Millisecond
	pageItems   = 500
	pageBytes   = 1 << 20
)

// store is a stand-in for the platform's log store: appends under conditions and fences, reads, and the newest record of
// each key. It keeps its whole history, which is shorter than keep_s.
type store struct {
	rec *recorder

	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{} // closed at the next append
	// claimant is the machine that last wrote under a condition, by what it wrote.
	claimant string
}

type topic struct {
	mu        sync.Mutex // held while an append takes its time
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
	answers     []appendAnswer
}

type appendAnswer struct {
	Offset   int64  `json:"offset"`
	End      int64  `json:"end"`
	Reason   string `json:"reason,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	status   int
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, topics: map[string]*topic{}, appended: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record on behalf of the operator or a worker.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, s.topic(name), [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (s *store) add(name string, t *topic, records [][]byte) {
	for _, r := range records {
		if strings.HasPrefix(name, "keyed.") && len(r) > int(r[0]) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = newestRecord{value, int64(len(t.records))}
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
		out := s.append(r, body)
		writeJSON(w, out.status, out)
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
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		return appendAnswer{status: http.StatusForbidden}
	}
	var records [][]byte
	total := len(body)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return appendAnswer{status: http.StatusBadRequest}
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	t := s.topic(name)
	for _, record := range records {
		if len(record) == 0 || len(record) < 1+int(record[0]) {
			s.mu.Unlock()
			return appendAnswer{status: http.StatusBadRequest}
		}
		if len(record) > recordBytes || total > callBytes {
			key := string(record[1 : 1+int(record[0])])
			s.mu.Unlock()
			s.rec.note("store: refused an append: record %s has %d bytes, at most %d are taken", key, len(record), recordBytes)
			return appendAnswer{status: http.StatusRequestEntityTooLarge}
		}
	}
	s.mu.Unlock()
	t.mu.Lock() // a partition processes its appends one at a time
	defer t.mu.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	if text := q.Get("as_of"); text != "" && number(text) != end {
		return appendAnswer{End: end, status: http.StatusPreconditionFailed}
	}
	out := appendAnswer{Offset: end, End: end + int64(len(records)), status: http.StatusOK}
	if id := q.Get("producer"); id != "" {
		p := t.producers[id]
		if p == nil {
			p = &producer{}
			t.producers[id] = p
		}
		if answer, done := p.check(number(q.Get("epoch")), number(q.Get("sequence")), len(records) == 0, out); done {
			return answer
		}
	}
	s.add(name, t, records)
	if q.Get("as_of") != "" && len(records) > 0 {
		var claim struct {
			Node string `json:"node"`
		}
		if json.Unmarshal(records[0][1+int(records[0][0]):], &claim) == nil && claim.Node != "" {
			s.claimant = claim.Node
		}
	}
	return out
}

// check returns the answer to an append that is refused, a repetition, or empty, and false for one that is to be done.
func (p *producer) check(epoch, sequence int64, empty bool, out appendAnswer) (appendAnswer, bool) {
	if epoch < p.epoch {
		return appendAnswer{Reason: "fenced", status: http.StatusConflict}, true
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch, next: sequence}
	}
	if empty {
		return out, true
	}
	if back := p.next - sequence; back > 0 && back <= int64(len(p.answers)) {
		return p.answers[len(p.answers)-int(back)], true
	}
	if sequence != p.next {
		return appendAnswer{Reason: "seq", Sequence: p.next, status: http.StatusConflict}, true
	}
	p.next++
	p.answers = append(p.answers, out)
	p.answers = p.answers[max(0, len(p.answers)-5):]
	return out, false
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	most := number(q.Get("max_kilobytes")) << 10
	if most == 0 {
		most = 1 << 20
	}
	wait := time.After(time.Duration(number(q.Get("wait_ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		records, appended := s.topic(q.Get("topic")).records, s.appended
		s.mu.Unlock()
		if from >= int64(len(records)) {
			select {
			case <-appended:
				continue
			case <-r.Context().Done():
				return
			case <-wait:
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < int64(len(records)) && (i == from || int64(len(out)+len(records[i])) <= most); i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
			out = append(out, records[i]...)
		}
		_, _ = w.Write(out) // a client that has gone asks again
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	out := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int64  `json:"end"`
	}{Items: []item{}}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	out.End = int64(len(t.records))
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for i, key := range keys {
		n := t.newest[key]
		if i == pageItems || i > 0 && size+len(n.value) > pageBytes {
			out.HasMore = true
			break
		}
		size += len(n.value)
		out.Items = append(out.Items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64) // a missing number counts as 0
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone asks again
}
