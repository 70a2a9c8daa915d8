package load

import (
	"fmt"
	"strings"
)

// body returns the body of a request: it asks the stand-in's endpoint for the
// stream's answer size and service time, and differs from every other.
func (r RequestStream) body(a arrival) []byte {
	var b strings.Builder
	if r.AnswerBytes > 0 {
		fmt.Fprintf(&b, "answer-bytes=%d;", r.AnswerBytes)
	}
	if r.ServiceTime > 0 {
		fmt.Fprintf(&b, "service-ms=%d;", r.ServiceTime.AsDuration().Milliseconds())
	}
	fmt.Fprintf(&b, "%s-%d-%x", r.Name, a.number, a.salt)
	if pad := r.BodyBytes - b.Len(); pad > 0 {
		b.WriteString(strings.Repeat(".", pad))
	}
	return []byte(b.String())
}
