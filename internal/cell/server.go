package cell

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/cell/cellv1/cellv1connect"
	"dotterelhitch/internal/clock"
	"dotterelhitch/internal/peer"
	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
	"dotterelhitch/internal/workload"
)

// peerServer implements the service that the other members call.
type peerServer struct{ node *Node }

func newPeerServer(n *Node) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(cellv1connect.NewCellServiceHandler(
		&peerServer{node: n},
		connect.WithReadMaxBytes(peer.MaxMessageBytes),
		connect.WithCompressMinBytes(peer.CompressMinBytes),
	))
	server := peer.NewHTTP2Server(n.opts.Clock.Middleware(mux))
	if n.opts.ProtectServer != nil {
		n.opts.ProtectServer(server)
	}
	return server
}

// Hello answers a heartbeat or a probe of another member.
func (s *peerServer) Hello(_ context.Context, req *cellv1.HelloRequest) (*cellv1.HelloResponse, error) {
	n := s.node
	now := clock.Now()
	from := memberFromProto(req.From)
	if from.Node != "" && from.Node != n.self.Node {
		n.view.recordMember(from, req.Slow, now)
	}
	newest, _, _ := n.view.latestClaim()
	resp := &cellv1.HelloResponse{From: memberToProto(n.describeSelf()), Epoch: newest.Epoch, LeaderHeardMs: -1}
	if since, heard := n.view.sinceLeaderHeard(now); heard {
		resp.LeaderHeardMs = since.Milliseconds()
	}
	resp.TimeMs = n.clock.now().UnixMilli()
	n.fillConfig(resp, req.ConfigVersion, now)
	n.fetchConfig(configRef{req.ConfigVersion, from.Addr})
	if l := n.term.Load(); l != nil {
		l.fillHelloResponse(resp, req, from, now)
	}
	return resp, nil
}

// Submit submits a job that another member forwards.
func (s *peerServer) Submit(ctx context.Context, req *cellv1.SubmitRequest) (*cellv1.SubmitResponse, error) {
	l := s.node.term.Load()
	if l == nil {
		return &cellv1.SubmitResponse{Error: errorToProto(errNotController())}, nil
	}
	job := &workload.Job{}
	if err := json.Unmarshal(req.Job, job); err != nil {
		return &cellv1.SubmitResponse{Error: errorToProto(structs.NewError(structs.CodeInvalid, "job: %v", err))}, nil
	}
	if err := job.Validate(); err != nil {
		return &cellv1.SubmitResponse{Error: errorToProto(err)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	ref := configRef{req.ConfigVersion, req.ConfigAddr}
	return &cellv1.SubmitResponse{Error: errorToProto(l.submit(ctx, job, ref))}, nil
}

// Cancel cancels a job on behalf of another member.
func (s *peerServer) Cancel(ctx context.Context, req *cellv1.CancelRequest) (*cellv1.CancelResponse, error) {
	l := s.node.term.Load()
	if l == nil {
		return &cellv1.CancelResponse{Error: errorToProto(errNotController())}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.DeadlineMs)*time.Millisecond)
	defer cancel()
	return &cellv1.CancelResponse{Error: errorToProto(l.cancel(ctx, req.Id))}, nil
}

// JobState returns the state of a job to another member.
func (s *peerServer) JobState(ctx context.Context, req *cellv1.JobStateRequest) (*cellv1.JobStateResponse, error) {
	l := s.node.term.Load()
	if l == nil {
		return &cellv1.JobStateResponse{Error: errorToProto(errNotController())}, nil
	}
	state, err := l.state(ctx, req.Id)
	return &cellv1.JobStateResponse{State: string(state), Error: errorToProto(err)}, nil
}

// Advise calls the placement advisor on behalf of the controller.
func (s *peerServer) Advise(ctx context.Context, req *cellv1.AdviseRequest) (*cellv1.AdviseResponse, error) {
	step := workload.StepID{Job: req.Job, Occurrence: int(req.Occurrence), Step: int(req.Step)}
	tickets, validity, err := s.node.advise(ctx, step, req.Workers)
	resp := &cellv1.AdviseResponse{ValidityMs: validity.Milliseconds(), Error: errorToProto(err)}
	for _, g := range tickets {
		resp.Good = append(resp.Good, &cellv1.Ticket{Worker: g.Worker, Ticket: g.Ticket})
	}
	return resp, nil
}

// advise calls the placement advisor from this machine.
func (n *Node) advise(ctx context.Context, step workload.StepID, workers []string) ([]workload.Ticket, time.Duration, error) {
	if n.opts.Advisor == nil {
		return nil, 0, structs.NewError(structs.CodeUnavailable, "no placement advisor")
	}
	return n.opts.Advisor.RequestTickets(ctx, step, workers)
}

// directLog returns the log for the calls that this member relays for others. These calls are
// made directly only, never relayed again.
func (s *peerServer) directLog() (Log, error) {
	if s.node.log.directFailing() {
		return nil, structs.NewError(structs.CodeUnavailable, "this member does not reach the store either")
	}
	return s.node.log.direct, nil
}

// Append relays an append to the log.
func (s *peerServer) Append(ctx context.Context, req *cellv1.AppendRequest) (*cellv1.AppendResponse, error) {
	log, err := s.directLog()
	if err != nil {
		return &cellv1.AppendResponse{Error: errorToProto(err)}, nil
	}
	a := stream.Append{Topic: req.Topic, Records: recordsFromProto(req.Records), ExpectedEnd: req.AsOf}
	if req.Producer != "" {
		a.Producer = &stream.Producer{Name: req.Producer, Epoch: req.Epoch, Sequence: req.Sequence}
	}
	got, err := log.Append(ctx, a)
	s.node.log.recordResult(ctx, err)
	return &cellv1.AppendResponse{Offset: got.Offset, End: got.End, Error: errorToProto(err)}, nil
}

// Read relays a read of the log.
func (s *peerServer) Read(ctx context.Context, req *cellv1.ReadRequest) (*cellv1.ReadResponse, error) {
	log, err := s.directLog()
	if err != nil {
		return &cellv1.ReadResponse{Error: errorToProto(err)}, nil
	}
	batch, err := log.Read(ctx, req.Topic, req.From, time.Duration(req.WaitMs)*time.Millisecond)
	s.node.log.recordResult(ctx, err)
	return &cellv1.ReadResponse{
		Records: recordsToProto(batch.Records),
		Next:    batch.Next,
		End:     batch.End,
		First:   batch.First,
		Error:   errorToProto(err),
	}, nil
}

// Newest relays a read of the newest records by key.
func (s *peerServer) Newest(ctx context.Context, req *cellv1.NewestRequest) (*cellv1.NewestResponse, error) {
	log, err := s.directLog()
	if err != nil {
		return &cellv1.NewestResponse{Error: errorToProto(err)}, nil
	}
	page, err := log.Newest(ctx, req.Topic, req.After)
	s.node.log.recordResult(ctx, err)
	return &cellv1.NewestResponse{
		Records: recordsToProto(page.Records),
		More:    page.HasMore,
		End:     page.End,
		Error:   errorToProto(err),
	}, nil
}

// errNotController returns the error with which a member that is not the controller refuses a
// call. The call had no effect.
func errNotController() error {
	return structs.NewError(structs.CodeNotOwner, "this member is not the controller")
}
