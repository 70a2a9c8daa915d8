package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string `json:"file"`
	// Line is zero where the fault is that something is missing.
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String renders the problem as "file:line: key: message".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, ": %s", p.Key)
	}
	fmt.Fprintf(&b, ": %s", p.Message)
	return b.String()
}

// Problems is the error of a file that can't be used: all of its faults.
type Problems struct {
	List []Problem
}

// Error implements error with one line a problem.
func (p *Problems) Error() string {
	lines := make([]string, len(p.List))
	for i, problem := range p.List {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p *Problems) add(file string, line int, key, format string, args ...any) {
	p.List = append(p.List, Problem{
		File:    file,
		Line:    line,
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

// sort orders problems by line, those of missing parts last.
func (p *Problems) sort() {
	slices.SortStableFunc(p.List, func(a, b Problem) int {
		if (a.Line == 0) != (b.Line == 0) {
			return cmp.Compare(b.Line, a.Line)
		}
		return cmp.Compare(a.Line, b.Line)
	})
}
