package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// StepReport is what became of one scripted step.
type StepReport struct {
	AtMs        float64 `json:"at_ms"`
	Description string  `json:"what"`
	Result      string  `json:"result"`
}

// stepTimeout bounds one step.
const stepTimeout = 30 * time.Second

func (r *runner) startSteps(ctx context.Context) {
	for _, f := range r.experiment.faultSteps() {
		r.open.Go(func() {
			r.step(ctx, f.At, fmt.Sprintf("POST %s %s", f.URL, f.Body), func(ctx context.Context) (string, error) {
				return r.inject(ctx, f)
			})
		})
	}
	for _, c := range r.experiment.Cancels {
		r.open.Go(func() {
			r.step(ctx, c.At, fmt.Sprintf("cancel class %q team %q", c.Class, c.Team), func(ctx context.Context) (string, error) {
				return r.cancel(ctx, c)
			})
		})
	}
}

func (r *runner) step(ctx context.Context, at structs.Duration, what string, do func(context.Context) (string, error)) {
	if !r.sleepUntil(ctx, at.AsDuration()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	report := StepReport{AtMs: millis(time.Since(r.start)), Description: what}
	out, err := do(ctx)
	report.Result = out
	if err != nil {
		report.Result = err.Error()
	}
	r.options.Logger.Info("step", "what", what, "result", report.Result)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, report)
}

func (r *runner) inject(ctx context.Context, f FaultStep) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.URL, bytes.NewReader([]byte(f.Body)))
	if err != nil {
		return "", structs.NewError(structs.CodeInvalid, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	r.options.AdminKeys.Sign(req.Header)
	r.options.Events.Record(event.Event{Type: event.FaultInjected, Detail: f.URL + " " + f.Body})
	resp, err := r.http.Do(req)
	if err != nil {
		return "", httpx.TransportError(err)
	}
	defer resp.Body.Close()
	body, err := httpx.ReadLimited(resp.Body, httpx.MaxJSONBytes)
	if err != nil {
		return "", httpx.TransportError(err)
	}
	if resp.StatusCode/100 != 2 {
		return "", httpx.DecodeError(resp.StatusCode, body)
	}
	return resp.Status, nil
}

func (r *runner) cancel(ctx context.Context, c CancelStep) (string, error) {
	id := fmt.Sprintf("%s-cancel-%s-%s-%d", r.id, c.Class, c.Team, c.At.AsDuration().Milliseconds())
	var err error
	for _, target := range r.targets {
		began := time.Now()
		var n int
		n, err = target.CancelJobs(ctx, c.filter(), id)
		if err == nil {
			return fmt.Sprintf("%d jobs in %.1f ms", n, millis(time.Since(began))), nil
		}
		if !otherEntry(err) {
			break
		}
	}
	return "", err
}
