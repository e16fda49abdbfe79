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

// Bounds of configured values. A value outside them is most likely given in the wrong unit.
const (
	minDuration = time.Millisecond
	maxDuration = 31 * 24 * time.Hour // one month, for LogRetention and KeyRetention
	maxLimit    = 10_000_000
)

type checker struct {
	*jsonc.Doc
	settings *Settings
}

func (c checker) checkAll() {
	c.checkName("$.name", c.settings.Name)
	c.checkName("$.data_centre", c.settings.DataCentre)
	for path, address := range map[string]string{"$.http_listen": c.settings.HTTPListen, "$.peer_listen": c.settings.PeerListen} {
		if c.Require(path) {
			c.checkAddress(path, address)
		}
	}
	if ip, err := netip.ParseAddrPort(c.settings.PeerListen); err == nil && ip.Addr().IsUnspecified() {
		c.Addf(jsonc.CodeBadAddress, "$.peer_listen", "must be an address that peers can dial, not %s", ip.Addr())
	}
	if c.Has("$.peer_listen") && c.settings.HTTPListen == c.settings.PeerListen {
		c.Addf(jsonc.CodeDuplicate, "$.peer_listen", "must differ from http_listen")
	}
	c.checkPlatform()
	for _, dc := range slices.Sorted(maps.Keys(c.settings.Seeds)) {
		at := jsonc.Field("$.seeds", dc)
		c.checkName(at, dc)
		for i, address := range c.settings.Seeds[dc] {
			c.checkAddress(jsonc.Index(at, i), address)
		}
	}
	c.checkTiming()
	c.checkLimits()
	c.checkHTTP()
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, c.settings.LogLevel) {
		c.Addf(jsonc.CodeBadValue, "$.log_level", "must be debug, info, warn or error, not %q", c.settings.LogLevel)
	}
}

func (c checker) checkName(path, name string) {
	if c.Require(path) && !servicetext.ValidName(name) {
		c.Addf(jsonc.CodeBadName, path, "%q is not a name: use 1 to 63 lower-case letters, digits and inner hyphens", name)
	}
}

// checkAddress requires an IP address and port. Host names are rejected, so that instances
// can reach each other during a DNS outage.
func (c checker) checkAddress(path, address string) {
	ip, err := netip.ParseAddrPort(address)
	if err != nil || ip.Port() == 0 {
		c.Addf(jsonc.CodeBadAddress, path, "%q is not an IP number with a port, such as 127.0.0.1:7411", address)
	}
}

func (c checker) checkPlatform() {
	if !c.Require("$.platform") {
		return
	}
	u, err := url.Parse(c.settings.Platform)
	if err != nil || u.Scheme != "http" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		c.Addf(jsonc.CodeBadAddress, "$.platform", "%q is not a base URL such as http://127.0.0.1:7400", c.settings.Platform)
		return
	}
	c.checkAddress("$.platform", u.Host)
}

func (c checker) checkTiming() {
	t, before := c.settings.Timing, c.Len()
	for field, v := range map[string]*time.Duration{
		"tick": t.Tick, "heartbeat": t.Heartbeat, "far_heartbeat": t.RemoteHeartbeat, "lease": t.Lease,
		"margin": t.Margin, "suspect": t.Suspect, "consent_after": t.ConsentTimeout, "watch_wait": t.WatchTimeout,
		"task_lease": t.TaskLease, "start_grace": t.StartGrace, "group_commit": t.GroupCommit,
		"lazy_commit": t.LazyCommit, "retention": t.Retention, "key_life": t.KeyRetention,
	} {
		c.checkDuration("$.timing."+field, v)
	}
	if c.Len() > before {
		return
	}
	// The protocols rely on each of these rules. They are checked after defaults are applied.
	m := t.overlay(core.DefaultTiming())
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

func (c checker) checkLimits() {
	l := c.settings.Limits
	for field, v := range map[string]*int{
		"waiting": l.QueuedRequests, "jobs": l.Jobs, "undurable": l.PendingSubmissions, "in_doubt": l.InDoubt,
		"hops": l.Hops, "far_peers": l.RemotePeers, "task_attempts": l.TaskAttempts,
	} {
		if v != nil {
			c.checkRange("$.limits."+field, int64(*v), 1, maxLimit)
		}
	}
	if l.RetryPercent != nil {
		c.checkRange("$.limits.retry_percent", int64(*l.RetryPercent), 0, 100)
	}
	c.checkDuration("$.limits.max_deadline", l.MaxDeadline)
}

func (c checker) checkHTTP() {
	h := &c.settings.HTTP
	c.checkRange("$.http.max_connections", int64(h.MaxConnections), 1, maxLimit)
	c.checkRange("$.http.max_header_bytes", int64(h.MaxHeaderBytes), 1<<10, 1<<20)
	c.checkRange("$.http.max_body_bytes", h.MaxBodyBytes, 1<<10, 64<<20)
	c.checkDuration("$.http.header_timeout", &h.HeaderTimeout)
	c.checkDuration("$.http.body_timeout", &h.BodyTimeout)
	c.checkDuration("$.http.idle_timeout", &h.IdleTimeout)
}

func (c checker) checkRange(path string, v, lowest, highest int64) {
	if v < lowest || v > highest {
		c.Addf(jsonc.CodeOutOfRange, path, "must be between %d and %d, not %d", lowest, highest, v)
	}
}

func (c checker) checkDuration(path string, v *time.Duration) {
	if v != nil && (*v < minDuration || *v > maxDuration) {
		c.Addf(jsonc.CodeOutOfRange, path, "must be between %v and %v, not %v", minDuration, maxDuration, *v)
	}
}
