package structs

// JobState is the state of a whole job.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending"   // accepted, some task still to start
	JobRunning   JobState = "running"   // every task not ended is running
	JobComplete  JobState = "complete"  // every task ended well
	JobFailed    JobState = "failed"    // parked after failing everywhere
	JobCancelled JobState = "cancelled" // cancelled, nothing runs
)

// JobStatus is what the owner of a job knows of it.
type JobStatus struct {
	Job       Job      `json:"job"`
	State     JobState `json:"state"`
	Owner     string   `json:"owner"`
	Pending   int      `json:"pending"`
	Running   int      `json:"running"`
	Complete  int      `json:"complete"`
	Failed    int      `json:"failed"`
	Cancelled int      `json:"cancelled"`
	// StartedMs is when the last task first ran, in Unix milliseconds.
	StartedMs int64 `json:"started_ms,omitempty"`
	// MissesTarget says that the class's target has passed or can't be met.
	MissesTarget bool `json:"late"`
	// Reasons says in plain words why tasks wait or why the job was parked.
	Reasons []string `json:"reasons,omitempty"`
	Allocs  []Alloc  `json:"allocs,omitempty"`
}

// JobFilter selects jobs. Empty members match everything, but at least one must
// be set.
type JobFilter struct {
	ID    string `json:"id,omitempty"`
	Class string `json:"class,omitempty"`
	Team  string `json:"team,omitempty"`
}

// Validate refuses a filter that would match every job.
func (f JobFilter) Validate() error {
	if f == (JobFilter{}) {
		return NewError(CodeInvalid, "filter: name a job, a class or a team")
	}
	return nil
}

// Match reports whether the filter selects j.
func (f JobFilter) Match(j Job) bool {
	return (f.ID == "" || f.ID == j.ID) &&
		(f.Class == "" || f.Class == j.Class) &&
		(f.Team == "" || f.Team == j.Team)
}

// WorkerStatus is what a worker's owner knows of it.
type WorkerStatus struct {
	Worker    Worker    `json:"worker"`
	Owner     string    `json:"owner"`
	Used      Resources `json:"used"`
	SlotsUsed int       `json:"slots_used"`
	Tasks     int       `json:"tasks"`
	// InventoryRead is true once the inventory was read under the owner's epoch.
	InventoryRead bool `json:"known"`
	Reachable     bool `json:"reachable"`
	Leaving       bool `json:"leaving"`
	Probation     bool `json:"probation"`
	// FormerOwnerMayAssign is true while a former owner may still give the worker work, so that its
	// owner gives it none. It happens only where workers refuse no old epoch.
	FormerOwnerMayAssign bool `json:"former,omitempty"`
}

// MissedTarget is a class whose target is missed or will be.
type MissedTarget struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
	// AffectedCount is the number of requests or tasks concerned.
	AffectedCount int `json:"work"`
}

// EntryStatus is one entry's view of itself.
type EntryStatus struct {
	Member         Member         `json:"member"`
	Epoch          int64          `json:"epoch"`
	Group          string         `json:"group"`
	ConfigVersion  int64          `json:"config_version"`
	HasAuthority   bool           `json:"authority"`
	Draining       bool           `json:"draining"`
	LogAgeMs       int64          `json:"log_age_ms"`
	Workers        []WorkerStatus `json:"workers,omitempty"`
	JobsOwned      int            `json:"jobs_owned"`
	QueuedTasks    int            `json:"queued_tasks"`
	QueuedRequests int            `json:"queued_requests"`
	MissedTargets  []MissedTarget `json:"late,omitempty"`
	Alarms         []string       `json:"alarms,omitempty"`
}

// CellStatus is the view of a cell that one entry gathered from all.
type CellStatus struct {
	Members []Member      `json:"members"`
	Entries []EntryStatus `json:"entries"`
	// Unresponsive are members that did not answer.
	Unresponsive []string `json:"missing,omitempty"`
}
