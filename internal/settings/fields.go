package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"dotterelhitch/internal/structs"
)

// field is a known key.
type field struct {
	key      string
	required bool
	set      func(item) error
}

// fields lists every known key with where its value goes.
func fields(e *Entry) []field {
	return []field{
		{"entry.id_prefix", false, text(&e.Identity.IDPrefix)},
		{"entry.region", true, text(&e.Identity.Region)},
		{"entry.domain", true, text(&e.Identity.Domain)},

		{"listen.caller", true, text(&e.Listen.Caller)},
		{"listen.operator", true, text(&e.Listen.Operator)},
		{"listen.peer", true, text(&e.Listen.Peer)},
		{"listen.metrics", true, text(&e.Listen.Metrics)},
		{"listen.advertise_peer", false, text(&e.Listen.AdvertisePeer)},
		{"listen.advertise_far", false, text(&e.Listen.AdvertiseCrossRegion)},

		{"platform.log", true, text(&e.Platform.LogURL)},
		{"platform.list", true, text(&e.Platform.ListURL)},

		{"auth.peer_keys", false, list((*[]string)(&e.Auth.PeerKeys))},
		{"auth.operator_keys", false, list((*[]string)(&e.Auth.OperatorKeys))},
		{"auth.platform_keys", false, list((*[]string)(&e.Auth.PlatformKeys))},
		{"auth.insecure", false, boolean(&e.Auth.Insecure)},

		{"regions.names", true, list(&e.Regions.Names)},
		{"regions.store_region", true, text(&e.Regions.StoreRegion)},
		{"regions.link_budget", false, quantity(&e.Regions.LinkBytesPerSecond, rateUnits)},

		{"limits.request_queue", false, integer(&e.Limits.RequestQueue)},
		{"limits.task_queue", false, integer(&e.Limits.TaskQueue)},
		{"limits.request_body", false, quantity(&e.Limits.RequestBytes, sizeUnits)},
		{"limits.answer_body", false, quantity(&e.Limits.AnswerBytes, sizeUnits)},
		{"limits.job_body", false, quantity(&e.Limits.JobBytes, sizeUnits)},
		{"limits.caller_connections", false, integer(&e.Limits.CallerConnections)},
		{"limits.operator_connections", false, integer(&e.Limits.OperatorConnections)},
		{"limits.peer_connections", false, integer(&e.Limits.PeerConnections)},

		{"timing.heartbeat", false, duration(&e.Timing.Heartbeat)},
		{"timing.renew", false, duration(&e.Timing.Renew)},
		{"timing.lease", false, duration(&e.Timing.Lease)},
		{"timing.authority", false, duration(&e.Timing.Authority)},
		{"timing.clock_margin", false, duration(&e.Timing.ClockMargin)},
		{"timing.append_linger", false, duration(&e.Timing.AppendLinger)},
		{"timing.snapshot", false, duration(&e.Timing.Snapshot)},
		{"timing.leaving_bound", false, duration(&e.Timing.LeavingBound)},
		{"timing.drain", false, duration(&e.Timing.Drain)},

		{"packing.learn", false, boolean(&e.Packing.LearnUsage)},
		{"worker_fencing", false, boolean(&e.WorkerFencing)},
		{"log.level", false, text(&e.LogLevel)},
		{"events.file", false, text(&e.EventsFile)},
	}
}

// assign stores every item in its field and reports unknown and missing keys.
func assign(doc *document, known []field, problems *Problems) {
	byKey := map[string]field{}
	for _, f := range known {
		byKey[f.key] = f
	}
	stated := map[string]bool{}
	for _, it := range doc.items {
		f, found := byKey[it.key]
		if !found {
			problems.add(doc.file, it.line, it.key, "unknown key")
			continue
		}
		stated[it.key] = true
		if err := f.set(it); err != nil {
			problems.add(doc.file, it.line, it.key, "%s", structs.AsError(err).Message)
		}
	}
	reportUnknownTables(doc, known, problems)
	for _, f := range known {
		if f.required && !stated[f.key] {
			problems.add(doc.file, 0, f.key, "missing")
		}
	}
}

func reportUnknownTables(doc *document, known []field, problems *Problems) {
	tables := map[string]bool{}
	for _, f := range known {
		table, _, _ := strings.Cut(f.key, ".")
		tables[table] = true
	}
	for name, line := range doc.tables {
		if !tables[name] {
			problems.add(doc.file, line, name, "unknown table")
		}
	}
}

func text(to *string) func(item) error {
	return func(it item) error {
		if it.kind != unstable.String {
			return structs.NewError(structs.CodeInvalid, "want a string")
		}
		*to = it.text
		return nil
	}
}

func list(to *[]string) func(item) error {
	return func(it item) error {
		if it.kind != unstable.Array || !it.allStrings {
			return structs.NewError(structs.CodeInvalid, "want a list of strings")
		}
		*to = it.list
		return nil
	}
}

func boolean(to *bool) func(item) error {
	return func(it item) error {
		if it.kind != unstable.Bool {
			return structs.NewError(structs.CodeInvalid, "want true or false")
		}
		*to = it.text == "true"
		return nil
	}
}

// maxCount bounds queue lengths and numbers of connections.
const maxCount = 10_000_000

func integer(to *int) func(item) error {
	return func(it item) error {
		n, err := strconv.Atoi(strings.ReplaceAll(it.text, "_", ""))
		if it.kind != unstable.Integer || err != nil || n < 1 || n > maxCount {
			return structs.NewError(structs.CodeInvalid, "want a whole number from 1 to %d", maxCount)
		}
		*to = n
		return nil
	}
}

func duration(to *time.Duration) func(item) error {
	return func(it item) error {
		d, err := time.ParseDuration(it.text)
		if it.kind != unstable.String || err != nil || d <= 0 {
			return structs.NewError(structs.CodeInvalid, "%q: want a positive duration with a unit, such as \"500ms\" or \"5s\"", it.text)
		}
		*to = d
		return nil
	}
}

func quantity(to *int64, units []unit) func(item) error {
	return func(it item) error {
		if it.kind != unstable.String {
			return structs.NewError(structs.CodeInvalid, "want a string: a whole number with a unit of %s", suffixes(units))
		}
		n, err := parseQuantity(it.text, units)
		if err != nil {
			return err
		}
		*to = n
		return nil
	}
}
