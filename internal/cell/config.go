package cell

import (
	"time"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/stream"
)

// configReadWait is how long a read of the configuration waits for a change. It is short enough
// to detect a dead connection within the time by which a new version must be in force.
const configReadWait = 1500 * time.Millisecond

// followConfig reads the configuration topic, and applies each newer version, until the node
// stops.
func (n *Node) followConfig() {
	f := stream.Follower{
		Reader:    n.log,
		Topic:     n.opts.Topics.ConfigTopic,
		PollWait:  configReadWait,
		OnReload:  func(records []stream.Record, _ time.Time) { n.applyConfigRecords(records) },
		OnRecords: func(records []stream.Record, _ time.Time) { n.applyConfigRecords(records) },
		OnError:   func(error) {},
	}
	f.Run(n.ctx)
}

func (n *Node) applyConfigRecords(records []stream.Record) {
	for i := range records {
		if records[i].Key == n.opts.Topics.ConfigKey {
			n.applyConfig(records[i].Value)
		}
	}
}

// applyConfig decodes a configuration record and puts it in force if its version is higher than
// the one in force.
func (n *Node) applyConfig(raw []byte) {
	if len(raw) == 0 {
		return
	}
	cfg, err := n.opts.Topics.DecodeConfig(raw)
	if err != nil {
		n.recordAlarm(err)
		return
	}
	next := &configVersion{Config: cfg, record: raw}
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
	if l := n.term.Load(); l != nil {
		l.setConfig(cfg)
	}
}
