//go:build review2

// Command review2 plays the scripts of review/6 and later: it is the platform, the workers and the requesters of a small
// deployment, starts the system's own processes, and judges what these stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const syscallKill = syscall.SIGKILL

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldntRun = 2
)

// play is a case. It returns an error if it couldn't run.
type play func(s *site, trouble bool) error

// plan is a case with the size of its deployment.
type plan struct {
	workers, entries int
	play             play
	advice           bool // all queues have it
}

var plans = map[string]plan{
	"overlap":    {workers: 48, entries: 6, play: overlappingJob},
	"large-job":  {workers: 48, entries: 6, play: largeJob},
	"crash-loop": {workers: 48, entries: 6, play: crashLoop},
	"many-large": {workers: 48, entries: 6, play: manyLarge},
	"late-poll":  {workers: 8, entries: 6, play: latePoll, advice: true},
	"full":       {workers: 16, entries: 6, play: lastingFull},
	"late-start": {workers: 8, entries: 6, play: lateStart},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plans[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		return couldntRun
	}
	p := plans[os.Args[1]]
	s, err := newSite(os.Args[2], p)
	if s != nil {
		defer s.close()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		go func() {
			<-stop
			s.close()
			os.Exit(couldntRun)
		}()
	}
	if err == nil {
		err = p.play(s, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	accepted, refused, largest := s.store.counts()
	s.log.addf("store: %d appends taken, %d refused, the largest refused record has %d bytes; %d starts", accepted, refused, largest, s.starts)
	for _, e := range s.entries {
		if e.ends > 0 {
			s.log.addf("%s ended by itself %d times", e.name, e.ends)
		}
	}
	broken := s.broken()
	for i, b := range broken {
		if i < 10 {
			fmt.Println(b)
		}
	}
	s.log.addf("%d breaches", len(broken))
	fmt.Printf("%d breaches\n", len(broken))
	if len(broken) > 0 {
		return ruleBroken
	}
	return ruleHeld
}
