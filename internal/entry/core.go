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

	control *state.ControlTable
	bridge  *state.SnapshotRecovery
	// bridged is true if records were removed before this process read them.
	bridged bool
	// controlRead is when the last read of the control stream's tail began.
	controlRead time.Time
	caughtUp    bool
	// snapshotAt is when the last snapshot of the control stream was read, or the
	// process started.
	snapshotAt time.Time
	table      *ownership.Map
	// tableSince is when this process read the record of the present epoch.
	tableSince time.Time
	joined     bool
	draining   bool
	rights     *rights
	keys       *keyhome.Store
	// transferring are the members to which a transfer of keys is under way.
	transferring map[string]bool
	recent       recentRecords

	// instances is the platform's list; listRead is when its last read began.
	instances *instances
	listRead  time.Time
	// listWhole asks for the whole list with the next read.
	listWhole bool
	// rereadList cuts the wait of the list's reader short.
	rereadList context.CancelFunc
	// entryStates are the platform's states of entries by ID.
	entryStates map[string]structs.WorkerState

	fleet  *fleet.Fleet
	agents map[string]*agent

	streams map[string]*jobStream
	jobs    *orchestrator.Orchestrator
	round   *round
	// unread are gained jobs whose ends have not been read since an inventory.
	unread map[string]bool
	// seq numbers this member's placement and inventory calls.
	seq int64
	// barrier is the seq of the last inventory call of each member.
	barrier map[string]int64
	stopped map[string]time.Time
	// ends are ends of tasks by job that the log has still to be told.
	ends map[string][]state.TaskEnd
	// nextReport is when owned runs are next looked over for reports.
	nextReport time.Time
	// nextGuard is when workers are next looked at for shortage.
	nextGuard time.Time

	peers map[string]*peerState
	// beat counts heartbeats.
	beat int
	// directMembers is the size up to which all members of a cell exchange
	// heartbeats.
	directMembers int
	// handedOn is the member outside the group whose load is handed on with this
	// heartbeat, and handing is that load.
	handedOn string
	handing  []*peerv1.PeerLoad
	// learnt is the part of what was learnt here that this heartbeat tells.
	learnt []*peerv1.LearntUse
	// waiters wait for the fold's result of a change.
	waiters map[string][]chan state.Result

	// waitingGangs are the splits of gangs for which workers are held.
	waitingGangs map[string][]gang.OwnerShare

	quotas *quotas

	nextSchedule time.Time
	alarms       map[structs.Code]string
}

// peerState is what is known of another member.
type peerState struct {
	digest *peerv1.Digest
	// heard is when the member itself was last heard, at the earliest; first is when
	// it came into the table.
	heard    time.Time
	first    time.Time
	draining bool
	epoch    int64
	// groupEpoch is the lowest epoch in the member's group, by its word.
	groupEpoch int64
	// digestAt is when the digest was made at the latest, by whatever way it came.
	digestAt time.Time
	// missed is when the last heartbeat failed, zero if it did not.
	missed time.Time
	// appendMissed is when it last failed to append for this entry.
	appendMissed time.Time
	// probation are the workers that its jobs' results speak against.
	probation []string
	// roundTrip is a smoothed time of an exchange.
	roundTrip time.Duration
	busy      bool
	// asked is this entry's last ask to the member, toAnswer the member's last ask.
	asked    ask
	toAnswer ask
}

func newCore(e *Entry) *core {
	t := e.timing
	c := &core{
		e:           e,
		rights:      newRights(e, time.Now()),
		control:     state.NewControlTable(),
		table:       ownership.NewMap(ownership.Table{}),
		instances:   newInstances(),
		rereadList:  func() {},
		unread:      map[string]bool{},
		entryStates: map[string]structs.WorkerState{},
		fleet: fleet.New(fleet.Timing{
			Lease:               t.Lease,
			ClockMargin:         t.ClockMargin,
			UnreachableAfter:    2 * t.Renew,
			ReportRetryInterval: time.Second,
		}),
		agents:  map[string]*agent{},
		streams: map[string]*jobStream{},
		jobs:    orchestrator.New(),
		barrier: map[string]int64{},
		stopped: map[string]time.Time{},
		ends:    map[string][]state.TaskEnd{},
		peers:   map[string]*peerState{},
		waiters: map[string][]chan state.Result{},
		alarms:  map[structs.Code]string{},

		directMembers: ownership.MaxFullMeshMembers,

		transferring: map[string]bool{},
		waitingGangs: map[string][]gang.OwnerShare{},
	}
	c.quotas = newQuotas()
	c.jobs.SetQuotaLookup(c.quotaShare)
	c.fleet.SetLearning(e.settings.Packing.LearnUsage)
	c.keys = keyhome.NewStore(e.member.ID, keyhome.DefaultLimits(e.authorityConfig()), keyRights{c: c})
	return c
}

// tick is the periodic work of the control goroutine.
func (c *core) tick(now time.Time) {
	c.noteAuthority(now)
	c.noteLog(now)
	c.lapse(now)
	c.awaitFormer(now)
	c.syncEndpoints()
	c.flushEnds()
	c.report(now)
	c.guardWorkers(now)
	c.collect(now)
	c.stopTasks(now)
	c.schedule(now)
	c.askQuotas(now)
	c.parkJobs()
	c.dropFinished()
	c.takeSnapshots(now)
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

// wait registers for the fold's result of a change.
func (c *core) wait(changeID string) chan state.Result {
	ch := make(chan state.Result, 1)
	c.waiters[changeID] = append(c.waiters[changeID], ch)
	return ch
}

func (c *core) resolve(r state.Result) {
	for _, ch := range c.waiters[r.Change.ID] {
		ch <- r
	}
	delete(c.waiters, r.Change.ID)
}

func (c *core) unwait(changeID string, ch chan state.Result) {
	list := c.waiters[changeID]
	for i, other := range list {
		if other == ch {
			c.waiters[changeID] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(c.waiters[changeID]) == 0 {
		delete(c.waiters, changeID)
	}
}
