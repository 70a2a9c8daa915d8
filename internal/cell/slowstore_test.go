package cell

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/jobstore"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// storingTerm is a term of a controller that only accepts and stores jobs, in virtual time.
type storingTerm struct {
	*leaderTerm
	t     *testing.T
	log   *fakeLog
	down  atomic.Bool // the store gives no answer
	tries []*submission
}

// submission is one submission, with the time that it took to decide it. pending says that it is not decided.
type submission struct {
	id      string
	pending bool
	took    time.Duration
	err     error
}

const (
	fastAnswer = 4 * time.Millisecond
	slowAnswer = 368 * time.Millisecond
	// submitGap is the time between two submissions.
	submitGap = 8 * time.Millisecond
)

func newStoringTerm(t *testing.T) *storingTerm {
	s := &storingTerm{t: t, log: newFakeLog()}
	no := func() bool { return false }
	view := s.log.view(s.down.Load, no, no, &logConnections{})
	const epoch = 64
	l := &leaderTerm{
		node:          &Node{stats: newNodeStats(nil)},
		epoch:         epoch,
		ctl:           controller.New(epoch, controller.Timing{}, nil),
		store:         jobstore.New(view, epoch),
		appends:       newAppendPipeline(),
		inbox:         make(chan func(time.Time), inboxSize),
		commitSignal:  make(chan struct{}, 1),
		acceptWaiters: map[string][]chan error{},
		endWaiters:    map[string][]chan error{},
	}
	l.ctx, l.cancelCtx = context.WithCancel(t.Context())
	s.leaderTerm = l
	s.log.latency.Store(int64(fastAnswer))
	l.ctl.Load(nil, clock.Now())
	l.ctl.SetConfig(&workload.Config{Version: 1, Classes: map[string]*workload.Class{"batch": {Name: "batch", Service: "svc"}}}, clock.Now())
	l.wg.Go(l.commitLoop)
	l.wg.Go(s.control)
	return s
}

// control is the part of controlLoop that concerns the store.
func (s *storingTerm) control() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.inbox:
			f(clock.Now())
		case <-time.After(10 * time.Millisecond):
		}
		s.refuseUnbatched(clock.Now())
		if s.ctl.HasUnstoredChanges() {
			select {
			case s.commitSignal <- struct{}{}:
			default:
			}
		}
	}
}

// submitFor submits a job each submitGap for a time.
func (s *storingTerm) submitFor(d time.Duration) []*submission {
	first := len(s.tries)
	for range d / submitGap {
		try := &submission{id: fmt.Sprintf("job-%d", len(s.tries)), pending: true}
		s.tries = append(s.tries, try)
		result := make(chan error, 1)
		began := time.Now()
		s.post(func(now time.Time) { s.submitOnControl(testJob(try.id), 1, result, now) })
		s.wg.Go(func() {
			select {
			case try.err = <-result:
				try.took = time.Since(began)
				try.pending = false
			case <-s.ctx.Done():
			}
		})
		time.Sleep(submitGap)
	}
	synctest.Wait()
	return s.tries[first:]
}

// settle waits for a time, and until what is due by then is done.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// end ends the term and checks that each accepted job is stored exactly once, and no refused one.
func (s *storingTerm) end() {
	s.t.Helper()
	s.cancelCtx()
	s.wg.Wait()
	written := map[string]int{}
	for _, r := range s.log.topic(jobstore.Topic).records {
		written[r.Key]++
	}
	for _, try := range s.tries {
		n := written["j/"+try.id]
		if !try.pending && try.err == nil && n != 1 || try.err != nil && n != 0 {
			s.t.Errorf("%s was stored %d times, answer %v", try.id, n, try.err)
		}
	}
	// With lost answers, a batch may be confirmed by a later one while its own repetition is still under way.
	if most := s.log.maxAppending.Load(); most > maxAppendsInFlight && s.log.appends.Load() == 0 {
		s.t.Errorf("%d appends in flight", most)
	}
}

// longestAcceptance returns the longest time that the acceptance of some submissions took, all of which must be
// accepted.
func longestAcceptance(t *testing.T, tries []*submission) time.Duration {
	t.Helper()
	var longest time.Duration
	for _, try := range tries {
		if try.pending || try.err != nil {
			t.Errorf("%s was not accepted: %v", try.id, try.err)
		}
		longest = max(longest, try.took)
	}
	return longest
}

// TestAcceptanceWithinOneAnswerOfASlowStore has the store's answers become slow from one moment to the next, and fast
// again. Submissions waited for the append in flight and then for their own, 736 ms in all.
func TestAcceptanceWithinOneAnswerOfASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoringTerm(t)
		fast := s.submitFor(time.Second)
		s.log.latency.Store(int64(slowAnswer))
		slow := s.submitFor(3 * time.Second)
		s.log.latency.Store(int64(fastAnswer))
		s.submitFor(time.Second)
		settle(time.Second)
		longestAcceptance(t, s.tries)
		// The last of them may be stored by the first slow append.
		if took := longestAcceptance(t, fast[:len(fast)-2*int(commitInterval/submitGap)]); took > fastAnswer+2*commitInterval {
			t.Errorf("accepted within %v by a fast store", took)
		}
		if took := longestAcceptance(t, slow); took > slowAnswer+lateAppendInterval+commitInterval {
			t.Errorf("accepted within %v by a store that answers within %v", took, slowAnswer)
		}
		s.end()
	})
}

// TestStoreSlowForSeconds has the store answer within 1.2 s for a while: that is slow and no outage, once its first
// answer shows it. Submissions before that may be refused, which must not take longer than an outage takes to tell.
func TestStoreSlowForSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answer = 1200 * time.Millisecond
		s := newStoringTerm(t)
		s.submitFor(time.Second)
		s.log.latency.Store(int64(answer))
		onset := s.submitFor(answer + 2*commitInterval)
		slow := s.submitFor(4 * time.Second)
		settle(3 * time.Second)
		for _, try := range onset {
			if try.pending || try.err != nil && try.took > storeOutageThreshold+commitInterval {
				t.Errorf("%s: answer %v after %v, pending %v", try.id, try.err, try.took, try.pending)
			}
		}
		if took := longestAcceptance(t, slow); took > answer*6/5+2*commitInterval {
			t.Errorf("accepted within %v by a store that answers within %v", took, answer)
		}
		s.end()
	})
}

// TestSilentStoreGetsFewSubmissions has the store give no answer for 5 s. Submissions that are in an append can be
// neither accepted nor refused until it answers: these must be few, and all others are refused early, with a time to
// come back.
func TestSilentStoreGetsFewSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoringTerm(t)
		s.submitFor(time.Second)
		s.down.Store(true)
		silent := s.submitFor(5 * time.Second)
		undecided := 0
		for _, try := range silent {
			switch {
			case try.pending:
				undecided++
			case structs.CodeOf(try.err) != structs.CodeUnavailable || structs.AsError(try.err).RetryAfterMs <= 0:
				t.Errorf("%s: answer %v", try.id, try.err)
			case try.took > storeOutageThreshold+commitInterval:
				t.Errorf("%s was refused after %v", try.id, try.took)
			}
		}
		if most := int((minStuckAppendTime + commitInterval) / submitGap); undecided > most {
			t.Errorf("%d submissions are undecided, want at most %d", undecided, most)
		}
		s.down.Store(false)
		settle(2 * time.Second)
		for _, try := range silent {
			if try.pending {
				t.Errorf("%s is undecided 2 s after the store is back", try.id)
			}
		}
		back := s.submitFor(time.Second)
		settle(time.Second)
		longestAcceptance(t, back)
		s.end()
	})
}

// TestRefusingStoreHasSubmissionsRefused has the store refuse all appends: no submission is left undecided.
func TestRefusingStoreHasSubmissionsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoringTerm(t)
		s.submitFor(time.Second)
		s.log.refuseAppends.Store(true)
		refused := s.submitFor(3 * time.Second)
		settle(time.Second)
		for _, try := range refused {
			if try.pending || structs.CodeOf(try.err) != structs.CodeUnavailable || try.took > storeOutageThreshold+2*commitRetryPause {
				t.Errorf("%s: answer %v after %v, pending %v", try.id, try.err, try.took, try.pending)
			}
		}
		s.log.refuseAppends.Store(false)
		settle(time.Second)
		s.submitFor(time.Second)
		settle(time.Second)
		longestAcceptance(t, s.tries[len(s.tries)-100:])
		s.end()
	})
}

// TestAnswersOfASlowStoreAreLost loses the answer of every third append while the store is slow and appends overlap:
// each job is accepted, and stored once.
func TestAnswersOfASlowStoreAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoringTerm(t)
		s.submitFor(time.Second)
		s.log.latency.Store(int64(slowAnswer))
		s.log.loseAnswerEvery.Store(3)
		lossy := s.submitFor(4 * time.Second)
		s.log.loseAnswerEvery.Store(0)
		settle(3 * time.Second)
		// A batch whose answer is lost is confirmed by that of the next one, or by its own repetition.
		if took := longestAcceptance(t, lossy); took > 2*slowAnswer+commitRetryPause+lateAppendInterval+commitInterval {
			t.Errorf("accepted within %v by a store that answers within %v", took, slowAnswer)
		}
		s.end()
	})
}
