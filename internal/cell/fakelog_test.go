package cell

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dotterelhitch/internal/stream"
	"dotterelhitch/internal/structs"
)

// fakeLog is an in-memory log with the features of the platform's log that cells use.
type fakeLog struct {
	mu       sync.Mutex
	topics   map[string]*fakeTopic
	appended chan struct{}
	// refuseAppends has all appends refused.
	refuseAppends atomic.Bool
	// latency is added to each call, in nanoseconds.
	latency atomic.Int64
	// loseAnswerEvery n loses the answer of each nth append of a producer; zero loses none.
	loseAnswerEvery atomic.Int64
	// appending is the number of producers' appends in flight, maxAppending its maximum so
	// far, and appends the number of producers' appends made while loseAnswerEvery was set.
	appending, maxAppending, appends atomic.Int64
}

type fakeTopic struct {
	records   []stream.Record
	producers map[string]*fakeProducer
}

type fakeProducer struct {
	epoch, next int64
	// lastAnswers are the answers to the last repeatWindow appends, the newest last.
	lastAnswers []stream.AppendResult
}

// repeatWindow is the number of last appends whose repetition is answered with the first answer.
const repeatWindow = 5

func newFakeLog() *fakeLog {
	return &fakeLog{topics: map[string]*fakeTopic{}, appended: make(chan struct{})}
}

func (f *fakeLog) topic(name string) *fakeTopic {
	t := f.topics[name]
	if t == nil {
		t = &fakeTopic{producers: map[string]*fakeProducer{}}
		f.topics[name] = t
	}
	return t
}

// view returns the log for one machine. The machine's calls get no answer while cut returns
// true, are refused while refuse does, and its waiting reads get no answer while hang does. connections are those that the machine
// has open to the log.
func (f *fakeLog) view(cut, refuse, hang func() bool, connections *logConnections) Log {
	return &logView{log: f, isCut: cut, refuses: refuse, hangs: hang, connections: connections}
}

type logView struct {
	log         *fakeLog
	isCut       func() bool
	refuses     func() bool
	hangs       func() bool
	connections *logConnections
}

// logConnections simulates the open connections of a machine to the log.
type logConnections struct {
	mu sync.Mutex
	// silence counts the times at which all open connections went silent. idleSilent is true
	// while idle ones among them are kept: the next calls use these.
	silence    int
	idleSilent bool
}

// goSilent has all open connections carry nothing more: the calls on them get no answer.
func (c *logConnections) goSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silence++
	c.idleSilent = true
}

// begin begins a call. It returns a function that tells whether the call's connection is silent.
func (c *logConnections) begin() func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	silence, idleSilent := c.silence, c.idleSilent
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return idleSilent || c.silence != silence
	}
}

// closeIdle closes the idle connections, as the client of the log does after a call without an answer.
func (c *logConnections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSilent = false
}

// cutPathTimeout is the time after which a call on a cut path fails.
const cutPathTimeout = 900 * time.Millisecond

func (v *logView) pathError() error {
	time.Sleep(time.Duration(v.log.latency.Load()))
	if v.refuses() {
		return structs.NewError(structs.CodeUnavailable, "turned away")
	}
	if !v.isCut() {
		return nil
	}
	time.Sleep(cutPathTimeout)
	return structs.NewError(structs.CodeUnknown, "no answer")
}

func (v *logView) Append(ctx context.Context, a stream.Append) (stream.AppendResult, error) {
	return onConnection(ctx, v, 0, func(context.Context) (stream.AppendResult, error) { return v.append(a) })
}

func (v *logView) append(a stream.Append) (stream.AppendResult, error) {
	if v.log.refuseAppends.Load() {
		return stream.AppendResult{}, structs.NewError(structs.CodeUnavailable, "busy")
	}
	if a.Producer != nil && len(a.Records) > 0 {
		return v.producerAppend(a)
	}
	if err := v.pathError(); err != nil {
		return stream.AppendResult{}, err
	}
	return v.log.append(a)
}

// producerAppend makes and counts an append of a producer, and may lose its answer.
func (v *logView) producerAppend(a stream.Append) (stream.AppendResult, error) {
	inFlight := v.log.appending.Add(1)
	defer v.log.appending.Add(-1)
	for most := v.log.maxAppending.Load(); inFlight > most && !v.log.maxAppending.CompareAndSwap(most, inFlight); most = v.log.maxAppending.Load() {
	}
	if err := v.pathError(); err != nil {
		return stream.AppendResult{}, err
	}
	out, err := v.log.append(a)
	if n := v.log.loseAnswerEvery.Load(); n > 0 && v.log.appends.Add(1)%n == 0 {
		return stream.AppendResult{}, structs.NewError(structs.CodeUnknown, "no answer")
	}
	return out, err
}

// onConnection makes a call that waits up to wait. If its connection goes silent, it ends without an answer
// after the time in which the client of the log would give it up.
func onConnection[T any](ctx context.Context, v *logView, wait time.Duration, call func(context.Context) (T, error)) (T, error) {
	isSilent := v.connections.begin()
	timeout := time.After(wait + cutPathTimeout)
	out, err := call(ctx)
	if !isSilent() {
		return out, err
	}
	select {
	case <-ctx.Done():
	case <-timeout:
	}
	v.connections.closeIdle()
	var zero T
	return zero, structs.NewError(structs.CodeUnknown, "no answer")
}

func (v *logView) Read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	return onConnection(ctx, v, wait, func(ctx context.Context) (stream.Batch, error) { return v.read(ctx, topic, from, wait) })
}

func (v *logView) read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	if err := v.pathError(); err != nil {
		return stream.Batch{}, err
	}
	batch, err := v.log.read(ctx, topic, from, wait)
	if v.hangs() && wait > 0 {
		<-ctx.Done()
		return stream.Batch{}, structs.NewError(structs.CodeUnknown, "no answer")
	}
	if pathErr := v.pathError(); pathErr != nil {
		return stream.Batch{}, pathErr
	}
	return batch, err
}

func (v *logView) Newest(ctx context.Context, topic, after string) (stream.Page, error) {
	return onConnection(ctx, v, 0, func(context.Context) (stream.Page, error) {
		if err := v.pathError(); err != nil {
			return stream.Page{}, err
		}
		return v.log.newest(topic, after), nil
	})
}

// maxFakeKeyBytes is the maximum length of a key. The platform's log stores it in one byte.
const maxFakeKeyBytes = 255

func (f *fakeLog) append(a stream.Append) (stream.AppendResult, error) {
	for _, r := range a.Records {
		if len(r.Key) > maxFakeKeyBytes {
			return stream.AppendResult{}, structs.NewError(structs.CodeInvalid, "key of %d bytes", len(r.Key))
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(a.Topic)
	end := int64(len(t.records))
	if a.ExpectedEnd != nil && *a.ExpectedEnd != end {
		return stream.AppendResult{End: end}, structs.NewError(structs.CodeConflict, "ends at %d", end)
	}
	if a.Producer != nil {
		p := t.producers[a.Producer.Name]
		if p == nil {
			p = &fakeProducer{}
			t.producers[a.Producer.Name] = p
		}
		if a.Producer.Epoch < p.epoch {
			return stream.AppendResult{}, structs.NewError(structs.CodeStaleEpoch, "fenced")
		}
		if a.Producer.Epoch > p.epoch {
			*p = fakeProducer{epoch: a.Producer.Epoch, next: a.Producer.Sequence}
		}
		if len(a.Records) == 0 {
			return stream.AppendResult{Offset: end, End: end}, nil
		}
		if repeatsBack := p.next - a.Producer.Sequence; repeatsBack > 0 && repeatsBack <= int64(len(p.lastAnswers)) {
			return p.lastAnswers[len(p.lastAnswers)-int(repeatsBack)], nil
		}
		if p.next < a.Producer.Sequence {
			return stream.AppendResult{}, structs.NewError(structs.CodeBehind, "expected %d", p.next)
		}
		if p.next > a.Producer.Sequence {
			return stream.AppendResult{}, structs.NewError(structs.CodeInternal, "expected %d", p.next)
		}
		p.next++
		p.lastAnswers = append(p.lastAnswers, stream.AppendResult{Offset: end, End: end + int64(len(a.Records))})
		p.lastAnswers = p.lastAnswers[max(0, len(p.lastAnswers)-repeatWindow):]
	}
	for i, r := range a.Records {
		r.Offset = end + int64(i)
		t.records = append(t.records, r)
	}
	close(f.appended)
	f.appended = make(chan struct{})
	return stream.AppendResult{Offset: end, End: int64(len(t.records))}, nil
}

func (f *fakeLog) read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		t := f.topic(topic)
		end := int64(len(t.records))
		appended := f.appended
		if from < end {
			out := slices.Clone(t.records[from:])
			f.mu.Unlock()
			return stream.Batch{Records: out, Next: end, End: end}, nil
		}
		f.mu.Unlock()
		select {
		case <-appended:
		case <-timeout:
			return stream.Batch{Next: from, End: end}, nil
		case <-ctx.Done():
			return stream.Batch{}, structs.NewError(structs.CodeUnknown, "%v", ctx.Err())
		}
	}
}

// newestPage is the number of records in a page.
const newestPage = 50

func (f *fakeLog) newest(topic, after string) stream.Page {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.topic(topic)
	byKey := map[string]stream.Record{}
	for _, r := range t.records {
		if len(r.Value) == 0 {
			delete(byKey, r.Key)
			continue
		}
		byKey[r.Key] = r
	}
	var keys []string
	for key := range byKey {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := stream.Page{End: int64(len(t.records)), HasMore: len(keys) > newestPage}
	for _, key := range keys[:min(len(keys), newestPage)] {
		page.Records = append(page.Records, byKey[key])
	}
	return page
}
