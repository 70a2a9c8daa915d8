package workersvc

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// lapsePrefix begins the detail of a TaskEnd event of a lapsed lease.
const lapsePrefix = "lease lapsed "

// lapseDetail says how long before now a lease lapsed. It is long only for a
// worker that was paused, which ran nothing in that time.
func lapseDetail(leaseEnd, now time.Time) string {
	return fmt.Sprintf("%s%dus before", lapsePrefix, now.Sub(leaseEnd).Microseconds())
}

// ParseLeaseLapse returns how long before a TaskEnd event its task's lease had
// lapsed; ok is false for a task that ended otherwise.
func ParseLeaseLapse(detail string) (before time.Duration, ok bool) {
	text, found := strings.CutPrefix(detail, lapsePrefix)
	if !found {
		return 0, false
	}
	us, err := strconv.ParseInt(strings.TrimSuffix(text, "us before"), 10, 64)
	if err != nil || us < 0 {
		return 0, false
	}
	return time.Duration(us) * time.Microsecond, true
}
