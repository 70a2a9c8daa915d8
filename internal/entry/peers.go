package entry

import (
	"context"

	"dotterelhitch/internal/peer"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/structs"
)

// peerCalls are the calls that an entry makes to the owner of a worker or a job,
// which may be itself.
type peerCalls interface {
	Place(context.Context, *peerv1.PlaceRequest) (*peerv1.PlaceResponse, error)
	Commit(context.Context, *peerv1.CommitRequest) (*peerv1.CommitResponse, error)
	Stop(context.Context, *peerv1.StopRequest) (*peerv1.StopResponse, error)
	Inventory(context.Context, *peerv1.InventoryRequest) (*peerv1.InventoryResponse, error)
	Report(context.Context, *peerv1.ReportRequest) (*peerv1.ReportResponse, error)
	MoveQuota(context.Context, *peerv1.MoveQuotaRequest) (*peerv1.MoveQuotaResponse, error)
	JobStatus(context.Context, *peerv1.JobStatusRequest) (*peerv1.JobStatusResponse, error)
	Status(context.Context, *peerv1.StatusRequest) (*peerv1.StatusResponse, error)
}

// peerOf returns the calls to a member; those to this entry itself take no
// network.
func (e *Entry) peerOf(m structs.Member) peerCalls {
	if m.ID == e.member.ID {
		return &peerServer{e: e}
	}
	return e.pool.Client(m)
}

func callError(err error) error { return peer.ClassifyCallError(err) }

func fromError(err error) *peerv1.Error { return peer.ErrorToProto(err) }

func toError(e *peerv1.Error) error { return peer.ErrorFromProto(e) }

func fromResources(r structs.Resources) *peerv1.Resources { return peer.ResourcesToProto(r) }

func toResources(r *peerv1.Resources) structs.Resources { return peer.ResourcesFromProto(r) }
