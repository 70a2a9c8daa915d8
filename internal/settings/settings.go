// Package settings reads the TOML settings of an entry. A file is checked as a
// whole: every unknown key, bad value, missing part and broken relation between
// values is reported at once, with its file and line.
package settings

import (
	"os"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// Entry is everything that an entry is told when it starts.
type Entry struct {
	// Identity says who the entry is and where it stands.
	Identity Identity
	// Listen holds the addresses of the entry's interfaces.
	Listen Listen
	// Platform holds the addresses of the platform's services.
	Platform Platform
	// Auth holds the shared keys.
	Auth Auth
	// Regions names the regions of the cell.
	Regions Regions
	// Limits bounds queues, bodies and connections.
	Limits Limits
	// Timing holds periods, leases and bounds.
	Timing Timing
	// Packing says how sizes of tasks are chosen.
	Packing Packing
	// WorkerFencing says that the platform's workers refuse an older epoch.
	WorkerFencing bool
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// EventsFile is the path of the event log; empty for none.
	EventsFile string
}

// Identity is the [entry] table.
type Identity struct {
	// IDPrefix begins the member ID, which is new at every start.
	IDPrefix string
	Region   string
	// Domain is the failure domain.
	Domain string
}

// Listen is the [listen] table; every address is host:port.
type Listen struct {
	Caller   string
	Operator string
	Peer     string
	Metrics  string
	// AdvertisePeer is the peer address that other entries dial.
	AdvertisePeer string
	// AdvertiseCrossRegion is the peer address that entries of other regions dial, empty
	// if it is AdvertisePeer.
	AdvertiseCrossRegion string
}

// Platform is the [platform] table.
type Platform struct {
	// LogURL is the base URL of the log service.
	LogURL string
	// ListURL is the base URL of the instance list.
	ListURL string
}

// Auth is the [auth] table. The first key of a list is sent, all are accepted.
type Auth struct {
	PeerKeys     httpx.Keys
	OperatorKeys httpx.Keys
	PlatformKeys httpx.Keys
	// Insecure allows empty lists, which turn authentication off.
	Insecure bool
}

// Regions is the [regions] table.
type Regions struct {
	Names []string
	// StoreRegion is the region that holds the log service.
	StoreRegion string
	// LinkBytesPerSecond is what all entries of a region together may send to
	// the other regions.
	LinkBytesPerSecond int64
}

// Limits is the [limits] table.
type Limits struct {
	// RequestQueue and TaskQueue are numbers of waiting requests and tasks.
	RequestQueue int
	TaskQueue    int
	// RequestBytes, AnswerBytes and JobBytes bound bodies.
	RequestBytes int64
	AnswerBytes  int64
	JobBytes     int64
	// The number of connections that are open at a time on each interface.
	CallerConnections   int
	OperatorConnections int
	PeerConnections     int
}

// Packing is the [packing] table.
type Packing struct {
	// LearnUsage grants tasks what tasks of their class and declared size were seen to
	// use; otherwise they are granted what was declared.
	LearnUsage bool
}

// Timing is the [timing] table.
type Timing struct {
	// Heartbeat is the period of messages between the members of a group.
	Heartbeat time.Duration
	// Renew is the period of lease renewals at each worker.
	Renew time.Duration
	// Lease is how long a task runs after the last renewal its worker received.
	Lease time.Duration
	// Authority is how long an owner may grant work after its last proof.
	Authority time.Duration
	// ClockMargin covers the difference in rate of two monotonic clocks.
	ClockMargin time.Duration
	// AppendLinger is how long an append waits for others to share its record.
	AppendLinger time.Duration
	// Snapshot is the period at which each stream's table is appended as a whole.
	// It must be well below the log's retention time.
	Snapshot time.Duration
	// LeavingBound is when an endpoint declared as leaving gets no new work.
	LeavingBound time.Duration
	// Drain bounds a graceful shutdown of the entry.
	Drain time.Duration
}

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Default returns the settings of a file that states nothing optional.
func Default() Entry {
	return Entry{
		Identity: Identity{IDPrefix: "entry"},
		Regions:  Regions{LinkBytesPerSecond: 1_875_000},
		Limits: Limits{
			RequestQueue:        2048,
			TaskQueue:           200_000,
			RequestBytes:        structs.MaxRequestBytes,
			AnswerBytes:         structs.MaxAnswerBytes,
			JobBytes:            64 << 10,
			CallerConnections:   4096,
			OperatorConnections: 64,
			PeerConnections:     256,
		},
		Timing: Timing{
			Heartbeat:    500 * time.Millisecond,
			Renew:        time.Second,
			Lease:        6 * time.Second,
			Authority:    3 * time.Second,
			ClockMargin:  300 * time.Millisecond,
			AppendLinger: 20 * time.Millisecond,
			Snapshot:     5 * time.Minute,
			LeavingBound: 5 * time.Second,
			Drain:        20 * time.Second,
		},
		Packing:       Packing{LearnUsage: true},
		WorkerFencing: true,
		LogLevel:      "info",
	}
}

// Load reads and checks the file at path. A file that can't be used gives a
// *Problems that lists everything wrong with it.
func Load(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Problems{List: []Problem{{File: path, Message: err.Error()}}}
	}
	return Parse(path, data)
}

// Parse checks the content of a file; name is used in problems only.
func Parse(name string, data []byte) (*Entry, error) {
	problems := &Problems{}
	if len(data) > maxFileBytes {
		problems.add(name, 0, "", "more than %d bytes", maxFileBytes)
		return nil, problems
	}
	doc := readDocument(name, data, problems)
	if doc == nil {
		return nil, problems
	}
	entry := Default()
	assign(doc, fields(&entry), problems)
	if entry.Listen.AdvertisePeer == "" {
		entry.Listen.AdvertisePeer = entry.Listen.Peer
	}
	check(&entry, doc, problems)
	if len(problems.List) > 0 {
		problems.sort()
		return nil, problems
	}
	return &entry, nil
}
