package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"dotterelhitch/internal/standin"
)

// eventFileMode is the mode of a new event log.
const eventFileMode = 0o644

// drainTimeout is the time limit of a graceful shutdown.
const drainTimeout = 2 * time.Minute

// commonFlags are the flags of every subcommand.
type commonFlags struct {
	events   string
	addrFile string
	keyFiles []string
}

func (f *commonFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.events, "events", "", "append the JSON event log to this `FILE`")
	flags.StringVar(&f.addrFile, "addr-file", "", "write the addresses as JSON to this `FILE` once all listen")
	flags.StringArrayVar(&f.keyFiles, "key-file", nil, "`FILE` with an accepted shared key; may be given several times; without it authentication is off")
}

// ready is the line that a stand-in prints once it listens.
type ready struct {
	Type      string            `json:"type"`
	Addresses []standin.Address `json:"addresses"`
}

// announce prints the ready line and writes the address file.
func (f *commonFlags) announce(out io.Writer, addrs []standin.Address) error {
	line, err := json.Marshal(ready{Type: "ready", Addresses: addrs})
	if err != nil {
		return errors.Trace(err)
	}
	line = append(line, '\n')
	if f.addrFile != "" {
		if err := writeAtomically(f.addrFile, line); err != nil {
			return errors.Annotate(err, "writing the address file")
		}
	}
	_, err = out.Write(line)
	return errors.Trace(err)
}

// writeAtomically writes a file through a temporary file and a rename, so that a reader
// never sees partial content.
func writeAtomically(path string, content []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = tmp.Write(content)
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		_ = os.Remove(tmp.Name())
	}
	return err
}

// options opens the event log and reads the keys. The returned function closes the
// event log.
func (f *commonFlags) options() (standin.Options, func(), error) {
	var o standin.Options
	for _, path := range f.keyFiles {
		b, err := os.ReadFile(path)
		if err != nil {
			return o, nil, errors.Annotate(err, "reading a key file")
		}
		o.Keys = append(o.Keys, string(bytes.TrimSpace(b)))
	}
	if f.events == "" {
		return o, func() {}, nil
	}
	file, err := os.OpenFile(f.events, os.O_CREATE|os.O_APPEND|os.O_WRONLY, eventFileMode)
	if err != nil {
		return o, nil, errors.Annotate(err, "opening the event log")
	}
	o.Events = file
	return o, func() { _ = file.Close() }, nil
}

// runCell starts stand-ins, announces their addresses and waits for a signal or, if
// the cell has only workers, until all of them have ended.
func (f *commonFlags) runCell(cmd *cobra.Command, listBase string, start func(*standin.Cell) error) error {
	o, closeEvents, err := f.options()
	if err != nil {
		return err
	}
	defer closeEvents()
	o.ListBase = listBase
	cell := standin.NewCell(o)
	defer cell.Close()
	if err := start(cell); err != nil {
		return err
	}
	if err := f.announce(cmd.OutOrStdout(), cell.Addresses()); err != nil {
		return err
	}
	select {
	case <-cmd.Context().Done():
	case <-cell.AllWorkersDone():
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	cell.Shutdown(ctx)
	return nil
}
