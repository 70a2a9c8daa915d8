//go:build review3

// Command standin3 plays the scripts of the third review: it starts the programs of the deploy file and the stand-ins
// around them, on loopback addresses, and judges what requesters, workers and the platform see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the scripts by name.
var cases = map[string]func(*system, bool) (int, error){
	"gang":    largeGang,
	"ends":    manyEnds,
	"start":   farStart,
	"times":   timetable,
	"adopted": adoptedRun,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD, in the root of the repository")
		return unable
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	if os.Args[1] == "adopted" {
		tairi, maxHold = true, 10*time.Second
	}
	s, err := newSystem(rec)
	if err != nil {
		rec.say("the case can't run: %v", err)
		return unable
	}
	defer s.close()
	ended := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
		if err != nil {
			rec.say("the case can't run: %v", err)
			code = unable
		}
		ended <- code
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-ended:
		rec.say("exit code %d", code)
		return code
	case <-stopped:
		return unable
	case <-time.After(115 * time.Second):
		rec.say("the case takes too long")
		return unable
	}
}

// addWorkers adds the workers of the site: 48 of 16 cores and 64 GB, 8 a rack.
func (s *system) addWorkers(n int) error {
	for i := range n {
		kind := []string{"a", "b"}[i%2]
		if _, err := s.fleet.add(i, []string{kind, fmt.Sprintf("r%d", i/8)}, 16000, 65536); err != nil {
			return err
		}
	}
	return nil
}
