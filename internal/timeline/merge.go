package timeline

import (
	"cmp"
	"slices"

	"dotterelhitch/internal/event"
)

// Merge returns the events of all logs in the order of the hybrid logical clock.
// Events with the same clock reading are ordered by process and sequence number, so
// that every merge gives the same order.
func Merge(logs ...*Log) []event.Event {
	var all []event.Event
	for _, log := range logs {
		all = append(all, log.Events...)
	}
	slices.SortStableFunc(all, compareEvents)
	return all
}

func compareEvents(a, b event.Event) int {
	return cmp.Or(
		cmp.Compare(a.Time.Micros, b.Time.Micros),
		cmp.Compare(a.Time.Counter, b.Time.Counter),
		cmp.Compare(a.Proc, b.Proc),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// ReadFiles reads and merges the logs at the given paths.
func ReadFiles(paths []string) ([]event.Event, []*Log, error) {
	logs := make([]*Log, 0, len(paths))
	for _, path := range paths {
		log, err := ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		logs = append(logs, log)
	}
	return Merge(logs...), logs, nil
}
