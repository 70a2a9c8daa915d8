package intake

// Limits are the limits of a process that serves callers, other members, and the platform's readiness check and
// metrics.
type Limits struct {
	// CallerMemory, in bytes, is for requests at all interfaces but the one between members. MemberMemory is for that
	// one, so that callers do not hold up members.
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
	// outgoingDivisor gives the part of the other descriptors that stays free for connections to workers, members and
	// the store.
	outgoingDivisor = 2
	// memoryDivisor gives the part of the memory for requests of each kind of client. It may be exceeded by half; see
	// freedDivisor. The heap may grow to 0.6 of the memory, and the controller's state takes up most of that.
	memoryDivisor = 12
	// connectionDivisor gives the part of the memory for connections.
	connectionDivisor = 4
	// connectionBytes is what a connection takes up: 16 KB of buffers and stacks, and twice ReceiveBuffer in the
	// kernel, which counts the overhead of packets.
	connectionBytes = 16<<10 + 2*ReceiveBuffer
	// memberDivisor and plainDivisor give the parts of the connections for members, and for each of the readiness check
	// and metrics. Callers have the others. A controller has a connection of every member, also on the smallest machine.
	memberDivisor = 4
	plainDivisor  = 16
)

// Receive buffers of connections, in bytes. They bound what has arrived and was not read. Members have larger ones,
// since their messages are larger and their links may cross regions.
const (
	ReceiveBuffer       = 16 << 10
	MemberReceiveBuffer = 64 << 10
)

// SendBuffer is the size of connections' send buffers, in bytes, but for those between members. It bounds the answers
// that a client does not take. An ordinary answer takes up a few hundred bytes.
const SendBuffer = 16 << 10

// PlanLimits derives the limits from the memory and the file descriptors of the process; zero if they are not known.
func PlanLimits(memoryMB int64, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory := memoryMB << 20
	connections := min(int(memory/connectionDivisor/connectionBytes), (descriptors-reservedDescriptors)/outgoingDivisor)
	plain := max(connections/plainDivisor, 1)
	members := max(connections/memberDivisor, 1)
	return Limits{
		CallerMemory: memory / memoryDivisor,
		MemberMemory: memory / memoryDivisor,
		Members:      members,
		Readiness:    plain,
		Metrics:      plain,
		Callers:      max(connections-members-2*plain, 1),
	}
}
