package cell

import (
	"time"

	"dotterelhitch/internal/cell/cellv1"
	"dotterelhitch/internal/clock"
)

// configFetchTimeout bounds the call that fetches the configuration from another member.
const configFetchTimeout = 600 * time.Millisecond

// fillConfig adds this member's configuration to the answer to a heartbeat: the version, how long ago it
// was known to be the newest, and the record if the caller's version is lower.
func (n *Node) fillConfig(resp *cellv1.HelloResponse, callersVersion int64, now time.Time) {
	// The age is read first: it is then that of the version or of one before it.
	age, confirmed := n.config.age(now)
	v := n.config.version.Load()
	if v == nil {
		return
	}
	resp.ConfigVersion = v.Version
	if confirmed {
		ms := age.Milliseconds() + 1 // rounded up
		resp.ConfigAgeMs = &ms
	}
	if v.Version > callersVersion {
		resp.Config = v.record
	}
}

// applyConfigOfMember applies the configuration in another member's answer, if it has one, and confirms
// the version in force if it is that member's. The call was sent at sent.
func (n *Node) applyConfigOfMember(resp *cellv1.HelloResponse, sent time.Time) {
	n.applyConfig(resp.Config, configSource{kind: sourceHeartbeat, member: resp.From.GetNode()})
	if resp.ConfigAgeMs != nil && resp.ConfigVersion == n.config.number() {
		n.config.confirm(sent.Add(-time.Duration(max(*resp.ConfigAgeMs, 0)) * time.Millisecond))
	}
}

// fetchConfig fetches the configuration from the member at addr if that has a higher version than this
// one. Only one call at a time is made; the next heartbeat leads to the next one.
func (n *Node) fetchConfig(version int64, addr string) {
	if version <= n.config.number() || addr == "" || !n.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetchingConfig.Store(false)
		sent := clock.Now()
		// A failed call is logged nowhere: the member that has the version says so again.
		if resp, err := n.callHello(addr, configFetchTimeout); err == nil {
			n.applyConfigOfMember(resp, sent)
		}
	}()
}
