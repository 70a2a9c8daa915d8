package scheduler

import "dotterelhitch/internal/structs"

// TaskRef identifies one attempt to run a task.
type TaskRef struct {
	Task    structs.TaskID
	Attempt int
}
