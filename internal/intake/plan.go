package intake

// Limits are the limits of a process that serves callers, other members, and the platform's readiness check and
// metrics.
type Limits struct {
	// CallerMemory is for requests at all interfaces but the one between members, MemberMemory for those at that, so
	// that callers do not hold up members. In bytes.
	CallerMemory, MemberMemory int64
	// Numbers of connections of each interface.
	Callers, Members, Readiness, Metrics int
}

const (
	// Limits of a machine whose settings do not state them.
	defaultMemoryMB    = 512
	defaultDescriptors = 4096
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// outgoingShare is the share of the other descriptors, one in so many, that stays free for connections to
	// workers, members and the store.
	outgoingShare = 2
	// memoryShare is the part of the memory, one in so many, for requests of each kind of client; it may be exceeded by
	// half, see freedShare. The heap may grow to 0.6 of the memory, and the controller's state takes up most of that.
	memoryShare = 12
	// connectionShare is the part of the memory, one in so many, for connections.
	connectionShare = 4
	// connectionBytes is what a connection takes up: 16 KB of buffers and stacks, and twice ReceiveBuffer in the
	// kernel, which counts the overhead of packets.
	connectionBytes = 16<<10 + 2*ReceiveBuffer
	// memberShare and plainShare are the parts of the connections, one in so many, for members, and for each of
	// readiness check and metrics. Callers have the others.
	memberShare = 8
	plainShare  = 16
)

// Receive buffers of connections, in bytes: they bound what has arrived and was not read. Messages of members are
// larger, and links between regions longer.
const (
	ReceiveBuffer       = 16 << 10
	MemberReceiveBuffer = 64 << 10
)

// PlanLimits derives the limits from the memory and the file descriptors of the process; zero if they are not known.
func PlanLimits(memoryMB int64, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory := memoryMB << 20
	connections := min(int(memory/connectionShare/connectionBytes), (descriptors-reservedDescriptors)/outgoingShare)
	plain := max(connections/plainShare, 1)
	members := max(connections/memberShare, 1)
	return Limits{
		CallerMemory: memory / memoryShare,
		MemberMemory: memory / memoryShare,
		Members:      members,
		Readiness:    plain,
		Metrics:      plain,
		Callers:      max(connections-members-2*plain, 1),
	}
}
