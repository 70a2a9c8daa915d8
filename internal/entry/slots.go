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

// slots holds the open slots of the owned workers and what is known of their
// endpoints. It belongs to the control goroutine.
type slots struct {
	next   uint64
	open   map[uint64]openSlot
	picker *health.Picker
	// times are the service times of each class over all endpoints.
	times map[string]*admission.ServiceTime
}

// openSlot is a slot that a request holds.
type openSlot struct {
	worker string
	class  string
}

func newSlots() *slots {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &slots{
		open:   map[uint64]openSlot{},
		picker: health.NewPicker(rng),
		times:  map[string]*admission.ServiceTime{},
	}
}

// serviceTime returns the estimate for a class.
func (s *slots) serviceTime(class string) *admission.ServiceTime {
	t := s.times[class]
	if t == nil {
		t = admission.NewServiceTime()
		s.times[class] = t
	}
	return t
}

// acquireSlot takes a slot of the better of two random workers.
func (c *core) acquireSlot(a dispatch.SlotRequest) (dispatch.SlotLease, error) {
	if !c.mayGrant(time.Now()) {
		return dispatch.SlotLease{}, structs.NewError(structs.CodeNoAuthority, "the owner's authority has lapsed")
	}
	s := c.e.traffic.slots
	id := c.pickEndpoint(a.ExcludeWorkers)
	if id == "" {
		return dispatch.SlotLease{}, structs.NewError(structs.CodeNoCapacity, "no free slot")
	}
	c.fleet.Nodes().AcquireSlot(id)
	w := c.fleet.Worker(id)
	s.next++
	s.open[s.next] = openSlot{worker: id, class: a.Class}
	return dispatch.SlotLease{
		ID:     s.next,
		Target: endpoint.Target{Worker: id, Addr: w.Info.Addr, Connections: w.Info.Connections},
		Fence:  c.fence(w.Epoch),
	}, nil
}

// fence returns what a request to a worker bears. Where workers don't refuse an
// older epoch, authority is checked once more right before the first byte is sent.
func (c *core) fence(epoch int64) endpoint.FencingToken {
	f := endpoint.FencingToken{Epoch: epoch, Owner: c.self()}
	if !c.e.settings.WorkerFencing {
		f.CheckAuthority = c.e.checkAuthority
	}
	return f
}

// checkAuthority fails unless this entry may grant work now.
func (e *Entry) checkAuthority() error {
	if e.mayGrant() {
		return nil
	}
	return structs.NewError(structs.CodeNoAuthority, "the owner's authority has lapsed")
}

// maxHold bounds the time for which a slot counts as taken after its attempt.
const maxHold = 10 * time.Second

// releaseSlot notes how an attempt went and gives its slot back, at once or when the
// endpoint is done as far as can be told.
func (c *core) releaseSlot(l dispatch.SlotLease, u dispatch.AttemptReport) {
	s := c.e.traffic.slots
	slot, open := s.open[l.ID]
	if !open {
		return
	}
	delete(s.open, l.ID)
	expected := s.serviceTime(slot.class)
	s.picker.Done(time.Now(), slot.worker, u.Duration, expected.Mean(), resultOf(u))
	if u.Outcome == structs.OutcomeAnswered {
		expected.Record(u.Duration)
	}
	hold := min(holdFor(u, expected), maxHold)
	if hold <= 0 {
		c.returnSlot(slot.worker, l.Fence.Epoch)
		return
	}
	s.picker.AddUnresolved(slot.worker)
	time.AfterFunc(hold, func() {
		c.e.do(func() {
			s.picker.RemoveUnresolved(slot.worker)
			c.returnSlot(slot.worker, l.Fence.Epoch)
		})
	})
}

// holdFor is the time for which the endpoint is likely busy after an attempt: what is
// left of the usual time after an unknown outcome, and the mean time after the
// endpoint's own word that it is full, of what this entry has not counted.
func holdFor(u dispatch.AttemptReport, expected *admission.ServiceTime) time.Duration {
	switch {
	case u.Outcome == structs.OutcomeUnknown:
		return expected.HighQuantile() - u.Duration
	case u.Outcome == structs.OutcomeNotRun && !u.Unsent && u.Code == structs.CodeOverload:
		return expected.Mean()
	}
	return 0
}

// returnSlot gives a slot back that was taken of a worker gained at an epoch.
func (c *core) returnSlot(worker string, epoch int64) {
	if w := c.fleet.Worker(worker); w != nil && w.Epoch == epoch {
		c.fleet.Nodes().ReleaseSlot(worker)
	}
}

// resultOf says what an attempt tells of its endpoint. A refusal for the owner's
// reasons tells nothing, and neither does an attempt that was given up because
// another one had answered.
func resultOf(u dispatch.AttemptReport) health.AttemptResult {
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

// pickEndpoint chooses a usable worker with a free slot and counts a request on it;
// empty if there is none.
func (c *core) pickEndpoint(exclude []string) string {
	picker := c.e.traffic.slots.picker
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

// syncEndpoints brings the state of the owned workers to the picker, and the number
// of usable slots to the dispatcher.
func (c *core) syncEndpoints() {
	picker := c.e.traffic.slots.picker
	for _, n := range c.fleet.Nodes().Nodes() {
		picker.Upsert(n.ID(), n.Worker().Slots).Usable = n.Usable()
	}
	c.e.traffic.dispatcher.SetSlots(picker.Slots())
}
