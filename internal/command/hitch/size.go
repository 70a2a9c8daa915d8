package hitch

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"dotterelhitch/internal/structs"
)

// Conversion factors and upper limits of the resource flags.
const (
	milliPerCore = 1000
	mibPerGiB    = 1024
	maxCores     = 1 << 20
	maxMiB       = 1 << 40
)

// sizeFlags are the flags that give an amount of resources.
type sizeFlags struct {
	cpu          float64
	memory       string
	accelerators int64
}

func (f *sizeFlags) add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Float64Var(&f.cpu, "cpu", 0, "processors in cores, such as 2 or 0.5")
	flags.StringVar(&f.memory, "memory", "0MiB", "memory, such as 512MiB or 4GiB")
	flags.Int64Var(&f.accelerators, "accelerators", 0, "whole accelerators")
}

// resources returns the amount given by the flags, or an error of CodeInvalid.
func (f *sizeFlags) resources() (structs.Resources, error) {
	if f.cpu < 0 || f.cpu > maxCores || math.IsNaN(f.cpu) {
		return structs.Resources{}, structs.NewError(structs.CodeInvalid, "cpu %v: want 0 to %d cores", f.cpu, maxCores)
	}
	memory, err := parseMemory(f.memory)
	if err != nil {
		return structs.Resources{}, err
	}
	r := structs.Resources{
		CPUMilli:     int64(math.Round(f.cpu * milliPerCore)),
		MemoryMiB:    memory,
		Accelerators: f.accelerators,
	}
	if r.HasNegative() {
		return structs.Resources{}, structs.NewError(structs.CodeInvalid, "an amount must not be negative")
	}
	return r, nil
}

func parseMemory(s string) (int64, error) {
	digits, found := strings.CutSuffix(s, "MiB")
	factor := int64(1)
	if !found {
		digits, found = strings.CutSuffix(s, "GiB")
		factor = mibPerGiB
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if !found || err != nil || n < 0 || n > maxMiB {
		return 0, structs.NewError(structs.CodeInvalid, "memory %q: want a whole number with MiB or GiB", s)
	}
	return n * factor, nil
}

// resourcesText renders an amount for text output.
func resourcesText(r structs.Resources) string {
	text := fmt.Sprintf("%g cores, %d MiB", float64(r.CPUMilli)/milliPerCore, r.MemoryMiB)
	if r.Accelerators != 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}
