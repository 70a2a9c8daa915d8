package standin

import (
	"bytes"
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"dotterelhitch/internal/structs"
)

// Bounds and units of a topology.
const (
	maxWorkersPerGroup = 10000
	milliPerCore       = 1000
	mibPerGiB          = 1024
)

// Topology describes the stand-ins of one cell, as a TOML file holds it.
type Topology struct {
	Log     LogSettings   `toml:"log"`
	List    ListSettings  `toml:"list"`
	Workers []WorkerGroup `toml:"workers"`
}

// LogSettings describes the log service.
type LogSettings struct {
	// Listen is host:port; the port may be 0.
	Listen string `toml:"listen"`
	// AppendsPerSecond limits the appends; zero is no limit.
	AppendsPerSecond float64 `toml:"appends_per_second"`
	// Retention is how long a record is kept; zero is for ever.
	Retention structs.Duration `toml:"retention"`
	// Delay is added to every call.
	Delay structs.Duration `toml:"delay"`
}

// ListSettings describes the instance list.
type ListSettings struct {
	// Listen is host:port; the port may be 0.
	Listen string `toml:"listen"`
	// Lag is how long a change takes to show.
	Lag structs.Duration `toml:"lag"`
}

// WorkerGroup describes equal workers in one failure domain.
type WorkerGroup struct {
	// Prefix begins the workers' names; a number follows.
	Prefix string `toml:"prefix"`
	// Name is the whole name instead, for a group of one.
	Name  string `toml:"name"`
	Count int    `toml:"count"`
	// Host is the address on which the workers listen.
	Host string `toml:"host"`
	// Port is the first worker's port and rises by one; 0 takes any free one.
	Port int `toml:"port"`
	// Advertise is the address that the list gives for a group of one, such as
	// that of a relay; empty gives the worker's own.
	Advertise    string  `toml:"advertise"`
	Region       string  `toml:"region"`
	Domain       string  `toml:"domain"`
	RackSize     int     `toml:"rack_size"`
	Cores        float64 `toml:"cores"`
	MemoryGiB    float64 `toml:"memory_gib"`
	Accelerators int64   `toml:"accelerators"`
	Slots        int     `toml:"slots"`
	Connections  int     `toml:"connections"`
	// ServiceTime is how long a request runs that states no time.
	ServiceTime structs.Duration `toml:"service_time"`
	// UsageLag is how long after a task's start its usage shows.
	UsageLag structs.Duration `toml:"usage_lag"`
}

// ReadTopology reads and checks a topology file.
func ReadTopology(path string) (Topology, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Topology{}, errors.Annotate(err, "reading the topology")
	}
	return ParseTopology(b)
}

// ParseTopology reads and checks a topology. Unknown keys are refused.
func ParseTopology(b []byte) (Topology, error) {
	var t Topology
	dec := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		return Topology{}, structs.NewError(structs.CodeInvalid, "topology: %s", tomlDetail(err))
	}
	t.setDefaults()
	return t, t.Validate()
}

func tomlDetail(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return strict.String()
	}
	return err.Error()
}

// Defaults of a topology.
const (
	anyPort            = "127.0.0.1:0"
	loopback           = "127.0.0.1"
	defaultRackSize    = 8
	defaultSlots       = 8
	defaultConnections = 64
)

func (t *Topology) setDefaults() {
	setDefault(&t.Log.Listen, anyPort)
	setDefault(&t.List.Listen, anyPort)
	for i := range t.Workers {
		t.Workers[i].SetDefaults()
	}
}

// SetDefaults fills in what the group does not state.
func (g *WorkerGroup) SetDefaults() {
	setDefault(&g.Host, loopback)
	setDefault(&g.RackSize, defaultRackSize)
	setDefault(&g.Slots, defaultSlots)
	setDefault(&g.Connections, defaultConnections)
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Validate checks every group.
func (t Topology) Validate() error {
	if t.Log.AppendsPerSecond < 0 || t.Log.Retention < 0 || t.Log.Delay < 0 || t.List.Lag < 0 {
		return structs.NewError(structs.CodeInvalid, "topology: a rate or time must not be negative")
	}
	for _, g := range t.Workers {
		if err := g.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate checks one group.
func (g WorkerGroup) Validate() error {
	if g.Count < 1 || g.Count > maxWorkersPerGroup {
		return structs.NewError(structs.CodeInvalid, "workers %q: count %d: want 1 to %d", g.Prefix, g.Count, maxWorkersPerGroup)
	}
	for _, name := range []string{g.workerID(g.Count - 1), g.Region, g.Domain} {
		if !structs.ValidName(name) {
			return structs.NewError(structs.CodeInvalid, "workers %q: name %q of worker, region or domain: want 1 to 63 of a-z 0-9 . _ -", g.Prefix, name)
		}
	}
	if g.Size().HasNegative() || g.Size().IsZero() {
		return structs.NewError(structs.CodeInvalid, "workers %q: want cores, memory_gib or accelerators", g.Prefix)
	}
	if g.RackSize < 1 || g.Slots < 0 || g.Connections < 0 || g.ServiceTime < 0 || g.UsageLag < 0 {
		return structs.NewError(structs.CodeInvalid, "workers %q: rack_size, slots, connections and times must not be negative", g.Prefix)
	}
	return nil
}

// Size returns what each worker of the group has.
func (g WorkerGroup) Size() structs.Resources {
	return structs.Resources{
		CPUMilli:     int64(g.Cores * milliPerCore),
		MemoryMiB:    int64(g.MemoryGiB * mibPerGiB),
		Accelerators: g.Accelerators,
	}
}

func (g WorkerGroup) workerID(i int) string {
	if g.Name != "" && g.Count == 1 {
		return g.Name
	}
	return fmt.Sprintf("%s%d", g.Prefix, i)
}

// worker returns the description of worker i, listening at addr.
func (g WorkerGroup) worker(i int, addr string) structs.Worker {
	if g.Advertise != "" && g.Count == 1 {
		addr = g.Advertise
	}
	return structs.Worker{
		ID:          g.workerID(i),
		Addr:        addr,
		Region:      g.Region,
		Domain:      g.Domain,
		Rack:        fmt.Sprintf("%s-r%d", g.Domain, i/g.RackSize),
		Size:        g.Size(),
		Slots:       g.Slots,
		Connections: g.Connections,
		State:       structs.WorkerLive,
	}
}

// listen returns where worker i listens.
func (g WorkerGroup) listen(i int) string {
	port := 0
	if g.Port > 0 {
		port = g.Port + i
	}
	return fmt.Sprintf("%s:%d", g.Host, port)
}
