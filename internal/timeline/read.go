package timeline

import (
	"bufio"
	"bytes"
	stderrors "errors"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/structs"
)

// Log is the content of one event log.
type Log struct {
	File   string
	Events []event.Event
	// Truncated is true if the last line is incomplete, which happens when the
	// process was killed.
	Truncated bool
}

// LineError is a line of an event log that can't be read.
type LineError struct {
	File string
	Line int
	// Err is the typed failure; its message names the file and line.
	Err *structs.Error
}

// Error implements error.
func (e *LineError) Error() string { return e.Err.Error() }

// Unwrap returns the typed failure.
func (e *LineError) Unwrap() error { return e.Err }

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// ReadFile reads the event log at path.
func ReadFile(path string) (*Log, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, structs.NewError(structs.CodeNotFound, "event log: %v", err)
	}
	defer f.Close()
	return Read(path, f)
}

// Read reads an event log; name is used in errors only. An incomplete last line
// is dropped; for any other line that is not an event Read returns a *LineError.
func Read(name string, r io.Reader) (*Log, error) {
	log := &Log{File: name}
	in := bufio.NewReader(r)
	for number := 1; ; number++ {
		line, complete, err := readLine(in)
		if err != nil {
			return nil, lineError(name, number, err)
		}
		if !complete && len(line) == 0 {
			return log, nil
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		e, err := Decode(line)
		if err != nil && !complete {
			log.Truncated = true
			return log, nil
		}
		if err != nil {
			return nil, lineError(name, number, err)
		}
		log.Events = append(log.Events, e)
	}
}

func lineError(name string, number int, err error) error {
	typed := *structs.AsError(err)
	typed.Message = fmt.Sprintf("%s:%d: %s", name, number, typed.Message)
	return &LineError{File: name, Line: number, Err: &typed}
}

// readLine returns a line without its newline; complete is false if the file ended
// before the newline.
func readLine(in *bufio.Reader) (line []byte, complete bool, err error) {
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, false, structs.NewError(structs.CodeTooLarge, "more than %d bytes", maxLineBytes)
		}
		switch {
		case err == nil:
			return line[:len(line)-1], true, nil
		case stderrors.Is(err, io.EOF):
			return line, false, nil
		case !stderrors.Is(err, bufio.ErrBufferFull):
			return nil, false, errors.Trace(err)
		}
	}
}
