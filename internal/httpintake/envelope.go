package httpintake

import "encoding/binary"

// envelopePrefix is the size of what precedes each message of a stream: a byte of flags and the length of the message.
const envelopePrefix = 5

// envelope follows the messages of a stream, each with its prefix.
type envelope struct {
	prefix [envelopePrefix]byte
	have   int   // bytes of the prefix that have arrived
	rest   int64 // bytes of the message that have not
}

// advance takes the next bytes of the stream, and reports whether they end where a message ends.
func (e *envelope) advance(b []byte) bool {
	for len(b) > 0 {
		if e.have < envelopePrefix {
			n := copy(e.prefix[e.have:], b)
			e.have += n
			b = b[n:]
			if e.have < envelopePrefix {
				return false
			}
			e.rest = int64(binary.BigEndian.Uint32(e.prefix[1:]))
		} else {
			n := min(int64(len(b)), e.rest)
			e.rest -= n
			b = b[n:]
		}
		if e.rest == 0 {
			e.have = 0
		}
	}
	return e.have == 0
}
