package caller

import (
	"net/http"
	"time"
)

// answerWriter limits how long the caller may take to read the answer, counted
// from the start of the answer. Its deadline replaces the one that an earlier
// answer set on the same connection.
type answerWriter struct {
	http.ResponseWriter
	timeout     time.Duration
	deadlineSet bool
}

// WriteHeader sets the write deadline, unless set already, and sends the header.
func (w *answerWriter) WriteHeader(status int) {
	w.setDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write sets the write deadline before the first byte.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.setDeadline()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *answerWriter) setDeadline() {
	if w.deadlineSet {
		return
	}
	w.deadlineSet = true
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.timeout))
}

// setBodyDeadline limits how long the caller may take to send a body. The limit
// also applies to a body that the handler does not read, because net/http reads
// the rest of it. A request without a body gets no deadline, because net/http
// reads from the connection in the background while the request is handled.
func setBodyDeadline(w http.ResponseWriter, r *http.Request, within time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(within))
}
