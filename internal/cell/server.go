package cell

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/cell/cellv1/cellv1connect"
	"dotterelhitch/internal/peer"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// peerServer serves the other members.
type peerServer struct{ n *Node }

func newPeerServer(n *Node) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(cellv1connect.NewCellServiceHandler(
		&peerServer{n: n},
		connect.WithReadMaxBytes(peer.MaxMessageBytes),
	))
	return peer.NewHTTP2Server(n.opts.Clock.Middleware(mux))
}

// Hello implements the service.
func (s *peerServer) Hello(_ context.Context, req *cellv1.HelloRequest) (*cellv1.HelloResponse, error) {
	n := s.n
	now := time.Now()
	from := fromMember(req.From)
	if from.Node != "" && from.Node != n.self.Node {
		n.view.met(from, req.Slow, now)
	}
	newest, _, _ := n.view.leader()
	resp := &cellv1.HelloResponse{From: toMember(n.present()), Epoch: newest.Epoch, LeaderHeardMs: -1}
	if since, heard := n.view.sinceHeard(now); heard {
		resp.LeaderHeardMs = since.Milliseconds()
	}
	if cfg := n.config.Load(); cfg != nil && cfg.Version > req.ConfigVersion {
		resp.Config = cfg.raw
	}
	if l := n.lead.Load(); l != nil {
		l.answerHello(resp, from, req.Epoch, now)
	}
	return resp, nil
}

// Submit implements the service.
func (s *peerServer) Submit(ctx context.Context, req *cellv1.SubmitRequest) (*cellv1.SubmitResponse, error) {
	l := s.n.lead.Load()
	if l == nil {
		return &cellv1.SubmitResponse{Error: toError(errNotLeading())}, nil
	}
	job := &workload.Job{}
	if err := json.Unmarshal(req.Job, job); err != nil {
		return &cellv1.SubmitResponse{Error: toError(structs.NewError(structs.CodeInvalid, "job: %v", err))}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	return &cellv1.SubmitResponse{Error: toError(l.submit(ctx, job))}, nil
}

// Cancel implements the service.
func (s *peerServer) Cancel(ctx context.Context, req *cellv1.CancelRequest) (*cellv1.CancelResponse, error) {
	l := s.n.lead.Load()
	if l == nil {
		return &cellv1.CancelResponse{Error: toError(errNotLeading())}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	return &cellv1.CancelResponse{Error: toError(l.cancel(ctx, req.Id))}, nil
}

// JobState implements the service.
func (s *peerServer) JobState(ctx context.Context, req *cellv1.JobStateRequest) (*cellv1.JobStateResponse, error) {
	l := s.n.lead.Load()
	if l == nil {
		return &cellv1.JobStateResponse{Error: toError(errNotLeading())}, nil
	}
	state, err := l.state(ctx, req.Id)
	return &cellv1.JobStateResponse{State: string(state), Error: toError(err)}, nil
}

// Advise implements the service.
func (s *peerServer) Advise(ctx context.Context, req *cellv1.AdviseRequest) (*cellv1.AdviseResponse, error) {
	step := workload.StepID{Job: req.Job, Occurrence: int(req.Occurrence), Step: int(req.Step)}
	good, validity, err := s.n.advise(ctx, step, req.Workers)
	resp := &cellv1.AdviseResponse{ValidityMs: validity.Milliseconds(), Error: toError(err)}
	for _, g := range good {
		resp.Good = append(resp.Good, &cellv1.Ticket{Worker: g.Worker, Ticket: g.Ticket})
	}
	return resp, nil
}

// advise asks the placement advisor from this machine.
func (n *Node) advise(ctx context.Context, step workload.StepID, workers []string) ([]workload.Ticket, time.Duration, error) {
	if n.opts.Advisor == nil {
		return nil, 0, structs.NewError(structs.CodeUnavailable, "no placement advisor")
	}
	return n.opts.Advisor.RequestTickets(ctx, step, workers)
}

// direct returns the log for calls of other members, which are not relayed on.
func (s *peerServer) direct() (Log, error) {
	if s.n.log.bad() {
		return nil, structs.NewError(structs.CodeUnavailable, "this member does not reach the store either")
	}
	return s.n.log.direct, nil
}

// Append implements the service.
func (s *peerServer) Append(ctx context.Context, req *cellv1.AppendRequest) (*cellv1.AppendResponse, error) {
	log, err := s.direct()
	if err != nil {
		return &cellv1.AppendResponse{Error: toError(err)}, nil
	}
	a := stream.Append{Topic: req.Topic, Records: fromRecords(req.Records), ExpectedEnd: req.AsOf}
	if req.Producer != "" {
		a.Producer = &stream.Producer{Name: req.Producer, Epoch: req.Epoch, Sequence: req.Sequence}
	}
	got, err := log.Append(ctx, a)
	s.n.log.note(ctx, err)
	return &cellv1.AppendResponse{Offset: got.Offset, End: got.End, Error: toError(err)}, nil
}

// Read implements the service.
func (s *peerServer) Read(ctx context.Context, req *cellv1.ReadRequest) (*cellv1.ReadResponse, error) {
	log, err := s.direct()
	if err != nil {
		return &cellv1.ReadResponse{Error: toError(err)}, nil
	}
	batch, err := log.Read(ctx, req.Topic, req.From, time.Duration(req.WaitMs)*time.Millisecond)
	s.n.log.note(ctx, err)
	return &cellv1.ReadResponse{
		Records: toRecords(batch.Records),
		Next:    batch.Next,
		End:     batch.End,
		First:   batch.First,
		Error:   toError(err),
	}, nil
}

// Newest implements the service.
func (s *peerServer) Newest(ctx context.Context, req *cellv1.NewestRequest) (*cellv1.NewestResponse, error) {
	log, err := s.direct()
	if err != nil {
		return &cellv1.NewestResponse{Error: toError(err)}, nil
	}
	page, err := log.Newest(ctx, req.Topic, req.After)
	s.n.log.note(ctx, err)
	return &cellv1.NewestResponse{
		Records: toRecords(page.Records),
		More:    page.HasMore,
		End:     page.End,
		Error:   toError(err),
	}, nil
}

// errNotLeading is what a member answers that is not the controller: nothing was done.
func errNotLeading() error {
	return structs.NewError(structs.CodeNotOwner, "this member is not the controller")
}
