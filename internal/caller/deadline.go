package caller

import (
	"net/http"
	"time"
)

// answerWriter gives the caller a bounded time to take its answer, counted from
// when the answer begins. A deadline left by an earlier answer on the same
// connection is replaced.
type answerWriter struct {
	http.ResponseWriter
	timeout     time.Duration
	deadlineSet bool
}

// WriteHeader sets the deadline and sends the header.
func (w *answerWriter) WriteHeader(status int) {
	w.setDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write sets the deadline before the first byte.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.setDeadline()
	return w.ResponseWriter.Write(b)
}

// Unwrap gives http.ResponseController the wrapped writer.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *answerWriter) setDeadline() {
	if w.deadlineSet {
		return
	}
	w.deadlineSet = true
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// setBodyDeadline gives the caller a bounded time to send a body, whether or not it is
// read: the server reads what a handler has left. A request without a body gets
// no deadline, since the server watches its connection while it is handled.
func setBodyDeadline(w http.ResponseWriter, r *http.Request, within time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(within))
}
