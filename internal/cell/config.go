package cell

import (
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
)

// configWait is how long a read of the configuration waits for a change: short enough
// that a silent connection is noticed within the bound on new versions.
const configWait = 1500 * time.Millisecond

// followConfig keeps the newest configuration in force.
func (n *Node) followConfig() {
	f := stream.Follower{
		Reader:    n.log,
		Topic:     n.opts.Topics.ConfigTopic,
		PollWait:  configWait,
		OnReload:  func(records []stream.Record, _ time.Time) { n.takeConfigRecords(records) },
		OnRecords: func(records []stream.Record, _ time.Time) { n.takeConfigRecords(records) },
		OnError:   func(error) {},
	}
	f.Run(n.ctx)
}

func (n *Node) takeConfigRecords(records []stream.Record) {
	for i := range records {
		if records[i].Key == n.opts.Topics.ConfigKey {
			n.takeConfig(records[i].Value)
		}
	}
}

// takeConfig puts a configuration in force if it is newer than the one that is.
func (n *Node) takeConfig(raw []byte) {
	if len(raw) == 0 {
		return
	}
	cfg, err := n.opts.Topics.DecodeConfig(raw)
	if err != nil {
		n.record(event.Event{Type: event.Alarm, Detail: err.Error()})
		return
	}
	next := &configVersion{Config: cfg, raw: raw}
	for {
		old := n.config.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		if n.config.CompareAndSwap(old, next) {
			break
		}
	}
	n.record(event.Event{Type: event.ConfigApplied, Version: cfg.Version, Count: len(cfg.Classes)})
	if l := n.lead.Load(); l != nil {
		l.setConfig(cfg)
	}
}
