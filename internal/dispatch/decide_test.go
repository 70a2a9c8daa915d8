package dispatch

import (
	"testing"
	"time"

	"dotterelhitch/internal/structs"
)

func TestRetry(t *testing.T) {
	failed := func(o structs.Outcome, code structs.Code, unsent bool) Result {
		return Result{Outcome: o, Err: structs.AsError(structs.NewError(code, "x")), Unsent: unsent}
	}
	answered := Result{Outcome: structs.OutcomeAnswered}
	inDoubt := failed(structs.OutcomeUnknown, structs.CodeDeadline, false)
	refused := failed(structs.OutcomeNotRun, structs.CodeOverload, false)
	unsent := failed(structs.OutcomeNotRun, structs.CodeUnavailable, true)
	invalid := failed(structs.OutcomeNotRun, structs.CodeInvalid, false)
	const long = time.Second
	for name, c := range map[string]struct {
		idempotent bool
		attempts   []Result
		left       time.Duration
		budget     bool
		retry      bool
		outcome    structs.Outcome
	}{
		"answered":                       {true, []Result{answered}, long, true, false, structs.OutcomeAnswered},
		"idempotent in doubt":            {true, []Result{inDoubt}, long, true, true, structs.OutcomeUnknown},
		"idempotent, no budget":          {true, []Result{inDoubt}, long, false, false, structs.OutcomeUnknown},
		"idempotent, no time":            {true, []Result{inDoubt}, minAttempt - 1, true, false, structs.OutcomeUnknown},
		"not idempotent in doubt":        {false, []Result{inDoubt}, long, true, false, structs.OutcomeUnknown},
		"not idempotent, refused":        {false, []Result{refused}, long, true, true, structs.OutcomeNotRun},
		"refused, no budget":             {false, []Result{refused}, long, false, false, structs.OutcomeNotRun},
		"unsent needs no budget":         {false, []Result{unsent}, long, false, true, structs.OutcomeNotRun},
		"refused for good":               {true, []Result{invalid}, long, true, false, structs.OutcomeNotRun},
		"in doubt, then refused":         {true, []Result{inDoubt, refused}, long, true, true, structs.OutcomeUnknown},
		"in doubt, then refused at last": {true, []Result{inDoubt, invalid}, long, true, false, structs.OutcomeUnknown},
		"in doubt, then answered":        {true, []Result{inDoubt, answered}, long, true, false, structs.OutcomeAnswered},
	} {
		h := &History{Idempotent: c.idempotent, RetryUnknown: true}
		for _, r := range c.attempts {
			h.Add(r)
		}
		if got := h.MayRetry(c.left, func() bool { return c.budget }); got != c.retry {
			t.Errorf("%s: retry %v, want %v", name, got, c.retry)
		}
		if got := h.Outcome().Outcome; got != c.outcome {
			t.Errorf("%s: outcome %s, want %s", name, got, c.outcome)
		}
	}
}

func TestHedgeAfter(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct{ usual, slack, left, want time.Duration }{
		{10 * ms, 1000 * ms, 2000 * ms, minHedge},
		{40 * ms, 1000 * ms, 2000 * ms, 120 * ms},
		{400 * ms, 1000 * ms, 2000 * ms, 500 * ms},
		{400 * ms, -1, 600 * ms, 400 * ms},
		{400 * ms, 600 * ms, 2000 * ms, 400 * ms},
		{0, 1000 * ms, 2000 * ms, 500 * ms},
	} {
		if got := hedgeAfter(c.usual, c.slack, c.left); got != c.want {
			t.Errorf("usual %v, slack %v, left %v: %v, want %v", c.usual, c.slack, c.left, got, c.want)
		}
	}
}

func TestChoose(t *testing.T) {
	free := func(name string, near bool, free int) Load {
		return Load{Member: name, SameRegion: near, FreeSlots: free, TotalSlots: 8, ServiceTime: 80 * time.Millisecond, RoundTrip: 2 * time.Millisecond}
	}
	busySelf := Load{TotalSlots: 8, Queued: 10, ServiceTime: 80 * time.Millisecond}
	first := func(int) int { return 0 }
	for name, c := range map[string]struct {
		self    Load
		peers   []Load
		exclude []string
		far     bool
		want    string
		wantFar bool
	}{
		"no peers":               {busySelf, nil, nil, true, "", false},
		"near with room":         {busySelf, []Load{free("a", true, 3)}, nil, true, "a", false},
		"less loaded of two":     {busySelf, []Load{free("a", true, -9), free("b", true, 2)}, nil, true, "b", false},
		"excluded":               {busySelf, []Load{free("a", true, 3)}, []string{"a"}, true, "", false},
		"near wins over far":     {busySelf, []Load{free("a", true, 1), free("b", false, 8)}, nil, true, "a", false},
		"far with budget":        {busySelf, []Load{free("a", true, -20), free("b", false, 8)}, nil, true, "b", true},
		"far without budget":     {busySelf, []Load{free("a", true, -20), free("b", false, 8)}, nil, false, "", false},
		"far not faster":         {busySelf, []Load{free("b", false, -30)}, nil, true, "", false},
		"no own workers":         {Load{}, []Load{free("a", true, -99)}, nil, true, "a", false},
		"peers without any slot": {busySelf, []Load{{Member: "a", SameRegion: true}}, nil, true, "", false},
	} {
		got := choose(c.self, c.peers, c.exclude, first, func() bool { return c.far })
		if got.Peer.Member != c.want || got.OtherRegion != c.wantFar {
			t.Errorf("%s: got %q far=%v, want %q far=%v", name, got.Peer.Member, got.OtherRegion, c.want, c.wantFar)
		}
	}
}
