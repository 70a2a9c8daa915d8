// Package leaderlease decides how long a controller may issue orders, and when its successor may
// rely on it that it issues none any more.
//
// A controller holds its leader lease for Timing.Lease after the start of the last call that showed
// its epoch to be current. A call of the store shows that. During an outage of the store, witnesses
// show it too: members of the cell that the controller has stored as its witnesses and that follow its
// epoch, all of them but one. In no case does the lease last longer than Timing.MaxLease after the last
// call of the store.
//
// A successor has fenced the store, so that its predecessors can renew their leases through witnesses
// only. A member that follows the successor's epoch is no witness of an earlier one any more, also after
// a restart, since it learns of epochs from the store alone. Once so many of a predecessor's witnesses
// follow the successor that the others are too few for a renewal, the predecessor's lease expires within
// Timing.Lease. Until then the successor has to assume that it lasts for Timing.MaxLease.
//
// The package does no I/O; the time is an argument.
package leaderlease
