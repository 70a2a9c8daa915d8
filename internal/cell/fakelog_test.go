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

// fakeLog is an append-only log in memory with what cells use of the platform's.
type fakeLog struct {
	mu     sync.Mutex
	topics map[string]*fakeTopic
	grown  chan struct{}
	// busy says that appends are refused.
	busy atomic.Bool
	// latency is how long each call takes besides.
	latency atomic.Int64
	// lose has each nth append of a producer done without an answer, none if it is zero.
	lose atomic.Int64
	// appending counts the appends of producers under way, most is its highest value and
	// appends their number.
	appending, most, appends atomic.Int64
}

type fakeTopic struct {
	records   []stream.Record
	producers map[string]*fakeProducer
}

type fakeProducer struct {
	epoch, next int64
	// last are the answers to the last appends, the newest last.
	last []stream.AppendResult
}

// fakeRepeats is the number of appends of which a repeat gets the first answer.
const fakeRepeats = 5

func newFakeLog() *fakeLog {
	return &fakeLog{topics: map[string]*fakeTopic{}, grown: make(chan struct{})}
}

func (f *fakeLog) topic(name string) *fakeTopic {
	t := f.topics[name]
	if t == nil {
		t = &fakeTopic{producers: map[string]*fakeProducer{}}
		f.topics[name] = t
	}
	return t
}

// view returns the log as a machine sees it whose path is cut while cut returns true.
// Its waiting reads get no answer while hang returns true.
func (f *fakeLog) view(cut, hang func() bool) Log { return &logView{log: f, cut: cut, hang: hang} }

type logView struct {
	log  *fakeLog
	cut  func() bool
	hang func() bool
}

// silence is how long a call takes to be given up on a path that is cut.
const silence = 900 * time.Millisecond

func (v *logView) gone() error {
	time.Sleep(time.Duration(v.log.latency.Load()))
	if !v.cut() {
		return nil
	}
	time.Sleep(silence)
	return structs.NewError(structs.CodeUnknown, "no answer")
}

func (v *logView) Append(_ context.Context, a stream.Append) (stream.AppendResult, error) {
	if v.log.busy.Load() {
		return stream.AppendResult{}, structs.NewError(structs.CodeUnavailable, "busy")
	}
	if a.Producer != nil && len(a.Records) > 0 {
		return v.appendOf(a)
	}
	if err := v.gone(); err != nil {
		return stream.AppendResult{}, err
	}
	return v.log.append(a)
}

// appendOf makes an append of a producer, which is counted and may lose its answer.
func (v *logView) appendOf(a stream.Append) (stream.AppendResult, error) {
	under := v.log.appending.Add(1)
	defer v.log.appending.Add(-1)
	for most := v.log.most.Load(); under > most && !v.log.most.CompareAndSwap(most, under); most = v.log.most.Load() {
	}
	if err := v.gone(); err != nil {
		return stream.AppendResult{}, err
	}
	out, err := v.log.append(a)
	if n := v.log.lose.Load(); n > 0 && v.log.appends.Add(1)%n == 0 {
		return stream.AppendResult{}, structs.NewError(structs.CodeUnknown, "no answer")
	}
	return out, err
}

func (v *logView) Read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	if err := v.gone(); err != nil {
		return stream.Batch{}, err
	}
	batch, err := v.log.read(ctx, topic, from, wait)
	if v.hang() && wait > 0 {
		<-ctx.Done()
		return stream.Batch{}, structs.NewError(structs.CodeUnknown, "no answer")
	}
	if cut := v.gone(); cut != nil {
		return stream.Batch{}, cut
	}
	return batch, err
}

func (v *logView) Newest(_ context.Context, topic, after string) (stream.Page, error) {
	if err := v.gone(); err != nil {
		return stream.Page{}, err
	}
	return v.log.newest(topic, after), nil
}

func (f *fakeLog) append(a stream.Append) (stream.AppendResult, error) {
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
		if back := p.next - a.Producer.Sequence; back > 0 && back <= int64(len(p.last)) {
			return p.last[len(p.last)-int(back)], nil
		}
		if p.next < a.Producer.Sequence {
			return stream.AppendResult{}, structs.NewError(structs.CodeBehind, "expected %d", p.next)
		}
		if p.next > a.Producer.Sequence {
			return stream.AppendResult{}, structs.NewError(structs.CodeInternal, "expected %d", p.next)
		}
		p.next++
		p.last = append(p.last, stream.AppendResult{Offset: end, End: end + int64(len(a.Records))})
		p.last = p.last[max(0, len(p.last)-fakeRepeats):]
	}
	for i, r := range a.Records {
		r.Offset = end + int64(i)
		t.records = append(t.records, r)
	}
	close(f.grown)
	f.grown = make(chan struct{})
	return stream.AppendResult{Offset: end, End: int64(len(t.records))}, nil
}

func (f *fakeLog) read(ctx context.Context, topic string, from int64, wait time.Duration) (stream.Batch, error) {
	timeout := time.After(wait)
	for {
		f.mu.Lock()
		t := f.topic(topic)
		end := int64(len(t.records))
		grown := f.grown
		if from < end {
			out := slices.Clone(t.records[from:])
			f.mu.Unlock()
			return stream.Batch{Records: out, Next: end, End: end}, nil
		}
		f.mu.Unlock()
		select {
		case <-grown:
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
