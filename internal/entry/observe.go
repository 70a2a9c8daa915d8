package entry

import (
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"

	"dotterelhitch/internal/httpx"
)

// observerMux serves metrics, profiles and health to the platform.
func (e *Entry) observerMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		e.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := e.Ready(); err != nil {
			httpx.WriteError(w, err)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	return mux
}

// registerMetrics adds the gauges of the control state and the byte counts.
func (e *Entry) registerMetrics() {
	gauge := func(name string, f func(c *core) float64) {
		e.metrics.NewGauge(name, func() (v float64) {
			e.do(func() { v = f(e.core) })
			return v
		})
	}
	gauge("hitch_workers_owned", func(c *core) float64 { return float64(len(c.fleet.Workers())) })
	gauge("hitch_jobs_owned", func(c *core) float64 { return float64(c.jobs.Len()) })
	gauge("hitch_tasks_waiting", func(c *core) float64 { return float64(c.jobs.PendingTasks()) })
	gauge("hitch_epoch", func(c *core) float64 { return float64(c.table.Epoch()) })
	gauge("hitch_config_version", func(c *core) float64 { return float64(c.control.ConfigVersion()) })
	counter := func(name string, f func() int64) {
		e.metrics.NewGauge(name, func() float64 { return float64(f()) })
	}
	counter(`hitch_peer_bytes{dir="out",link="local"}`, e.pool.LocalTraffic.Out.Load)
	counter(`hitch_peer_bytes{dir="in",link="local"}`, e.pool.LocalTraffic.In.Load)
	counter(`hitch_peer_bytes{dir="out",link="cross"}`, e.pool.CrossRegionTraffic.Out.Load)
	counter(`hitch_peer_bytes{dir="in",link="cross"}`, e.pool.CrossRegionTraffic.In.Load)
	counter(`hitch_platform_bytes{dir="out"}`, e.platformTraffic.Out.Load)
	counter(`hitch_platform_bytes{dir="in"}`, e.platformTraffic.In.Load)
	counter(`hitch_worker_bytes{dir="out"}`, e.workerTraffic.Out.Load)
	counter(`hitch_worker_bytes{dir="in"}`, e.workerTraffic.In.Load)
	counter(`hitch_peer_bytes{dir="out",link="served"}`, e.inbound.Out.Load)
	counter(`hitch_peer_bytes{dir="in",link="served"}`, e.inbound.In.Load)
}
