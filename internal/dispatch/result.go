package dispatch

import "dotterelhitch/internal/structs"

// answer returns the result as an answer to the caller. Only an answered request has a
// body.
func (r Result) answer() structs.Answer {
	a := structs.Answer{Outcome: r.Outcome, Worker: r.Worker, Err: r.Err}
	if r.Outcome == structs.OutcomeAnswered {
		a.Body = r.Body
	}
	return a
}

func notRun(err error) Result {
	return Result{Outcome: structs.OutcomeNotRun, Err: structs.AsError(err), Unsent: true}
}

func unknown(err error) Result {
	return Result{Outcome: structs.OutcomeUnknown, Err: structs.AsError(err)}
}

func notRunAnswer(err error) structs.Answer { return notRun(err).answer() }

func unknownAnswer(err error) structs.Answer { return unknown(err).answer() }

func codeOf(e *structs.Error) structs.Code {
	if e == nil {
		return ""
	}
	return e.Code
}
