package settings

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"

	"dotterelhitch/internal/httpx"
	"dotterelhitch/internal/structs"
)

// Bounds of single values.
const (
	minKeyBytes     = 16
	minHeartbeat    = 10 * time.Millisecond
	heartbeatsLease = 3
	renewalsLease   = 4
	heartbeatsAuth  = 2
)

// checker reports the faults of values that stand in the file.
type checker struct {
	entry    *Entry
	doc      *document
	problems *Problems
}

// check reports every broken rule between and within values.
func check(e *Entry, doc *document, problems *Problems) {
	c := &checker{entry: e, doc: doc, problems: problems}
	c.identity()
	c.listen()
	c.platform()
	c.auth()
	c.regions()
	c.limits()
	c.timing()
	c.log()
}

// report adds a problem at the first stated of the keys.
func (c *checker) report(format string, args []any, keys ...string) {
	for _, key := range keys {
		if line := c.doc.line(key); line > 0 {
			c.problems.add(c.doc.file, line, key, format, args...)
			return
		}
	}
	c.problems.add(c.doc.file, 0, keys[0], format, args...)
}

func (c *checker) identity() {
	c.name("entry.id_prefix", c.entry.Identity.IDPrefix)
	c.name("entry.region", c.entry.Identity.Region)
	c.name("entry.domain", c.entry.Identity.Domain)
}

// name checks a name that is stated.
func (c *checker) name(key, value string) {
	if c.doc.line(key) > 0 && !structs.ValidName(value) {
		c.report("%q: want 1 to 63 of a-z 0-9 . _ -", []any{value}, key)
	}
}

func (c *checker) listen() {
	c.address("listen.caller", c.entry.Listen.Caller)
	c.address("listen.operator", c.entry.Listen.Operator)
	c.address("listen.peer", c.entry.Listen.Peer)
	c.address("listen.metrics", c.entry.Listen.Metrics)
	c.address("listen.advertise_peer", c.entry.Listen.AdvertisePeer)
	c.address("listen.advertise_far", c.entry.Listen.AdvertiseCrossRegion)
	host, _, err := net.SplitHostPort(c.entry.Listen.AdvertisePeer)
	if err == nil && (host == "" || net.ParseIP(host).IsUnspecified()) {
		c.report("%q: other entries can't dial it; state a host", []any{c.entry.Listen.AdvertisePeer}, "listen.advertise_peer", "listen.peer")
	}
}

func (c *checker) address(key, value string) {
	if c.doc.line(key) == 0 {
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.report("%q: want host:port", []any{value}, key)
		return
	}
	if host != "" && net.ParseIP(host) == nil {
		c.report("%q: want an IP number as the host", []any{value}, key)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		c.report("%q: want a port number", []any{value}, key)
	}
}

func (c *checker) platform() {
	c.baseURL("platform.log", c.entry.Platform.LogURL)
	c.baseURL("platform.list", c.entry.Platform.ListURL)
}

func (c *checker) baseURL(key, value string) {
	if c.doc.line(key) == 0 {
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || (u.Path != "" && u.Path != "/") {
		c.report("%q: want a base URL such as \"http://10.0.0.1:7000\"", []any{value}, key)
	}
}

func (c *checker) auth() {
	auth := c.entry.Auth
	c.keys("auth.peer_keys", auth.PeerKeys)
	c.keys("auth.operator_keys", auth.OperatorKeys)
	c.keys("auth.platform_keys", auth.PlatformKeys)
}

func (c *checker) keys(key string, keys httpx.Keys) {
	if len(keys) == 0 && !c.entry.Auth.Insecure {
		c.report("missing: state a key, or auth.insecure = true to run without", nil, key)
	}
	for _, k := range keys {
		if len(k) < minKeyBytes {
			c.report("a key of %d bytes: want at least %d", []any{len(k), minKeyBytes}, key)
		}
	}
}

func (c *checker) regions() {
	regions := c.entry.Regions
	seen := map[string]bool{}
	for _, name := range regions.Names {
		c.name("regions.names", name)
		if seen[name] {
			c.report("%q is named twice", []any{name}, "regions.names")
		}
		seen[name] = true
	}
	c.known("regions.store_region", regions.StoreRegion)
	c.known("entry.region", c.entry.Identity.Region)
}

// known checks that a stated region is one of the cell's.
func (c *checker) known(key, region string) {
	names := c.entry.Regions.Names
	if c.doc.line(key) == 0 || len(names) == 0 {
		return
	}
	if !slices.Contains(names, region) {
		c.report("%q is not in regions.names", []any{region}, key)
	}
}

func (c *checker) limits() {
	limits := c.entry.Limits
	c.atMost("limits.request_body", limits.RequestBytes, structs.MaxRequestBytes)
	c.atMost("limits.answer_body", limits.AnswerBytes, structs.MaxAnswerBytes)
	c.atMost("limits.job_body", limits.JobBytes, httpx.MaxJSONBytes)
	if c.entry.Regions.LinkBytesPerSecond < 1 {
		c.report("want more than nothing", nil, "regions.link_budget")
	}
}

func (c *checker) atMost(key string, bytes, limit int64) {
	if bytes < 1 || bytes > limit {
		c.report("%d bytes: want 1 to %d", []any{bytes, limit}, key)
	}
}

func (c *checker) timing() {
	t := c.entry.Timing
	c.relation(t.Heartbeat >= minHeartbeat,
		"must be at least 10ms", "timing.heartbeat")
	c.relation(t.Lease > heartbeatsLease*t.Heartbeat,
		"timing.lease must be more than 3 times timing.heartbeat", "timing.lease", "timing.heartbeat")
	c.relation(t.Lease > renewalsLease*t.Renew,
		"timing.lease must be more than 4 times timing.renew", "timing.lease", "timing.renew")
	c.relation(t.Authority > heartbeatsAuth*t.Heartbeat,
		"timing.authority must be more than 2 times timing.heartbeat", "timing.authority", "timing.heartbeat")
	c.relation(t.ClockMargin < t.Authority,
		"timing.clock_margin must be less than timing.authority", "timing.clock_margin", "timing.authority")
	c.relation(t.AppendLinger < t.Heartbeat,
		"timing.append_linger must be less than timing.heartbeat", "timing.append_linger", "timing.heartbeat")
	c.relation(t.LeavingBound >= t.Authority+t.Heartbeat,
		"timing.leaving_bound must be at least timing.authority plus timing.heartbeat", "timing.leaving_bound", "timing.authority")
}

func (c *checker) relation(holds bool, message string, keys ...string) {
	if !holds {
		c.report("%s", []any{message}, keys...)
	}
}

func (c *checker) log() {
	switch c.entry.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.report("%q: want debug, info, warn or error", []any{c.entry.LogLevel}, "log.level")
	}
}
