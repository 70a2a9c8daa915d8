package standin

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"dotterelhitch/internal/event"
	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/standin"
	"dotterelhitch/internal/standin/relay"
	"dotterelhitch/internal/structs"
)

// bitsPerMbit converts the bandwidth flag.
const bitsPerMbit = 1e6

const relayLong = `Relays TCP connections over one link with delay and limited bandwidth, which all
routes share. The admin address takes:

  POST /admin/cut        reset all connections, and new ones until heal
  POST /admin/silence    open connections carry nothing for good, new ones work
  POST /admin/blackhole  the same for new ones too, until heal
  POST /admin/heal       new connections work again
  POST /admin/shape      {"delay_ms":8,"bits_per_second":30000000}
  GET  /admin/status     state, bytes each way, connections

In the address file the routes are named route0, route1 and so on, the back routes
back0, back1 and so on, and the admin address admin.`

// relayFlags are the flags of the relay subcommand.
type relayFlags struct {
	routes     []string
	backRoutes []string
	admin      string
	delay      time.Duration
	mbit       float64
}

func newRelay(common *commonFlags) *cobra.Command {
	f := &relayFlags{}
	cmd := &cobra.Command{
		Use:     "relay",
		Short:   "Run a TCP relay with delay, bandwidth limit, cut and silence",
		Long:    relayLong,
		Example: "  hitch-standin relay --route 127.0.0.1:0=127.0.0.1:4000 --delay 8ms --mbit 30",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.run(cmd, common)
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&f.routes, "route", nil, "`LISTEN=TARGET` addresses of a route; may be given several times")
	flags.StringArrayVar(&f.backRoutes, "back-route", nil, "`LISTEN=TARGET` addresses of a route for callers at the other end of the link")
	flags.StringVar(&f.admin, "admin", defaultListen, "`ADDRESS` of the admin interface")
	flags.DurationVar(&f.delay, "delay", 0, "one-way delay")
	flags.Float64Var(&f.mbit, "mbit", 0, "bandwidth each way in Mbit/s; 0 is no limit")
	_ = cmd.MarkFlagRequired("route")
	return cmd
}

func (f *relayFlags) shape() relay.Shape {
	return relay.Shape{
		DelayMs:       float64(f.delay) / float64(time.Millisecond),
		BitsPerSecond: f.mbit * bitsPerMbit,
	}
}

func (f *relayFlags) run(cmd *cobra.Command, common *commonFlags) error {
	if err := f.shape().Validate(); err != nil {
		return err
	}
	o, closeEvents, err := common.options()
	if err != nil {
		return err
	}
	defer closeEvents()
	r := relay.New(f.shape(), event.NewRecorder("relay", &event.Clock{}, o.Events))
	defer r.Close()
	addrs, err := addRoutes("route", f.routes, r.AddRoute)
	if err != nil {
		return err
	}
	backs, err := addRoutes("back", f.backRoutes, r.AddReverseRoute)
	if err != nil {
		return err
	}
	addrs = append(addrs, backs...)
	l, err := net.Listen("tcp", f.admin)
	if err != nil {
		return errors.Annotatef(err, "listening on %s", f.admin)
	}
	srv := httpx.NewServer(o.Keys.Require(r.Admin()))
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	addrs = append(addrs, standin.Address{Name: "admin", Addr: l.Addr().String()})
	if err := common.announce(cmd.OutOrStdout(), addrs); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return nil
}

// addRoutes adds routes and names their addresses.
func addRoutes(name string, routes []string, add func(listen, target string) (string, error)) ([]standin.Address, error) {
	var addrs []standin.Address
	for i, route := range routes {
		listen, target, found := strings.Cut(route, "=")
		if !found {
			return nil, structs.NewError(structs.CodeInvalid, "route %q: want LISTEN=TARGET", route)
		}
		addr, err := add(listen, target)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, standin.Address{Name: fmt.Sprintf("%s%d", name, i), Addr: addr})
	}
	return addrs, nil
}
