package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binDir holds the programs that the scripts run.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hitch-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	out, err := exec.Command("go", "build", "-o", dir+"/", "dotterelhitch/cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

func TestScripts(t *testing.T) {
	testscript.Run(t, Params(binDir, "testdata/script"))
}
