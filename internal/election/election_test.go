package election

import (
	"strings"
	"testing"
	"time"

	"dotterelhitch/internal/stream"
)

var testTiming = Timing{LeaderTimeout: time.Second, RefusedTimeout: time.Second / 3, IsolatedTimeout: 4 * time.Second, ClaimDelay: 100 * time.Millisecond}

func TestDecide(t *testing.T) {
	start := time.Unix(1000, 0)
	leader := Claim{Node: "a", Boot: "a1", Epoch: 3}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for name, c := range map[string]struct {
		view View
		want Decision
	}{
		"no claim, before the claim delay": {View{Now: start, WatchedSince: start}, Wait},
		"no claim":                         {View{Now: at(100 * time.Millisecond), WatchedSince: start}, MakeClaim},
		"heard recently":                   {View{Now: at(5 * time.Second), WatchedSince: start, Newest: leader, LeaderLastHeard: at(4 * time.Second)}, Follow},
		"silent":                           {View{Now: at(2 * time.Second), WatchedSince: start, Newest: leader, LeaderLastHeard: at(time.Millisecond), OtherMembers: 2, ReachedMembers: 2}, MakeClaim},
		"silent, but others hear it":       {View{Now: at(2 * time.Second), WatchedSince: start, Newest: leader, OtherMembers: 2, ReachedMembers: 2, OthersHearLeader: true}, Follow},
		"silent, no other member reached":  {View{Now: at(2 * time.Second), WatchedSince: start, Newest: leader, OtherMembers: 2}, Follow},
		"silent beyond isolated time-out, no other member reached": {View{Now: at(5 * time.Second), WatchedSince: start, Newest: leader, OtherMembers: 2}, MakeClaim},
		"silent, no other member known":                            {View{Now: at(2 * time.Second), WatchedSince: start, Newest: leader}, MakeClaim},
		"refuses connections":                                      {View{Now: at(500 * time.Millisecond), WatchedSince: start, Newest: leader, LeaderRefusesConnections: true, OtherMembers: 1, ReachedMembers: 1}, MakeClaim},
		"its instance runs another process":                        {View{Now: at(100 * time.Millisecond), WatchedSince: start, Newest: leader, LeaderLastHeard: start, LeaderProcessEnded: true}, MakeClaim},
		"leaving, before the claim delay":                          {View{Now: start, WatchedSince: start, Newest: leader, LeaderLastHeard: start, LeaderHandsOver: true, OtherMembers: 2, OthersHearLeader: true}, Wait},
		"leaving":                                                  {View{Now: at(100 * time.Millisecond), WatchedSince: start, Newest: leader, LeaderLastHeard: at(90 * time.Millisecond), LeaderHandsOver: true, OtherMembers: 2, OthersHearLeader: true}, MakeClaim},
		"resigned":                                                 {View{Now: at(100 * time.Millisecond), WatchedSince: start, Newest: Claim{Node: "a", Boot: "a1", Resigned: true, Epoch: 4}}, MakeClaim},
		"own instance, an earlier process":                         {View{Now: start, WatchedSince: start, Newest: leader, Node: "a", Boot: "a2"}, MakeClaim},
	} {
		if got, _ := Decide(c.view, testTiming); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

func TestClaimRoundTrip(t *testing.T) {
	c := Claim{Node: "a", Boot: "a1", Addr: "10.0.0.1:80", Resigned: true, ResignedEpoch: 7}
	r, err := c.Record()
	if err != nil {
		t.Fatal(err)
	}
	r.Offset = 11
	got, err := ParseClaim(r)
	c.Epoch = 12
	if err != nil || got != c {
		t.Errorf("%+v, %v; want %+v", got, err, c)
	}
}

// FuzzParseClaim checks that a record either is refused or names a member, and that its epoch is that
// of its offset.
func FuzzParseClaim(f *testing.F) {
	for _, value := range []string{
		`{"node":"a","boot":"a1","addr":"10.0.0.1:80"}`, `{"node":"a","boot":"a1","addr":"x","resigned":true,"former":7}`,
		"null", "{}", "[]", "7", "\x00\xff", `{"node":1}`, `{"former":1e400}`, strings.Repeat(`{"node":`, 20_000),
	} {
		f.Add([]byte(value), int64(3))
	}
	f.Fuzz(func(t *testing.T, value []byte, offset int64) {
		c, err := ParseClaim(stream.Record{Key: Key, Value: value, Offset: offset})
		if err == nil && (c.Node == "" || c.Boot == "" || c.Addr == "" || c.Epoch != offset+1) {
			t.Fatalf("accepted %+v", c)
		}
		if err != nil && c != (Claim{}) {
			t.Fatalf("%+v with %v", c, err)
		}
	})
}
