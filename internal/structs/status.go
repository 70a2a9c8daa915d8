package structs

// JobState is the state of a whole job.
type JobState string

// The states of a job.
const (
	JobPending   JobState = "pending"   // accepted, some task has not started
	JobRunning   JobState = "running"   // every task that has not ended is running
	JobComplete  JobState = "complete"  // every task ended successfully
	JobFailed    JobState = "failed"    // no longer scheduled: it failed on every worker tried
	JobCancelled JobState = "cancelled" // cancelled, no task runs
)

// JobStatus is a job's state as its owner reports it.
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
	// MissesTarget is true if the job has missed its class's target or can't meet it.
	MissesTarget bool `json:"late"`
	// Reasons explains for the operator why tasks wait or why the job is no longer
	// scheduled.
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

// WorkerStatus is a worker's state as its owner reports it.
type WorkerStatus struct {
	Worker    Worker    `json:"worker"`
	Owner     string    `json:"owner"`
	Used      Resources `json:"used"`
	SlotsUsed int       `json:"slots_used"`
	Tasks     int       `json:"tasks"`
	// InventoryRead is true once the owner has read the inventory under its epoch.
	InventoryRead bool `json:"known"`
	Reachable     bool `json:"reachable"`
	Leaving       bool `json:"leaving"`
	Probation     bool `json:"probation"`
	// FormerOwnerMayAssign is true while a former owner may still assign work to the
	// worker; until then its owner assigns none. This occurs only on platforms whose
	// workers do not reject commands of older epochs.
	FormerOwnerMayAssign bool `json:"former,omitempty"`
}

// MissedTarget is a class whose target is missed or will be missed.
type MissedTarget struct {
	Class  string `json:"class"`
	Reason string `json:"reason"`
	// AffectedCount is the number of affected requests or tasks.
	AffectedCount int `json:"work"`
}

// EntryStatus is the state that one entry reports for itself.
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

// CellStatus is the state of a cell that one entry collected from all entries.
type CellStatus struct {
	Members []Member      `json:"members"`
	Entries []EntryStatus `json:"entries"`
	// Unresponsive are members that did not answer.
	Unresponsive []string `json:"missing,omitempty"`
}
