package logsvc

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/platformlog"
	"dotterelhitch/internal/structs"
)

// start serves a log service on loopback and returns a client with a short
// deadline.
func start(t *testing.T, f Faults) (*Service, *platformlog.Client) {
	t.Helper()
	s := New(Config{Faults: f})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, platformlog.New(platformlog.Config{BaseURL: srv.URL, AppendTimeout: 300 * time.Millisecond})
}

func change(t *testing.T, s *Service, c FaultChange) {
	t.Helper()
	if err := s.ChangeFaults(c); err != nil {
		t.Fatal(err)
	}
}

func ptr[T any](v T) *T { return &v }

func TestAppendTellsRefusalFromUnknown(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  FaultChange
		want    structs.Code
		appends int64
	}{
		{"refusing outage", FaultChange{Outage: ptr(OutageRefuse)}, structs.CodeUnavailable, 0},
		{"hanging outage", FaultChange{Outage: ptr(OutageHang)}, structs.CodeUnknown, 0},
		{"answer lost", FaultChange{LostAnswers: &LostAnswers{Count: 1}}, structs.CodeUnknown, 1},
		{"answer lost, connection hangs", FaultChange{LostAnswers: &LostAnswers{Count: 1, KeepConnOpen: true}}, structs.CodeUnknown, 1},
		{"request lost", FaultChange{LostAnswers: &LostAnswers{Count: 1, DropAppend: true}}, structs.CodeUnknown, 0},
		{"slow", FaultChange{DelayMs: ptr(int64(800))}, structs.CodeUnknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, client := start(t, Faults{})
			change(t, s, c.change)
			_, err := client.Append(context.Background(), "control", []byte("x"))
			if got := structs.CodeOf(err); got != c.want {
				t.Errorf("append: %v, want %s", err, c.want)
			}
			if got := s.Status().Appends; got != c.appends {
				t.Errorf("%d appends took effect, want %d", got, c.appends)
			}
		})
	}
}

func TestAppendThatTimedOutMayTakeEffectLater(t *testing.T) {
	s, client := start(t, Faults{DelayMs: 1000})
	if _, err := client.Append(context.Background(), "control", []byte("x")); structs.CodeOf(err) != structs.CodeUnknown {
		t.Fatalf("append: %v, want unknown_state", err)
	}
	change(t, s, FaultChange{DelayMs: ptr(int64(0))})
	batch, err := client.Read(context.Background(), "control", 1, 10, 5*time.Second)
	if err != nil || len(batch.Records) != 1 {
		t.Errorf("read: %+v, %v: want the record", batch, err)
	}
}

func TestOutageThatBeginsAfterTheEffectLosesTheAnswer(t *testing.T) {
	s, _ := start(t, Faults{})
	srv := httptest.NewServer(s)
	defer srv.Close()
	client := platformlog.New(platformlog.Config{BaseURL: srv.URL})
	change(t, s, FaultChange{DelayMs: ptr(int64(1000))})
	go func() {
		for s.Status().Appends == 0 {
			time.Sleep(time.Millisecond)
		}
		_ = s.ChangeFaults(FaultChange{Outage: ptr(OutageRefuse)})
	}()
	if _, err := client.Append(context.Background(), "control", []byte("x")); structs.CodeOf(err) != structs.CodeUnknown {
		t.Errorf("append: %v, want unknown_state", err)
	}
}

func TestRetentionDropsTheOldest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Faults: Faults{MaxRecords: 3, MaxAgeMs: 1000}})
		for range 5 {
			s.Append("control", []byte("x"))
		}
		if b := s.Read("control", 1, 10); b.FirstOffset != 3 || b.NextOffset != 6 || len(b.Records) != 3 || b.Records[0].Offset != 3 {
			t.Errorf("by number: %+v", b)
		}
		time.Sleep(1001 * time.Millisecond)
		if b := s.Read("control", 1, 10); b.FirstOffset != 6 || b.NextOffset != 6 || len(b.Records) != 0 {
			t.Errorf("by age: %+v", b)
		}
	})
}

func TestAppendsPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Faults: Faults{AppendsPerSecond: 100}})
		began := time.Now()
		for range 211 {
			if err := s.awaitTurn(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took < 1900*time.Millisecond || took > 2100*time.Millisecond {
			t.Errorf("211 appends at 100 a second and a burst of 11 took %v", took)
		}
	})
}
