//go:build review2

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"dotterelhitch/internal/standin/platformstore"
)

// Limits of the platform's store (DEPLOY.md, [platform]).
const (
	recordBytes = 262144
	callBytes   = 2097152
)

// store is the project's own stand-in of the platform's store behind a check of the sizes of records and calls, which
// PROTOCOL.md states and that stand-in does not check.
type store struct {
	*platformstore.Store
	log  *journal
	addr string

	mu       sync.Mutex
	refused  int
	largest  int
	accepted int
}

func newStore(log *journal) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: platformstore.New(), log: log, addr: l.Addr().String()}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// ServeHTTP refuses appends beyond the limits and passes on all other calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/log-append" {
		s.Store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if key, size := largestRecord(body); size > recordBytes || len(body) > callBytes {
		s.noteRefusal(key, size, len(body))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(map[string]string{"reason": "size"})
		return
	}
	s.mu.Lock()
	s.accepted++
	s.mu.Unlock()
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.Store.ServeHTTP(w, r)
}

// noteRefusal records the first refusals, and later ones now and then.
func (s *store) noteRefusal(key string, size, call int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	s.largest = max(s.largest, size)
	if s.refused <= 5 || s.refused%100 == 0 {
		s.log.add("store refuses append " + strconv.Itoa(s.refused) + ": record " + key + " has " + strconv.Itoa(size) +
			" bytes, the call " + strconv.Itoa(call) + " bytes")
	}
}

func (s *store) counts() (accepted, refused, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.refused, s.largest
}

// largestRecord returns the key and the size of the largest record of an append to a keyed topic.
func largestRecord(body []byte) (key string, size int) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return key, size
		}
		record := body[4 : 4+n]
		body = body[4+n:]
		if n > size && n > 0 && int(record[0]) < n {
			key, size = string(record[1:1+int(record[0])]), n
		}
	}
	return key, size
}
