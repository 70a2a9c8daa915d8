package structs

// WorkerState is what the platform's list says of an instance.
type WorkerState string

const (
	// WorkerLive is an instance in service.
	WorkerLive WorkerState = "live"
	// WorkerLeaving is an instance that the platform is about to remove.
	WorkerLeaving WorkerState = "leaving"
	// WorkerRemoved is an instance that the platform has removed: it runs nothing.
	WorkerRemoved WorkerState = "gone"
)

// Worker is an instance that runs tasks and serves one endpoint, as the
// platform's instance list describes it.
type Worker struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	// Region, Domain (failure domain) and Rack say where the instance stands.
	Region string `json:"region"`
	Domain string `json:"domain"`
	Rack   string `json:"rack"`
	// Size is what the instance has in all.
	Size Resources `json:"size"`
	// Slots is the number of requests that the endpoint runs at a time.
	Slots int `json:"slots"`
	// Connections is the number of open connections that the endpoint accepts.
	Connections int         `json:"connections"`
	State       WorkerState `json:"state"`
}

// Member is an entry instance that has joined the membership table.
type Member struct {
	// ID is new at every start of a process.
	ID string `json:"id"`
	// PeerAddr is the host:port of the peer interface.
	PeerAddr string `json:"peer_addr"`
	// CrossRegionAddr is the address that members of other regions dial, empty if it is
	// the same.
	CrossRegionAddr string `json:"far_addr,omitempty"`
	Region          string `json:"region"`
	Domain          string `json:"domain"`
}
