package entry

import (
	"math/rand/v2"
	"time"

	"dotterelhitch/internal/dispatch"
	"dotterelhitch/internal/endpoint"
	"dotterelhitch/internal/scheduler/admission"
	"dotterelhitch/internal/scheduler/health"
	"dotterelhitch/internal/structs"
)

// slots tracks the slots that requests occupy on owned workers, and the health and
// service times of the workers' endpoints. It belongs to the control goroutine.
type slots struct {
	lastID uint64
	open   map[uint64]openSlot
	picker *health.Picker
	// serviceTimes has the service time of each class over all endpoints.
	serviceTimes map[string]*admission.ServiceTime
}

// openSlot is a slot that a request occupies.
type openSlot struct {
	worker string
	class  string
}

func newSlots() *slots {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &slots{
		open:         map[uint64]openSlot{},
		picker:       health.NewPicker(rng),
		serviceTimes: map[string]*admission.ServiceTime{},
	}
}

// serviceTime returns the service time estimate of a class.
func (s *slots) serviceTime(class string) *admission.ServiceTime {
	t := s.serviceTimes[class]
	if t == nil {
		t = admission.NewServiceTime()
		s.serviceTimes[class] = t
	}
	return t
}

// acquireSlot acquires a slot on the better of two randomly picked workers.
func (c *core) acquireSlot(a dispatch.SlotRequest) (dispatch.SlotLease, error) {
	if !c.mayGrant(time.Now()) {
		return dispatch.SlotLease{}, structs.NewError(structs.CodeNoAuthority, "the owner's authority has lapsed")
	}
	s := c.e.requests.slots
	id := c.pickEndpoint(a.ExcludeWorkers)
	if id == "" {
		return dispatch.SlotLease{}, structs.NewError(structs.CodeNoCapacity, "no free slot")
	}
	c.fleet.Nodes().AcquireSlot(id)
	w := c.fleet.Worker(id)
	s.lastID++
	s.open[s.lastID] = openSlot{worker: id, class: a.Class}
	return dispatch.SlotLease{
		ID:     s.lastID,
		Target: endpoint.Target{Worker: id, Addr: w.Info.Addr, Connections: w.Info.Connections},
		Fence:  c.endpointFence(w.Epoch),
	}, nil
}

// endpointFence returns the fencing data of a request to a worker. If workers don't
// refuse requests of an older epoch, authority is checked again right before the first
// byte is sent.
func (c *core) endpointFence(epoch int64) endpoint.FencingToken {
	f := endpoint.FencingToken{Epoch: epoch, Owner: c.self()}
	if !c.e.settings.WorkerFencing {
		f.CheckAuthority = c.e.checkAuthority
	}
	return f
}

// checkAuthority returns an error with CodeNoAuthority unless this entry has authority
// now.
func (e *Entry) checkAuthority() error {
	if e.mayGrant() {
		return nil
	}
	return structs.NewError(structs.CodeNoAuthority, "the owner's authority has lapsed")
}

// maxSlotBusyTime is the longest time for which a slot counts as occupied after its
// attempt.
const maxSlotBusyTime = 10 * time.Second

// releaseSlot records the result of an attempt and returns its slot: at once, or when
// the endpoint has probably finished.
func (c *core) releaseSlot(l dispatch.SlotLease, u dispatch.AttemptReport) {
	s := c.e.requests.slots
	slot, open := s.open[l.ID]
	if !open {
		return
	}
	delete(s.open, l.ID)
	expected := s.serviceTime(slot.class)
	s.picker.Done(time.Now(), slot.worker, u.Duration, expected.Mean(), attemptResult(u))
	if u.Outcome == structs.OutcomeAnswered {
		expected.Record(u.Duration)
	}
	busyTime := min(remainingBusyTime(u, expected), maxSlotBusyTime)
	if busyTime <= 0 {
		c.returnSlot(slot.worker, l.Fence.Epoch)
		return
	}
	s.picker.AddUnresolved(slot.worker)
	time.AfterFunc(busyTime, func() {
		c.e.runOnControl(func() {
			s.picker.RemoveUnresolved(slot.worker)
			c.returnSlot(slot.worker, l.Fence.Epoch)
		})
	})
}

// remainingBusyTime estimates how long the endpoint stays busy after an attempt. After
// an unknown outcome it is the rest of the usual service time. If the endpoint refused
// the request because it is full, it is the mean service time, since the endpoint is
// then busy with work that this entry has not counted.
func remainingBusyTime(u dispatch.AttemptReport, expected *admission.ServiceTime) time.Duration {
	switch {
	case u.Outcome == structs.OutcomeUnknown:
		return expected.HighQuantile() - u.Duration
	case u.Outcome == structs.OutcomeNotRun && !u.Unsent && u.Code == structs.CodeOverload:
		return expected.Mean()
	}
	return 0
}

// returnSlot returns a slot to its worker, unless the worker has been lost or gained
// under another epoch since the slot was acquired.
func (c *core) returnSlot(worker string, epoch int64) {
	if w := c.fleet.Worker(worker); w != nil && w.Epoch == epoch {
		c.fleet.Nodes().ReleaseSlot(worker)
	}
}

// attemptResult returns what an attempt shows about the health of its endpoint. A
// refusal for reasons on the owner's side shows nothing, and neither does an attempt
// that was abandoned because another one had answered.
func attemptResult(u dispatch.AttemptReport) health.AttemptResult {
	switch {
	case u.Abandoned:
		return health.AttemptRefused
	case u.Outcome == structs.OutcomeAnswered:
		return health.AttemptAnswered
	case u.Outcome == structs.OutcomeNotRun && !u.Unsent:
		return health.AttemptRefused
	default:
		return health.AttemptFailed
	}
}

// pickEndpoint chooses a usable worker with a free slot and counts a request on it. It
// returns an empty ID if there is none.
func (c *core) pickEndpoint(exclude []string) string {
	picker := c.e.requests.slots.picker
	now := time.Now()
	for {
		e := picker.Pick(now, exclude...)
		if e == nil {
			return ""
		}
		if n := c.fleet.Nodes().Node(e.ID); n != nil && n.Usable() {
			return e.ID
		}
		e.Usable = false
		picker.Done(now, e.ID, 0, 0, health.AttemptRefused)
	}
}

// syncEndpoints updates the picker with the state of the owned workers, and the
// dispatcher with the number of usable slots.
func (c *core) syncEndpoints() {
	picker := c.e.requests.slots.picker
	for _, n := range c.fleet.Nodes().Nodes() {
		picker.Upsert(n.ID(), n.Worker().Slots).Usable = n.Usable()
	}
	c.e.requests.dispatcher.SetSlots(picker.Slots())
}
