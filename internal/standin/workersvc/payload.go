package workersvc

import (
	"slices"
	"strconv"
	"strings"

	"dotterelhitch/internal/structs"
)

// maxFactor bounds the factors that a payload may state.
const maxFactor = 1000

// payload is how a task behaves. Its text is words with spaces between:
//
//	fail               the task fails
//	fail-on:w1,w2      the task fails on these workers
//	usage:cpu=1,mem=1  what it uses as a factor of its granted size
//	use:cpu=500,mem=300,spread=0.3,seed=7,grow=200
//	                   what it uses whatever it is granted; see trueUse
//	run:2.5            its run time as a factor of the declared one
//	checkpoint         it can save its progress when it is stopped
//
// Words of any other form are ignored.
type payload struct {
	fail       bool
	failOn     []string
	cpuFactor  float64
	memFactor  float64
	runFactor  float64
	checkpoint bool
	// use is nil for a task that uses factors of its granted size.
	use *trueUse
}

func parsePayload(text string) payload {
	p := payload{cpuFactor: 1, memFactor: 1, runFactor: 1}
	for word := range strings.FieldsSeq(text) {
		name, value, _ := strings.Cut(word, ":")
		switch name {
		case "fail":
			p.fail = true
		case "fail-on":
			p.failOn = strings.Split(value, ",")
		case "usage":
			p.parseUsage(value)
		case "use":
			p.use = parseUse(value)
		case "run":
			p.runFactor = factor(value)
		case "checkpoint":
			p.checkpoint = true
		}
	}
	return p
}

func (p *payload) parseUsage(text string) {
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		switch name {
		case "cpu":
			p.cpuFactor = factor(value)
		case "mem":
			p.memFactor = factor(value)
		}
	}
}

// factor reads a factor between 0 and maxFactor, 1 for anything else.
func factor(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= maxFactor) {
		return 1
	}
	return f
}

func (p payload) failsOn(worker string) bool {
	return p.fail || slices.Contains(p.failOn, worker)
}

// usage returns what a task of the given size uses under a throttle.
func (p payload) usage(size structs.Resources, cpuPercent int) structs.Resources {
	cpu := float64(size.CPUMilli) * p.cpuFactor
	bound := float64(size.CPUMilli) * float64(cpuPercent) / fullPercent
	if cpuPercent < fullPercent {
		cpu = min(cpu, bound)
	}
	return structs.Resources{
		CPUMilli:     int64(cpu),
		MemoryMiB:    int64(float64(size.MemoryMiB) * p.memFactor),
		Accelerators: size.Accelerators,
	}
}
