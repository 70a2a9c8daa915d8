package cli

import "dotterelhitch/internal/structs"

// The exit codes of every program; docs/CLI.md lists them for users.
const (
	ExitOK           = 0
	ExitInternal     = 1
	ExitUsage        = 2
	ExitConflict     = 3 // another change was accepted first
	ExitNotFound     = 4
	ExitNotRun       = 5 // refused: certainly not run
	ExitUnknown      = 6 // may have run
	ExitUnavailable  = 7 // no server answered in time
	ExitUnauthorized = 8
	ExitFailed       = 9 // the work, the check or the run itself failed
)

// exitCodes maps the type of a failure to an exit code.
var exitCodes = map[structs.Code]int{
	structs.CodeInvalid:      ExitUsage,
	structs.CodeTooLarge:     ExitUsage,
	structs.CodeKeyReused:    ExitUsage,
	structs.CodeConflict:     ExitConflict,
	structs.CodeNotFound:     ExitNotFound,
	structs.CodeOverload:     ExitNotRun,
	structs.CodeNoCapacity:   ExitNotRun,
	structs.CodeNeverFits:    ExitNotRun,
	structs.CodeQuota:        ExitNotRun,
	structs.CodeDraining:     ExitNotRun,
	structs.CodeLeaving:      ExitNotRun,
	structs.CodeInProgress:   ExitUnknown,
	structs.CodeTruncated:    ExitUnknown,
	structs.CodeUnknown:      ExitUnknown,
	structs.CodeDeadline:     ExitUnavailable,
	structs.CodeUnavailable:  ExitUnavailable,
	structs.CodeUnauthorized: ExitUnauthorized,
	CodeFailed:               ExitFailed,
	CodeNotRun:               ExitNotRun,
}

// The types of failure that arise in a command only.
const (
	// CodeFailed means that the work or the check that a command reports on failed:
	// a job that failed, settings with problems, a violated invariant.
	CodeFailed structs.Code = "failed"
	// CodeNotRun means that a request certainly was not run.
	CodeNotRun structs.Code = "not_run"
)

// ExitCode returns the exit code for err: ExitOK for nil, ExitInternal for a code
// that exitCodes doesn't list.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if code, found := exitCodes[structs.CodeOf(err)]; found {
		return code
	}
	return ExitInternal
}
