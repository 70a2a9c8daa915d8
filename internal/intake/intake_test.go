package intake

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testLimit = 1 << 20
	// largeBody costs a quarter of testLimit.
	largeBody = testLimit / smallReserveDivisor / byteCost
)

// clock is the time of a test.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{time.Unix(1_000_000, 0)} }

func (c *clock) pass(d time.Duration) time.Time {
	c.now = c.now.Add(d)
	return c.now
}

func connect(t *testing.T, p *Pool, now time.Time) *Client {
	t.Helper()
	c := &Client{}
	if victim, ok := p.Connect(c, now); !ok || victim != nil {
		t.Fatalf("a connection was refused (%v) or cut off another (%v)", !ok, victim)
	}
	return c
}

// readBody has a client begin a body and send a part of it.
func readBody(c *Client, bytes int64, now time.Time) (victims []*Client, ok bool) {
	c.HeaderRead(now)
	if victims, ok = c.BeginBody(now); !ok {
		return victims, false
	}
	more, ok := c.Receive(make([]byte, bytes), now)
	return append(victims, more...), ok
}

// fill has connections take up all that large requests may, and returns them in the order of their last progress.
func fill(t *testing.T, p *Pool, at *clock) []*Client {
	t.Helper()
	var out []*Client
	for range smallReserveDivisor - 1 {
		c := connect(t, p, at.pass(time.Millisecond))
		if victims, ok := readBody(c, largeBody, at.now); !ok || len(victims) > 0 {
			t.Fatalf("a body that fits was refused (%v) or cut off %d others", !ok, len(victims))
		}
		out = append(out, c)
	}
	return out
}

// TestBodyBeyondTheLimitIsRefused guards against bodies that use up the memory while all of them make progress.
func TestBodyBeyondTheLimitIsRefused(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(100)
	fill(t, p, at)
	c := connect(t, p, at.now)
	if victims, ok := readBody(c, largeBody, at.now); ok || len(victims) > 0 {
		t.Fatalf("ok %v, %d victims: want a refusal, since nobody stands still", ok, len(victims))
	}
	if c.Phase() != Ended || c.Reason() != OutOfMemory || a.Cost() > testLimit {
		t.Errorf("phase %v, reason %v, cost %d", c.Phase(), c.Reason(), a.Cost())
	}
	if _, ok := c.Receive(make([]byte, 1), at.now); ok {
		t.Error("a refused client goes on")
	}
}

// TestLongestIdleMakesRoom guards against clients that stand still and keep out those that make progress.
func TestLongestIdleMakesRoom(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(100)
	clients := fill(t, p, at)
	at.pass(minStall)
	if _, ok := clients[0].Receive(make([]byte, 0), at.now); !ok {
		t.Fatal("a body that goes on was refused")
	}
	// The first one has made progress since, so the second one stands still for the longest time.
	c := connect(t, p, at.now)
	victims, ok := readBody(c, largeBody/2, at.now)
	if !ok || len(victims) != 1 || victims[0] != clients[1] {
		t.Fatalf("ok %v, %d victims", ok, len(victims))
	}
	if clients[1].Phase() != Ended || clients[0].Phase() != ReadingBody || clients[2].Phase() != ReadingBody {
		t.Error("another one was cut off")
	}
}

// TestWholeRequestIsNotCutOff guards against a request that is cut off after it was passed on: the client would be told
// that a job was not accepted that runs.
func TestWholeRequestIsNotCutOff(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(2)
	c, other := connect(t, p, at.now), connect(t, p, at.now)
	if _, ok := readBody(c, 3*largeBody, at.now); !ok || !c.BodyRead(at.now) {
		t.Fatal("refused")
	}
	at.pass(time.Hour)
	if _, ok := readBody(other, largeBody, at.now); ok {
		t.Error("a second body was read beside one that takes up all memory")
	}
	if victim, _ := p.Connect(&Client{}, at.now); victim == c {
		t.Error("cut off for a connection")
	}
	if victims := a.Expire(Bounds{}, at.pass(time.Hour)); len(victims) > 0 || c.Phase() != Handling {
		t.Error("cut off for its time")
	}
}

// TestCutOffBeforeTheEndIsNoWholeRequest guards against a request that is passed on although its client was told that
// it was refused.
func TestCutOffBeforeTheEndIsNoWholeRequest(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(2)
	c := connect(t, p, at.now)
	if _, ok := readBody(c, 1000, at.now); !ok {
		t.Fatal("refused")
	}
	if victims := a.Expire(Bounds{Stall: time.Second, Body: time.Minute}, at.pass(2*time.Second)); len(victims) != 1 {
		t.Fatal("not cut off")
	}
	if c.BodyRead(at.now) {
		t.Error("the request was taken as whole")
	}
	if _, ok := c.BeginBody(at.now); ok {
		t.Error("the connection goes on")
	}
}

// TestSmallRequestsBesideLargeOnes guards against ordinary requests that are refused because large bodies take up the
// memory, even if these make progress.
func TestSmallRequestsBesideLargeOnes(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(100)
	fill(t, p, at)
	for range 4 {
		c := connect(t, p, at.now)
		if _, ok := c.Receive(make([]byte, 500), at.now); !ok {
			t.Fatal("the header was refused")
		}
		if victims, ok := readBody(c, 5000, at.now); !ok || len(victims) > 0 || !c.BodyRead(at.now) {
			t.Fatalf("ok %v, %d victims", ok, len(victims))
		}
	}
}

// TestRequestAloneIsNeverRefused guards against a limit of memory that is below the largest legal request.
func TestRequestAloneIsNeverRefused(t *testing.T) {
	at := newClock()
	c := connect(t, NewAccount(1000).NewPool(1), at.now)
	if _, ok := c.Receive(make([]byte, 16<<10), at.now); !ok {
		t.Fatal("the header was refused")
	}
	if _, ok := readBody(c, 1<<20, at.now); !ok || !c.BodyRead(at.now) {
		t.Error("the body was refused")
	}
}

// TestAnsweredRequestFreesItsMemory guards against memory that stays taken on connections that stay open.
func TestAnsweredRequestFreesItsMemory(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(1)
	c := connect(t, p, at.now)
	for i := range 1000 {
		if _, ok := c.Receive(make([]byte, 500), at.now); !ok {
			t.Fatalf("the header of request %d was refused", i)
		}
		if _, ok := readBody(c, 5000, at.now); !ok || !c.BodyRead(at.now) {
			t.Fatalf("request %d was refused", i)
		}
		c.Discard()
		c.Answered(at.pass(time.Millisecond))
		if a.Cost() != 0 {
			t.Fatalf("cost %d after request %d", a.Cost(), i)
		}
	}
	c.Close()
	if p.Open() != 0 {
		t.Errorf("%d connections open", p.Open())
	}
}

// TestConnectionsBeyondTheLimit guards against connections that keep out others: the one that has waited for the
// longest time makes room, then one whose body stands still, and new ones are refused if neither is there.
func TestConnectionsBeyondTheLimit(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(2)
	first, second := connect(t, p, at.now), connect(t, p, at.pass(time.Millisecond))
	if _, ok := p.Connect(&Client{}, at.now); ok {
		t.Error("a connection that has just begun was cut off")
	}
	at.pass(minStall)
	third := &Client{}
	if victim, ok := p.Connect(third, at.now); !ok || victim != first || first.Reason() != OutOfConnections {
		t.Fatalf("ok %v, the oldest was cut off: %v", ok, victim == first)
	}
	first.Close()
	if p.Open() != 2 {
		t.Fatalf("%d connections open", p.Open())
	}
	if _, ok := readBody(second, 100, at.now); !ok {
		t.Fatal("refused")
	}
	third.HeaderRead(at.now)
	at.pass(minStall)
	if victim, ok := p.Connect(&Client{}, at.now); !ok || victim != second {
		t.Fatalf("ok %v, the one whose body stands still was cut off: %v", ok, victim == second)
	}
}

// TestClientsThatSendAheadMakeRoom guards against clients that send requests ahead and keep an interface full: the one
// that was handled for the longest time makes room before any other, and no other client pays for them.
func TestClientsThatSendAheadMakeRoom(t *testing.T) {
	handled := func(c *Client, now time.Time) {
		c.Receive(make([]byte, 100), now)
		c.HeaderRead(now)
	}
	idle := func(c *Client, now time.Time) {
		handled(c, now)
		c.Answered(now)
	}
	handledAhead := func(c *Client, now time.Time) {
		handled(c, now)
		c.SentAhead()
	}
	idleAhead := func(c *Client, now time.Time) {
		handledAhead(c, now)
		c.Answered(now)
	}
	readAhead := func(c *Client, now time.Time) {
		idleAhead(c, now)
		c.Receive(make([]byte, 100), now)
	}
	const none = -1
	tests := []struct {
		name    string
		clients []func(*Client, time.Time) // what each of them does, one after the other
		pass    time.Duration              // before the next connection
		want    int                        // the client that makes room
	}{
		{"handled, before one that is idle", []func(*Client, time.Time){idle, handledAhead}, time.Hour, 1},
		{"handled since a moment ago", []func(*Client, time.Time){handled, handledAhead}, 0, 1},
		{"idle, before one that is idle for longer", []func(*Client, time.Time){idle, idleAhead}, time.Hour, 1},
		{"idle, before one that sends nothing", []func(*Client, time.Time){func(*Client, time.Time) {}, idleAhead}, time.Second, 1},
		{"the first of two", []func(*Client, time.Time){handledAhead, handledAhead}, 0, 0},
		{"one that goes on makes room after the other", []func(*Client, time.Time){handledAhead, handledAhead, handled}, 0, 0},
		{"none while its next request is read", []func(*Client, time.Time){handled, readAhead}, 0, none},
		{"none that waits for each answer", []func(*Client, time.Time){handled, idle, handled}, 0, none},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, at := NewAccount(testLimit), newClock()
			p := a.NewPool(len(tt.clients))
			var clients []*Client
			for _, do := range tt.clients {
				c := connect(t, p, at.pass(time.Millisecond))
				do(c, at.now)
				clients = append(clients, c)
			}
			victim, ok := p.Connect(&Client{}, at.pass(tt.pass))
			if want := tt.want != none; ok != want {
				t.Fatalf("ok %v, want %v", ok, want)
			}
			if ok && victim != clients[tt.want] {
				t.Error("another client was cut off")
			}
			for i, c := range clients {
				if ended := c.Phase() == Ended; ended != (i == tt.want) {
					t.Errorf("client %d: cut off %v", i, ended)
				}
			}
		})
	}
}

// TestHandlersOfCutOffConnectionsAreBounded guards against clients that connect anew all the time and leave more and
// more handlers behind, each of a connection that was cut off for the next one.
func TestHandlersOfCutOffConnectionsAreBounded(t *testing.T) {
	const most = 4
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(most)
	handledAhead := func(c *Client) {
		c.Receive(make([]byte, 100), at.now)
		c.HeaderRead(at.now)
		c.SentAhead()
	}
	for range most {
		handledAhead(connect(t, p, at.now))
	}
	var cutOff []*Client
	for range most / closingDivisor {
		c := &Client{}
		victim, ok := p.Connect(c, at.pass(time.Millisecond))
		if !ok || victim == nil {
			t.Fatalf("ok %v, nothing was cut off: %v", ok, victim == nil)
		}
		cutOff = append(cutOff, victim)
		handledAhead(c)
	}
	if victim, ok := p.Connect(&Client{}, at.pass(time.Hour)); ok || victim != nil {
		t.Fatalf("ok %v while %d handlers have not returned", ok, len(cutOff))
	}
	cutOff[0].Close()
	if _, ok := p.Connect(&Client{}, at.now); !ok {
		t.Error("refused although a handler has returned")
	}
}

// TestClientThatSentAheadStaysOne guards against a client that is taken for an ordinary one after its next answer, and
// against one that is cut off twice or keeps its cost.
func TestClientThatSentAheadStaysOne(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	p := a.NewPool(2)
	c, ordinary := connect(t, p, at.now), connect(t, p, at.now)
	readBody(ordinary, 100, at.now)
	c.Receive(make([]byte, 100), at.now)
	c.SentAhead()
	for range 3 {
		if _, ok := readBody(c, 100, at.pass(time.Second)); !ok || !c.BodyRead(at.now) {
			t.Fatal("refused")
		}
		handling := 0
		for range a.Handling {
			handling++
		}
		if handling != 1 {
			t.Fatalf("%d clients are being handled", handling)
		}
		c.Discard()
		c.Answered(at.now)
	}
	ordinary.Receive(make([]byte, 100), at.now)
	if victim, ok := p.Connect(&Client{}, at.now); !ok || victim != c || c.Reason() != OutOfConnections {
		t.Fatalf("ok %v, the client that sent ahead was cut off: %v", ok, victim == c)
	}
	c.SentAhead() // what it sends still arrives
	if _, ok := c.Receive(make([]byte, 1), at.now); ok {
		t.Error("it goes on")
	}
	if victim, ok := p.Connect(&Client{}, at.now); ok || victim != nil {
		t.Error("it made room twice, or another one did")
	}
	c.Close()
	ordinary.Close()
	if a.Cost() != 0 || p.Open() != 1 {
		t.Errorf("cost %d, %d connections open", a.Cost(), p.Open())
	}
}

// TestTimeBounds guards against headers and bodies that hold memory for ever, also if a byte comes now and then.
func TestTimeBounds(t *testing.T) {
	b := Bounds{Header: 3 * time.Second, Stall: 15 * time.Second, Body: time.Minute}
	tests := []struct {
		name   string
		phase  Phase
		period time.Duration // of the bytes
		want   time.Duration // until it is cut off, zero if it is not within a day
	}{
		{"nothing is sent", Waiting, 0, b.Header},
		{"header with a byte now and then", ReadingHeader, time.Second, b.Header},
		{"body that stands still", ReadingBody, 0, b.Stall},
		{"body with a byte now and then", ReadingBody, 10 * time.Second, b.Body},
		{"idle after a request", Handling, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, at := NewAccount(testLimit), newClock()
			c := connect(t, a.NewPool(1), at.now)
			switch tt.phase {
			case ReadingBody:
				readBody(c, 1, at.now)
			case Handling:
				c.HeaderRead(at.now)
				c.Answered(at.now)
			default:
			}
			begin, last := at.now, at.now
			for at.now.Sub(begin) < 24*time.Hour {
				if victims := a.Expire(b, at.pass(time.Second)); len(victims) > 0 {
					break
				}
				if tt.period > 0 && at.now.Sub(last) >= tt.period {
					last = at.now
					c.Receive(make([]byte, 1), at.now)
				}
			}
			got := at.now.Sub(begin)
			// A header's time begins with its first byte.
			if slack := 2*time.Second + tt.period; tt.want > 0 && (c.Phase() != Ended || c.Reason() != TooSlow || got < tt.want || got > tt.want+slack) {
				t.Errorf("phase %v after %v, want the end after %v", c.Phase(), got, tt.want)
			}
			if tt.want == 0 && c.Phase() == Ended {
				t.Errorf("cut off after %v", got)
			}
		})
	}
}

// TestStreams guards against streams whose requests take up memory beyond the limit, and small ones that keep it while
// they wait for their answers.
func TestStreams(t *testing.T) {
	a, at := NewAccount(testLimit), newClock()
	for range 1000 {
		s := &Client{}
		if _, ok := a.OpenStream(s, 300, at.now); !ok {
			t.Fatal("a small stream was refused")
		}
		if _, ok := s.BeginBody(at.now); !ok {
			t.Fatal("its body was refused")
		}
		if _, ok := s.Receive(make([]byte, 5000), at.now); !ok || !s.BodyRead(at.now) {
			t.Fatal("its body was refused")
		}
	}
	if a.Cost() != 0 {
		t.Errorf("cost %d of small requests that wait for answers", a.Cost())
	}
	large := &Client{}
	if _, ok := a.OpenStream(large, 300, at.now); !ok {
		t.Fatal("refused")
	}
	if _, ok := large.BeginBody(at.now); !ok {
		t.Fatal("refused")
	}
	if _, ok := large.Receive(make([]byte, largeBody), at.now); !ok || !large.BodyRead(at.now) || a.Cost() < largeBody*byteCost {
		t.Errorf("ok %v, cost %d of a large request that is being handled", ok, a.Cost())
	}
	if !large.MessageRead(at.now) || a.Cost() != 0 {
		t.Errorf("cost %d after a message", a.Cost())
	}
	large.Close()
}

// TestCostNeverExceedsTheLimit drives clients at random, and guards against sequences of events that exceed a limit or
// lose a client's cost.
func TestCostNeverExceedsTheLimit(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a, at := NewAccount(testLimit), newClock()
		pools := []*Pool{a.NewPool(20), a.NewPool(3)}
		var clients []*Client
		for range 2000 {
			at.pass(time.Duration(rng.IntN(100)) * time.Millisecond)
			if len(clients) == 0 || rng.IntN(4) == 0 {
				c := &Client{}
				if _, ok := pools[rng.IntN(len(pools))].Connect(c, at.now); ok {
					clients = append(clients, c)
				}
			}
			if len(clients) == 0 {
				continue
			}
			i := rng.IntN(len(clients))
			act(rng, clients[i], at.now)
			if rng.IntN(10) == 0 {
				a.Expire(Bounds{Header: 3 * time.Second, Stall: 5 * time.Second, Body: 20 * time.Second}, at.now)
			}
			// The handlers of clients that were cut off return some time later.
			if clients[i].Phase() == Ended {
				clients[i].Close()
				clients = append(clients[:i], clients[i+1:]...)
			}
			checkAccount(t, seed, a, pools, clients)
		}
		for _, c := range clients {
			c.Close()
		}
		if a.Cost() != 0 || pools[0].Open()+pools[1].Open() != 0 {
			t.Fatalf("seed %d: cost %d, %d and %d connections open at the end", seed, a.Cost(), pools[0].Open(), pools[1].Open())
		}
	}
}

// act does to a client what may happen to it in its phase.
func act(rng *rand.Rand, c *Client, now time.Time) {
	switch c.Phase() {
	case Waiting, ReadingHeader:
		if rng.IntN(2) == 0 {
			c.Receive(make([]byte, 1+rng.IntN(4096)), now)
		} else {
			c.HeaderRead(now)
		}
	case ReadingBody:
		if rng.IntN(4) == 0 {
			c.BodyRead(now)
		} else {
			c.Receive(make([]byte, 1+rng.IntN(64<<10)), now)
		}
	case Handling:
		switch rng.IntN(5) {
		case 0:
			c.BeginBody(now)
		case 1:
			c.Discard()
		case 2:
			c.Charge(rng.Int64N(1<<18), now)
		case 3:
			c.Answered(now)
		case 4:
			c.SentAhead()
		}
	case Ended:
	}
	if rng.IntN(20) == 0 {
		c.Close()
	}
}

func checkAccount(t *testing.T, seed uint64, a *Account, pools []*Pool, clients []*Client) {
	t.Helper()
	sum, freed, alone := int64(0), int64(0), false
	for _, c := range clients {
		sum += c.cost
		alone = alone || c.cost == a.cost
		if c.Phase() == Ended {
			freed += c.cost
		}
	}
	if most := int64(testLimit + testLimit/freedDivisor); sum != a.Cost() || (a.Cost() > most && !alone) {
		t.Fatalf("seed %d: the clients' costs are %d, the account has %d of %d", seed, sum, a.Cost(), testLimit)
	}
	if freed != a.freed {
		t.Fatalf("seed %d: the cost of ended clients is %d, the account has %d", seed, freed, a.freed)
	}
	for _, p := range pools {
		if p.Open() > p.max {
			t.Fatalf("seed %d: %d connections of %d", seed, p.Open(), p.max)
		}
	}
}

// TestPlanLimits guards against limits that use up the memory or the descriptors, on machines of each size.
func TestPlanLimits(t *testing.T) {
	for _, m := range []struct {
		memoryMB    int64
		descriptors int
	}{{96, 1000}, {184, 4100}, {184, 500}, {284, 4100}, {536, 8192}, {0, 0}, {16 << 10, 1 << 20}, {1, 300}} {
		l := PlanLimits(m.memoryMB, m.descriptors)
		memory, descriptors := m.memoryMB<<20, m.descriptors
		if memory == 0 {
			memory, descriptors = defaultMemoryMB<<20, defaultDescriptors
		}
		connections := l.Callers + l.Members + l.Readiness + l.Metrics
		if most := (descriptors - reservedDescriptors) / 2; connections > max(most, 4) {
			t.Errorf("%v: %d connections of %d descriptors", m, connections, descriptors)
		}
		kernel := int64(l.Callers+l.Readiness+l.Metrics)*2*ReceiveBuffer + int64(l.Members)*2*MemberReceiveBuffer
		if taken := l.CallerMemory + l.MemberMemory + kernel; m.memoryMB > 1 && taken > memory/2 {
			t.Errorf("%v: %d MB for requests and receive buffers", m, taken>>20)
		}
		if l.Callers < 1 || l.Members < 1 || l.Readiness < 1 || l.Metrics < 1 {
			t.Errorf("%v: an interface without connections: %+v", m, l)
		}
	}
	// Some hundred callers' connections that stay open, and all other members, twice, fit on the smallest machine.
	if l := PlanLimits(184, 4100); l.Callers < 500 || l.Members < 200 { // a cell of 147 members, with connections that end
		t.Errorf("%+v", l)
	}
}
