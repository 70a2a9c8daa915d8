package scheduler

import "dotterelhitch/internal/structs"

// TaskRef names one attempt to run a task.
type TaskRef struct {
	Task    structs.TaskID
	Attempt int
}
