package workersvc

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"time"

	"dotterelhitch/internal/structs"
)

// DefaultAnswerBytes is the size of an answer whose request states none.
const DefaultAnswerBytes = 256

// maxServiceTime bounds the service time that a request may ask for.
const maxServiceTime = time.Minute

// Options that a request's body may begin with, each as "name=number;".
const (
	optionAnswerBytes = "answer-bytes"
	optionServiceMs   = "service-ms"
)

// requestOptions is what a request's body asks of the endpoint.
type requestOptions struct {
	answerBytes int
	// service is negative if the body does not state it.
	service time.Duration
}

// parseOptions reads the options at the start of a body. A body may begin with
// any of "answer-bytes=N;" and "service-ms=N;"; the rest is free.
func parseOptions(body []byte) requestOptions {
	o := requestOptions{answerBytes: DefaultAnswerBytes, service: -1}
	for {
		head, rest, found := bytes.Cut(body, []byte(";"))
		if !found {
			return o
		}
		name, value, found := bytes.Cut(head, []byte("="))
		n, err := strconv.Atoi(string(value))
		if !found || err != nil || n < 0 {
			return o
		}
		switch string(name) {
		case optionAnswerBytes:
			o.answerBytes = min(n, structs.MaxAnswerBytes)
		case optionServiceMs:
			o.service = min(time.Duration(min(n, int(maxServiceTime.Milliseconds())))*time.Millisecond, maxServiceTime)
		default:
			return o
		}
		body = rest
	}
}

// Answer returns what the endpoint of every worker answers to a request body: a
// function of the body alone, so that a caller can verify it. The body may begin
// with "answer-bytes=N;" to ask for N bytes.
func Answer(body []byte) []byte {
	return expand(sha256.Sum256(body), parseOptions(body).answerBytes)
}

// expand returns size bytes of text that depend on every bit of seed.
func expand(seed [sha256.Size]byte, size int) []byte {
	out := make([]byte, 0, size+2*sha256.Size)
	for i := uint64(0); len(out) < size; i++ {
		block := sha256.Sum256(binary.BigEndian.AppendUint64(seed[:], i))
		out = hex.AppendEncode(out, block[:])
	}
	return out[:size]
}
