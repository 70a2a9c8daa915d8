//go:build review2

package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// journal is record.txt of a case: what was sent, answered and run.
type journal struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newJournal(folder string) (*journal, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &journal{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (j *journal) add(text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.out, "%8.3f %s\n", time.Since(j.began).Seconds(), text)
}

func (j *journal) addf(format string, args ...any) { j.add(fmt.Sprintf(format, args...)) }

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.out.Flush()
	_ = j.file.Close()
}
