package entry

import (
	"context"
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/fleet"
	"dotterelhitch/internal/keyhome"
	"dotterelhitch/internal/orchestrator"
	"dotterelhitch/internal/ownership"
	"dotterelhitch/internal/peer/peerv1"
	"dotterelhitch/internal/scheduler/gang"
	"dotterelhitch/internal/state"
	"dotterelhitch/internal/structs"
)

// core is the control state of an entry. Only the control goroutine accesses it.
type core struct {
	e *Entry

	control        *state.ControlTable
	snapshotSearch *state.SnapshotRecovery
	// logGapSeen is set once the log had removed control records that this process had
	// not read.
	logGapSeen bool
	// controlTailReadAt is when the last read that reached the end of the control stream
	// began.
	controlTailReadAt time.Time
	caughtUp          bool
	// lastSnapshotAt is when the last snapshot of the control stream was read or
	// submitted, zero if there was none.
	lastSnapshotAt time.Time
	table          *ownership.Map
	// tableAppliedAt is when this process applied the present membership table.
	tableAppliedAt time.Time
	joined         bool
	draining       bool
	membership     *membershipState
	keys           *keyhome.Store
	// transfersInFlight holds the members to which a transfer of keys is in flight.
	transfersInFlight map[string]bool
	recentControl     recordCache

	// instances is the platform's list of workers; listReadAt is when its last
	// successful read began.
	instances  *instanceCatalog
	listReadAt time.Time
	// fullListNeeded makes the next read fetch the full list instead of a newer version.
	fullListNeeded bool
	// interruptListRead cancels the long poll of the instance list, so that the next
	// read starts at once.
	interruptListRead context.CancelFunc
	// entryStates holds the states of entry instances in the platform's list by instance
	// ID.
	entryStates map[string]structs.WorkerState

	fleet  *fleet.Fleet
	agents map[string]*agent

	streams        map[string]*jobStream
	jobs           *orchestrator.Orchestrator
	inventoryRound *inventoryRound
	// unreadEnds holds the gained jobs whose task ends have not been read from the log
	// since an inventory round.
	unreadEnds map[string]bool
	// callSeq numbers the placement and inventory calls of this member.
	callSeq int64
	// lastInventorySeq is the highest sequence number of an inventory call by each
	// member; placements with a lower number are refused.
	lastInventorySeq map[string]int64
	// stopRetryAt is, by job, when stops that were not confirmed are requested again.
	stopRetryAt map[string]time.Time
	// pendingEnds holds, by job, the task ends that are to be appended to the log.
	pendingEnds map[string][]state.TaskEnd
	// nextReport is when the runs on owned workers are next checked for reports that are
	// due.
	nextReport time.Time
	// nextPressureCheck is when owned workers are next checked for a shortage of
	// processor or memory.
	nextPressureCheck time.Time

	peers map[string]*peerState
	// heartbeatCount is the number of heartbeat rounds so far.
	heartbeatCount int
	// maxFullMeshMembers is the size of a cell up to which every member exchanges
	// heartbeats with every other.
	maxFullMeshMembers int
	// lastRelayedMember is the member of another group whose load this heartbeat relays
	// to the own group, and relayedLoads is that load.
	lastRelayedMember string
	relayedLoads      []*peerv1.PeerLoad
	// learntUses is the part of the learnt resource usage that this heartbeat sends.
	learntUses []*peerv1.LearntUse
	// changeWaiters holds, by change ID, the channels that receive the result of
	// applying the change.
	changeWaiters map[string][]chan state.Result

	// waitingGangSplits holds, by job, the split of a waiting gang for which members
	// reserve workers.
	waitingGangSplits map[string][]gang.OwnerShare

	quotas *quotaState

	// nextSchedule is when the next scheduling round is due; zero requests one at once.
	nextSchedule time.Time
	alarms       map[structs.Code]string
}

// peerState is what this entry knows of another member.
type peerState struct {
	digest *peerv1.Digest
	// lastHeardAt is a lower bound of when the member's last message arrived;
	// firstSeenAt is when the member appeared in the table.
	lastHeardAt time.Time
	firstSeenAt time.Time
	draining    bool
	epoch       int64
	// groupEpoch is the lowest epoch in the member's group, as the member reported it.
	groupEpoch int64
	// digestMadeAt is the estimated time at which the digest was made, whether the
	// member sent it or another member relayed it.
	digestMadeAt time.Time
	// heartbeatFailedAt is when the last heartbeat to the member failed, zero if it
	// succeeded.
	heartbeatFailedAt time.Time
	// appendFailedAt is when the member last failed to append on behalf of this entry.
	appendFailedAt time.Time
	// probationWorkers are the workers that the member has put on probation because of
	// the results of its jobs.
	probationWorkers []string
	// roundTrip is a moving average of the duration of an exchange.
	roundTrip         time.Duration
	heartbeatInFlight bool
	// sentAttestationRequest is the last one from this entry to the member,
	// receivedAttestationRequest the last one from the member.
	sentAttestationRequest     attestationRequest
	receivedAttestationRequest attestationRequest
}

func newCore(e *Entry) *core {
	t := e.timing
	c := &core{
		e:                 e,
		membership:        newMembershipState(e, time.Now()),
		control:           state.NewControlTable(),
		table:             ownership.NewMap(ownership.Table{}),
		instances:         newInstanceCatalog(),
		interruptListRead: func() {},
		unreadEnds:        map[string]bool{},
		entryStates:       map[string]structs.WorkerState{},
		fleet: fleet.New(fleet.Timing{
			Lease:               t.Lease,
			ClockMargin:         t.ClockMargin,
			UnreachableAfter:    2 * t.Renew,
			ReportRetryInterval: time.Second,
		}),
		agents:           map[string]*agent{},
		streams:          map[string]*jobStream{},
		jobs:             orchestrator.New(),
		lastInventorySeq: map[string]int64{},
		stopRetryAt:      map[string]time.Time{},
		pendingEnds:      map[string][]state.TaskEnd{},
		peers:            map[string]*peerState{},
		changeWaiters:    map[string][]chan state.Result{},
		alarms:           map[structs.Code]string{},

		maxFullMeshMembers: ownership.MaxFullMeshMembers,

		transfersInFlight: map[string]bool{},
		waitingGangSplits: map[string][]gang.OwnerShare{},
	}
	c.quotas = newQuotaState()
	c.jobs.SetQuotaLookup(c.quotaShare)
	c.fleet.SetLearning(e.settings.Packing.LearnUsage)
	c.keys = keyhome.NewStore(e.member.ID, keyhome.DefaultLimits(e.authorityConfig()), keyAuthority{c: c})
	return c
}

// tick runs the periodic work of the control goroutine.
func (c *core) tick(now time.Time) {
	c.recordAuthorityChange(now)
	c.updateLogAlarm(now)
	c.expireLeases(now)
	c.clearFormerOwnerFlags(now)
	c.syncEndpoints()
	c.appendTaskEnds()
	c.reportRuns(now)
	c.relieveOverloadedWorkers(now)
	c.startInventoryRound(now)
	c.stopUnwantedRuns(now)
	c.schedule(now)
	c.requestMissingQuota(now)
	c.failHopelessJobs()
	c.dropFinishedJobs()
	c.appendDueSnapshots(now)
}

// alarm records a condition that needs an operator's attention. A repeat with the same
// detail is ignored until clearAlarm is called.
func (c *core) alarm(code structs.Code, detail string) {
	if c.alarms[code] == detail {
		return
	}
	c.alarms[code] = detail
	c.e.events.Record(event.Event{Type: event.Alarm, Code: code, Detail: detail})
	c.e.logger.Error("alarm", "code", string(code), "detail", detail)
}

func (c *core) clearAlarm(code structs.Code) { delete(c.alarms, code) }

// self returns this entry's member ID.
func (c *core) self() string { return c.e.member.ID }

// ownsJob reports whether the present table makes this entry the owner of a job.
func (c *core) ownsJob(id string) bool {
	owner, ok := c.table.OwnerOfJob(id)
	return ok && owner.ID == c.self()
}

// addWaiter returns a channel that receives the result of applying a change. It stays
// registered until the result arrives or removeWaiter is called.
func (c *core) addWaiter(changeID string) chan state.Result {
	ch := make(chan state.Result, 1)
	c.changeWaiters[changeID] = append(c.changeWaiters[changeID], ch)
	return ch
}

func (c *core) notifyWaiters(r state.Result) {
	for _, ch := range c.changeWaiters[r.Change.ID] {
		ch <- r
	}
	delete(c.changeWaiters, r.Change.ID)
}

func (c *core) removeWaiter(changeID string, ch chan state.Result) {
	list := c.changeWaiters[changeID]
	for i, other := range list {
		if other == ch {
			c.changeWaiters[changeID] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(c.changeWaiters[changeID]) == 0 {
		delete(c.changeWaiters, changeID)
	}
}
