package scenario

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"dotterelhitch/internal/structs"
)

// readyWithin bounds how long an entry takes to serve.
const readyWithin = 60 * time.Second

// startStandins: standins TOPOLOGY. It starts the log service, the list and the
// workers of the file in one process.
func startStandins(r *run, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("standins TOPOLOGY")
	}
	p, err := r.startStandin("standins", "all", "--topology", ts.MkAbs(args[1]))
	if err != nil {
		return err
	}
	r.standins = p
	ts.Setenv("LOG", p.addrs["log"])
	ts.Setenv("LIST", p.addrs["list"])
	return nil
}

// startWorker: worker ID [via=RELAY] [FLAG...]. It starts one worker in a process
// of its own, reached through a new relay if one is named.
func startWorker(r *run, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 || r.standins == nil {
		return usage("standins first, then: worker ID [via=RELAY] [FLAG...]")
	}
	id, flags := args[1], args[2:]
	var via []string
	if len(flags) > 0 && strings.HasPrefix(flags[0], "via=") {
		port, addr, err := r.relayToFreePort(strings.TrimPrefix(flags[0], "via="))
		if err != nil {
			return err
		}
		flags = flags[1:]
		via = []string{"--port", port, "--advertise", addr}
	}
	all := append([]string{"worker", "--id", id, "--list", "http://" + r.standins.addrs["list"]}, flags...)
	p, err := r.startStandin(id, append(all, via...)...)
	if err != nil {
		return err
	}
	p.worker = id
	return nil
}

// startRelay: relay NAME TARGET. TARGET is log, list, a worker's name or an address.
func startRelay(r *run, _ *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return usage("relay NAME TARGET")
	}
	target, err := r.address(args[2])
	if err != nil {
		return err
	}
	_, err = r.startStandin(args[1], "relay", "--route", "127.0.0.1:0="+target)
	return err
}

// relayToFreePort starts a relay to a port that is free and returns the port and
// the relay's address. The port is held until the relay has its own.
func (r *run) relayToFreePort(name string) (port, addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", "", errors.Trace(err)
	}
	defer l.Close()
	target := l.Addr().String()
	p, err := r.startStandin(name, "relay", "--route", "127.0.0.1:0="+target)
	if err != nil {
		return "", "", err
	}
	_, port, err = net.SplitHostPort(target)
	return port, p.addrs["route0"], errors.Trace(err)
}

// address resolves log, list, the name of a relay or worker, or host:port.
func (r *run) address(name string) (string, error) {
	if r.standins != nil && r.standins.addrs[name] != "" {
		return r.standins.addrs[name], nil
	}
	if p, ok := r.procs[name]; ok {
		for _, key := range []string{"route0", name, peerAddr} {
			if p.addrs[key] != "" {
				return p.addrs[key], nil
			}
		}
	}
	if _, _, err := net.SplitHostPort(name); err != nil {
		return "", structs.NewError(structs.CodeNotFound, "no address of %q", name)
	}
	return name, nil
}

// entryOptions are the NAME=VALUE arguments of the entry command.
type entryOptions struct {
	log, list, via, extra string
}

func parseEntryOptions(args []string) (entryOptions, error) {
	o := entryOptions{log: "log", list: "list"}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "log":
			o.log = value
		case "list":
			o.list = value
		case "via":
			o.via = value
		case "extra":
			o.extra = value
		default:
			return o, usage("option " + arg)
		}
	}
	return o, nil
}

const entrySettings = `[entry]
id_prefix = %q
region = %q
domain = %q
[listen]
caller = "127.0.0.1:0"
operator = "127.0.0.1:0"
peer = %q
metrics = "127.0.0.1:0"
advertise_peer = %q
[platform]
log = "http://%s"
list = "http://%s"
[auth]
insecure = true
[regions]
names = ["casa", "fes"]
store_region = "casa"
[log]
level = "info"
[events]
file = %q
`

// startEntry: entry NAME REGION DOMAIN [log=RELAY] [list=RELAY] [via=RELAY]
// [extra=FILE]. It starts an entry whose peers reach it through a new relay if via
// names one; extra is TOML that is added to its settings.
func startEntry(r *run, ts *testscript.TestScript, args []string) error {
	if len(args) < 4 {
		return usage("entry NAME REGION DOMAIN [log=RELAY] [list=RELAY] [via=RELAY] [extra=FILE]")
	}
	o, err := parseEntryOptions(args[4:])
	if err != nil {
		return err
	}
	name := args[1]
	settings, err := r.writeSettings(ts, name, args[2], args[3], o)
	if err != nil {
		return err
	}
	p, err := r.startEntryProcess(name, settings)
	if err != nil {
		return err
	}
	r.noteEntry(ts, p)
	return nil
}

func (r *run) writeSettings(ts *testscript.TestScript, name, region, domain string, o entryOptions) (string, error) {
	log, err := r.address(o.log)
	if err != nil {
		return "", err
	}
	list, err := r.address(o.list)
	if err != nil {
		return "", err
	}
	peer, advertise := "127.0.0.1:0", "127.0.0.1:0"
	if o.via != "" {
		port, addr, err := r.relayToFreePort(o.via)
		if err != nil {
			return "", err
		}
		peer, advertise = "127.0.0.1:"+port, addr
	}
	text := fmt.Sprintf(entrySettings, name, region, domain, peer, advertise, log, list, r.eventFile(name))
	if o.extra != "" {
		text += ts.ReadFile(o.extra)
	}
	path := filepath.Join(r.work, name+".toml")
	return path, errors.Trace(os.WriteFile(path, []byte(text), 0o644))
}

// noteEntry makes the entry known to the commands of the script: its member ID as
// $NAME_MEMBER, its addresses to the hitch command line.
func (r *run) noteEntry(ts *testscript.TestScript, p *process) {
	r.entries = append(r.entries, p.name)
	ts.Setenv(p.name+"_MEMBER", p.member)
	ts.Setenv(p.name+"_CALLER", p.addrs[callerAddr])
	ts.Setenv(p.name+"_OPERATOR", p.addrs[operatorAddr])
	var callers, operators []string
	for _, name := range r.entries {
		callers = append(callers, r.procs[name].addrs[callerAddr])
		operators = append(operators, r.procs[name].addrs[operatorAddr])
	}
	ts.Setenv("HITCH_CALLER", strings.Join(callers, ","))
	ts.Setenv("HITCH_OPERATOR", strings.Join(operators, ","))
}

// awaitReady: ready NAME... It waits until the entries serve.
func awaitReady(r *run, _ *testscript.TestScript, args []string) error {
	for _, name := range args[1:] {
		p, err := r.find(name)
		if err != nil {
			return err
		}
		if err := p.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyWithin)
	for time.Now().Before(deadline) {
		resp, err := client.Get("http://" + p.addrs[metricsAddr] + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollEvery)
	}
	return structs.NewError(structs.CodeDeadline, "%s is not ready in %v", p.name, readyWithin)
}

func usage(text string) error {
	return structs.NewError(structs.CodeInvalid, "usage: %s", text)
}

// until: until BOUND PROGRAM ARG... It runs a program again until it succeeds.
func until(_ *run, ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return usage("until BOUND PROGRAM ARG...")
	}
	bound, err := time.ParseDuration(args[1])
	if err != nil {
		return usage("until BOUND PROGRAM ARG...")
	}
	deadline := time.Now().Add(bound)
	for {
		err := ts.Exec(args[2], args[3:]...)
		if err == nil || time.Now().After(deadline) {
			return errors.Annotatef(err, "%s within %v", args[2], bound)
		}
		time.Sleep(pollEvery)
	}
}

// capture: capture VARIABLE REGEXP. It sets a variable to the first group in the
// output of the last program.
func capture(_ *run, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return usage("capture VARIABLE REGEXP")
	}
	re, err := regexp.Compile(args[2])
	if err != nil || re.NumSubexp() < 1 {
		return usage("capture VARIABLE REGEXP, with a group")
	}
	found := re.FindStringSubmatch(ts.ReadFile("stdout"))
	if found == nil {
		return structs.NewError(structs.CodeNotFound, "no %s in the output", args[2])
	}
	ts.Setenv(args[1], found[1])
	return nil
}
