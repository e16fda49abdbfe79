package settings

import (
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/jsonc"
	"github.com/gentianpick/gentianpick/internal/servicetext"
)

// Bounds of overrides. A value outside is a mistake of units, not a choice.
const (
	minTiming = time.Millisecond
	maxTiming = 31 * 24 * time.Hour // a month, for Retention and KeyLife
	maxLimit  = 10_000_000
)

type checker struct {
	*jsonc.Doc
	s *Settings
}

func (c checker) check() {
	c.name("$.name", c.s.Name)
	c.name("$.data_centre", c.s.DataCentre)
	for path, address := range map[string]string{"$.http_listen": c.s.HTTPListen, "$.peer_listen": c.s.PeerListen} {
		if c.Require(path) {
			c.address(path, address)
		}
	}
	if ip, err := netip.ParseAddrPort(c.s.PeerListen); err == nil && ip.Addr().IsUnspecified() {
		c.Addf(jsonc.CodeBadAddress, "$.peer_listen", "must be an address that peers can dial, not %s", ip.Addr())
	}
	if c.Has("$.peer_listen") && c.s.HTTPListen == c.s.PeerListen {
		c.Addf(jsonc.CodeDuplicate, "$.peer_listen", "must differ from http_listen")
	}
	c.platform()
	for _, dc := range slices.Sorted(maps.Keys(c.s.Seeds)) {
		at := jsonc.Field("$.seeds", dc)
		c.name(at, dc)
		for i, address := range c.s.Seeds[dc] {
			c.address(jsonc.Index(at, i), address)
		}
	}
	c.timing()
	c.limits()
	c.http()
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, c.s.LogLevel) {
		c.Addf(jsonc.CodeBadValue, "$.log_level", "must be debug, info, warn or error, not %q", c.s.LogLevel)
	}
}

func (c checker) name(path, name string) {
	if c.Require(path) && !servicetext.ValidName(name) {
		c.Addf(jsonc.CodeBadName, path, "%q is not a name: use 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
}

// address checks an address. Processes find each other by IP number, so that
// no name service is needed during an outage.
func (c checker) address(path, address string) {
	ip, err := netip.ParseAddrPort(address)
	if err != nil || ip.Port() == 0 {
		c.Addf(jsonc.CodeBadAddress, path, "%q is not an IP number with a port, such as 127.0.0.1:7411", address)
	}
}

func (c checker) platform() {
	if !c.Require("$.platform") {
		return
	}
	u, err := url.Parse(c.s.Platform)
	if err != nil || u.Scheme != "http" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		c.Addf(jsonc.CodeBadAddress, "$.platform", "%q is not a base URL such as http://127.0.0.1:7400", c.s.Platform)
		return
	}
	c.address("$.platform", u.Host)
}

func (c checker) timing() {
	t, before := c.s.Timing, c.Len()
	for field, v := range map[string]*time.Duration{
		"tick": t.Tick, "heartbeat": t.Heartbeat, "far_heartbeat": t.RemoteHeartbeat, "lease": t.Lease,
		"margin": t.Margin, "suspect": t.Suspect, "consent_after": t.ConsentTimeout, "watch_wait": t.WatchTimeout,
		"task_lease": t.TaskLease, "start_grace": t.StartGrace, "group_commit": t.GroupCommit,
		"lazy_commit": t.LazyCommit, "retention": t.Retention, "key_life": t.KeyRetention,
	} {
		c.period("$.timing."+field, v)
	}
	if c.Len() > before {
		return
	}
	// Each pair is a rule that the protocols rest on, checked with defaults
	// filled in.
	m := t.over(core.DefaultTiming())
	for _, rule := range []struct {
		field           string
		shorter, longer time.Duration
		reason          string
	}{
		{"tick", m.TickInterval, m.HeartbeatInterval, "the tick must be shorter than heartbeat, since heartbeats leave on ticks"},
		{"heartbeat", m.HeartbeatInterval, m.SuspectTimeout / 2, "two heartbeats must fit into suspect, so that one lost heartbeat raises no suspicion"},
		{"heartbeat", m.HeartbeatInterval, m.LeaseDuration / 2, "two heartbeats must fit into lease, so that one lost heartbeat ends no lease"},
		{"margin", m.ClockDriftMargin, m.LeaseDuration, "the margin must be shorter than lease"},
		{"watch_wait", m.WatchTimeout, m.TaskLease / 3, "three waits must fit into task_lease, so that two lost calls stop no task"},
		{"lazy_commit", m.LazyCommitDelay, m.LogRetention / 4, "four lazy commits must fit into retention"},
	} {
		if rule.shorter > rule.longer {
			c.Addf(jsonc.CodeOutOfRange, "$.timing."+rule.field, "%s", rule.reason)
		}
	}
}

func (c checker) limits() {
	l := c.s.Limits
	for field, v := range map[string]*int{
		"waiting": l.QueuedRequests, "jobs": l.Jobs, "undurable": l.PendingSubmissions, "in_doubt": l.InDoubt,
		"hops": l.Hops, "far_peers": l.RemotePeers, "task_attempts": l.TaskAttempts,
	} {
		if v != nil {
			c.between("$.limits."+field, int64(*v), 1, maxLimit)
		}
	}
	if l.RetryPercent != nil {
		c.between("$.limits.retry_percent", int64(*l.RetryPercent), 0, 100)
	}
	c.period("$.limits.max_deadline", l.MaxDeadline)
}

func (c checker) http() {
	h := &c.s.HTTP
	c.between("$.http.max_connections", int64(h.MaxConnections), 1, maxLimit)
	c.between("$.http.max_header_bytes", int64(h.MaxHeaderBytes), 1<<10, 1<<20)
	c.between("$.http.max_body_bytes", h.MaxBodyBytes, 1<<10, 64<<20)
	c.period("$.http.header_timeout", &h.HeaderTimeout)
	c.period("$.http.body_timeout", &h.BodyTimeout)
	c.period("$.http.idle_timeout", &h.IdleTimeout)
}

func (c checker) between(path string, v, least, most int64) {
	if v < least || v > most {
		c.Addf(jsonc.CodeOutOfRange, path, "must be between %d and %d, not %d", least, most, v)
	}
}

func (c checker) period(path string, v *time.Duration) {
	if v != nil && (*v < minTiming || *v > maxTiming) {
		c.Addf(jsonc.CodeOutOfRange, path, "must be between %v and %v, not %v", minTiming, maxTiming, *v)
	}
}
