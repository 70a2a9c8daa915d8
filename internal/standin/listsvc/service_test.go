package listsvc

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"dotterelhitch/internal/instancelist"
	"dotterelhitch/internal/structs"
)

func TestChangeShowsAfterTheLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Lag: time.Second, Workers: []structs.Worker{{ID: "w0"}}})
		if err := s.SetState("w0", structs.WorkerRemoved); err != nil {
			t.Fatal(err)
		}
		time.Sleep(999 * time.Millisecond)
		if l, _ := s.List(); l.Instances[0].State != structs.WorkerLive {
			t.Errorf("before the lag: %s", l.Instances[0].State)
		}
		time.Sleep(2 * time.Millisecond)
		if l, _ := s.List(); l.Instances[0].State != structs.WorkerRemoved || l.LagMs != 1000 {
			t.Errorf("after the lag: %+v", l)
		}
	})
}

func TestShorterLagDoesNotRevertTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{Lag: time.Second, Workers: []structs.Worker{{ID: "w0"}}})
		_ = s.SetState("w0", structs.WorkerLeaving)
		s.SetLag(0)
		_ = s.SetState("w0", structs.WorkerRemoved)
		time.Sleep(2 * time.Second)
		if l, _ := s.List(); l.Instances[0].State != structs.WorkerRemoved {
			t.Errorf("state %s, want gone", l.Instances[0].State)
		}
	})
}

func TestReadWaitsForANewerVersion(t *testing.T) {
	s := New(Config{Workers: []structs.Worker{{ID: "w0"}}})
	srv := httptest.NewServer(s)
	defer srv.Close()
	client := instancelist.New(instancelist.Config{BaseURL: srv.URL})
	first, err := client.Read(context.Background(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { s.Put(nil, []instancelist.Entry{{ID: "e0"}}) })
	next, err := client.Read(context.Background(), first.Version, 10*time.Second)
	if err != nil || next.Version <= first.Version || len(next.Entries) != 1 {
		t.Errorf("read: %+v, %v", next, err)
	}
	if structs.CodeOf(s.SetState("nobody", structs.WorkerRemoved)) != structs.CodeNotFound {
		t.Error("an unknown instance was not refused")
	}
}
