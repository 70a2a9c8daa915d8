package agent

import (
	"math"
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/controller"
	"dotterelhitch/internal/workload"
)

func runToProto(r workload.Run) *cellv1.Run {
	return &cellv1.Run{
		Job:        r.Task.Job,
		Occurrence: int32(r.Task.Occurrence),
		Step:       int32(r.Task.Step),
		Index:      int32(r.Task.Index),
		Number:     r.Number,
	}
}

func runFromProto(r *cellv1.Run) workload.Run {
	step := workload.StepID{Job: r.GetJob(), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep())}
	return workload.Run{Task: workload.TaskID{StepID: step, Index: int(r.GetIndex())}, Number: r.GetNumber()}
}

func pollFromProto(o *cellv1.Order) *controller.Poll {
	return &controller.Poll{
		Worker:          o.Worker,
		Addr:            o.Addr,
		LeaseDeadlineMs: o.Poll.LeaseDeadlineMs,
		AckedSeq:        o.Poll.AckedSeq,
		Wait:            time.Duration(o.Poll.WaitMs) * time.Millisecond,
	}
}

func startFromProto(o *cellv1.Order, payload string) *controller.Start {
	return &controller.Start{
		Worker:          o.Worker,
		Addr:            o.Addr,
		Run:             runFromProto(o.Start.Run),
		Payload:         payload,
		LeaseDeadlineMs: o.Start.LeaseDeadlineMs,
		Checkpoint:      o.Start.Checkpoint,
		Ticket:          o.Start.Ticket,
	}
}

func stopFromProto(o *cellv1.Order) *controller.Stop {
	return &controller.Stop{Worker: o.Worker, Addr: o.Addr, Run: runFromProto(o.Stop.Run)}
}

func resultToProto(id uint64, r Result) *cellv1.OrderResult {
	out := &cellv1.OrderResult{Id: id, Code: uint32(r.Code), WorkerClockMs: r.ClockMs}
	if r.Poll == nil {
		return out
	}
	out.WorkerClockMs = r.Poll.ClockMs
	out.Poll = &cellv1.PollResult{BootMs: r.Poll.BootMs}
	for i := range r.Poll.Running {
		t := &r.Poll.Running[i]
		out.Poll.Running = append(out.Poll.Running, &cellv1.RunningTask{
			Run:        runToProto(t.Run),
			Checkpoint: t.Checkpoint,
			Percent:    int32(t.Percent),
			Usage:      t.Usage,
		})
	}
	for i := range r.Poll.Ended {
		t := &r.Poll.Ended[i]
		out.Poll.Ended = append(out.Poll.Ended, &cellv1.EndedTask{
			Seq:        t.Seq,
			Run:        runToProto(t.Run),
			Reason:     string(t.Reason),
			Checkpoint: t.Checkpoint,
		})
	}
	return out
}

// resultFromProto converts a result. A result that this version does not know counts as no
// response: the order may have been carried out.
func resultFromProto(r *cellv1.OrderResult) Result {
	code := r.GetCode()
	if code > math.MaxUint8 || !controller.OrderResult(code).Known() {
		return Result{Code: controller.NoResponse}
	}
	out := Result{Code: controller.OrderResult(code), ClockMs: r.GetWorkerClockMs()}
	if r.GetPoll() == nil {
		return out
	}
	out.Poll = &workload.PollResult{BootMs: r.Poll.BootMs, ClockMs: r.WorkerClockMs}
	for _, t := range r.Poll.Running {
		out.Poll.Running = append(out.Poll.Running, workload.RunningTask{
			Run:        runFromProto(t.GetRun()),
			Checkpoint: t.GetCheckpoint(),
			Percent:    int(t.GetPercent()),
			Usage:      t.GetUsage(),
		})
	}
	for _, t := range r.Poll.Ended {
		out.Poll.Ended = append(out.Poll.Ended, workload.EndedTask{
			Seq:        t.GetSeq(),
			Run:        runFromProto(t.GetRun()),
			Reason:     workload.EndReason(t.GetReason()),
			Checkpoint: t.GetCheckpoint(),
		})
	}
	return out
}
