//go:build review3

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case.
type recorder struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f}, nil
}

// note writes a line with the time since the beginning.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // a full disk shows in the record
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.note(format, args...)
}
