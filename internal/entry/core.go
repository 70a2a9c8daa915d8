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

// core is the control state of an entry. Only the control goroutine touches it.
type core struct {
	e *Entry

	control        *state.ControlTable
	snapshotSearch *state.SnapshotRecovery
	// logGapSeen is true if records were removed before this process read them.
	logGapSeen bool
	// controlTailReadAt is when the last read of the control stream's tail began.
	controlTailReadAt time.Time
	caughtUp          bool
	// lastSnapshotAt is when the last snapshot of the control stream was read, or the
	// process started.
	lastSnapshotAt time.Time
	table          *ownership.Map
	// tableAppliedAt is when this process read the record of the present epoch.
	tableAppliedAt time.Time
	joined         bool
	draining       bool
	membership     *membershipState
	keys           *keyhome.Store
	// transfersInFlight are the members to which a transfer of keys is under way.
	transfersInFlight map[string]bool
	recentControl     recordCache

	// instances is the platform's list; listReadAt is when its last read began.
	instances  *instanceCatalog
	listReadAt time.Time
	// fullListNeeded asks for the whole list with the next read.
	fullListNeeded bool
	// interruptListRead cuts the wait of the list's reader short.
	interruptListRead context.CancelFunc
	// entryStates are the platform's states of entries by ID.
	entryStates map[string]structs.WorkerState

	fleet  *fleet.Fleet
	agents map[string]*agent

	streams        map[string]*jobStream
	jobs           *orchestrator.Orchestrator
	inventoryRound *inventoryRound
	// unreadEnds are gained jobs whose ends have not been read since an inventory.
	unreadEnds map[string]bool
	// callSeq numbers this member's placement and inventory calls.
	callSeq int64
	// lastInventorySeq is the seq of the last inventory call of each member.
	lastInventorySeq map[string]int64
	stopRetryAt      map[string]time.Time
	// pendingEnds are ends of tasks by job that the log has still to be told.
	pendingEnds map[string][]state.TaskEnd
	// nextReport is when owned runs are next looked over for reports.
	nextReport time.Time
	// nextPressureCheck is when workers are next looked at for shortage.
	nextPressureCheck time.Time

	peers map[string]*peerState
	// heartbeatCount counts heartbeats.
	heartbeatCount int
	// maxFullMeshMembers is the size up to which all members of a cell exchange
	// heartbeats.
	maxFullMeshMembers int
	// lastRelayedMember is the member outside the group whose load is handed on with this
	// heartbeat, and handing is that load.
	lastRelayedMember string
	relayedLoads      []*peerv1.PeerLoad
	// learntUses is the part of what was learnt here that this heartbeat tells.
	learntUses []*peerv1.LearntUse
	// changeWaiters wait for the fold's result of a change.
	changeWaiters map[string][]chan state.Result

	// waitingGangSplits are the splits of gangs for which workers are held.
	waitingGangSplits map[string][]gang.OwnerShare

	quotas *quotaState

	nextSchedule time.Time
	alarms       map[structs.Code]string
}

// peerState is what is known of another member.
type peerState struct {
	digest *peerv1.Digest
	// lastHeardAt is when the member itself was last heard, at the earliest; first is when
	// it came into the table.
	lastHeardAt time.Time
	firstSeenAt time.Time
	draining    bool
	epoch       int64
	// groupEpoch is the lowest epoch in the member's group, by its word.
	groupEpoch int64
	// digestMadeAt is when the digest was made at the latest, by whatever way it came.
	digestMadeAt time.Time
	// heartbeatFailedAt is when the last heartbeat failed, zero if it did not.
	heartbeatFailedAt time.Time
	// appendFailedAt is when it last failed to append for this entry.
	appendFailedAt time.Time
	// probationWorkers are the workers that its jobs' results speak against.
	probationWorkers []string
	// roundTrip is a smoothed time of an exchange.
	roundTrip         time.Duration
	heartbeatInFlight bool
	// lastAsk is this entry's last ask to the member, askToAnswer the member's last ask.
	lastAsk     attestationAsk
	askToAnswer attestationAsk
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
	c.fleet.SetLearning(e.settings.Packing.Learn)
	c.keys = keyhome.NewStore(e.member.ID, keyhome.DefaultLimits(e.authorityConfig()), keyAuthority{c: c})
	return c
}

// tick is the periodic work of the control goroutine.
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
	c.parkJobs()
	c.dropFinishedJobs()
	c.appendDueSnapshots(now)
}

// alarm records a condition that an operator should look at; it is recorded once
// until cleared.
func (c *core) alarm(code structs.Code, detail string) {
	if c.alarms[code] == detail {
		return
	}
	c.alarms[code] = detail
	c.e.events.Record(event.Event{Type: event.Alarm, Code: code, Detail: detail})
	c.e.logger.Error("alarm", "code", string(code), "detail", detail)
}

func (c *core) clearAlarm(code structs.Code) { delete(c.alarms, code) }

// self is this entry's member ID.
func (c *core) self() string { return c.e.member.ID }

// ownsJob reports whether this entry decides a job.
func (c *core) ownsJob(id string) bool {
	owner, ok := c.table.OwnerOfJob(id)
	return ok && owner.ID == c.self()
}

// addWaiter registers for the fold's result of a change.
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
