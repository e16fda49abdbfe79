package node

import (
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/httpjson"
)

const (
	// usageInterval is the time over which the bandwidth use of the VM's network link is
	// averaged.
	usageInterval = time.Second
	// busyThreshold is the share of the link's bandwidth, in either direction, from which
	// the link counts as busy. Above it, messages queue behind other traffic.
	busyThreshold = 0.7
	// freeThreshold is the share below which a busy link counts as free again. The gap to
	// busyThreshold keeps the state from changing, and being logged, every second.
	freeThreshold = 0.5
	// busyLogInterval is the interval at which a link that stays busy is logged again.
	busyLogInterval = 5 * time.Second
)

// Traffic counts the bytes and calls of an instance by the kind of its counterpart.
type Traffic struct {
	Store, Workers, Eligibility, Instances, Callers httpjson.Traffic
}

// trafficNames are the metric and log names of the counters, in the order of Traffic.all.
var trafficNames = [...]string{"store", "worker", "eligibility", "instance", "caller"}

func (t *Traffic) all() [len(trafficNames)]*httpjson.Traffic {
	return [...]*httpjson.Traffic{&t.Store, &t.Workers, &t.Eligibility, &t.Instances, &t.Callers}
}

// bandwidthUse is the traffic over the VM's network link: byte totals from trafficTotals,
// bytes per second from ratesSince.
type bandwidthUse struct {
	sent, received [len(trafficNames)]int64
	openCalls      int64 // calls to workers in flight
}

// maxDirection returns the larger of the sums of sent and of received traffic.
func (u *bandwidthUse) maxDirection() int64 {
	var sent, received int64
	for i := range u.sent {
		sent += u.sent[i]
		received += u.received[i]
	}
	return max(sent, received)
}

// monitorBandwidth logs when the VM's network link becomes busy or free.
func (n *Node) monitorBandwidth(ctx context.Context) {
	if n.settings.Bandwidth == 0 {
		return
	}
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	old, busy := n.trafficTotals(), false
	since, logged := n.deps.Now(), n.deps.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		count, now := n.trafficTotals(), n.deps.Now()
		use := count.ratesSince(&old, now.Sub(since))
		old, since = count, now
		rate := float64(use.maxDirection()) / float64(n.settings.Bandwidth)
		switch {
		case rate >= busyThreshold && (!busy || now.Sub(logged) >= busyLogInterval):
			busy, logged = true, now
			n.deps.Telemetry.LogBandwidth("VM network link busy", &use)
		case rate < freeThreshold && busy:
			busy = false
			n.deps.Telemetry.LogBandwidth("VM network link no longer busy", &use)
		}
	}
}

func (n *Node) trafficTotals() bandwidthUse {
	var u bandwidthUse
	for i, t := range n.deps.Traffic.all() {
		u.sent[i], u.received[i] = int64(t.BytesSent.Load()), int64(t.BytesReceived.Load())
	}
	u.openCalls = n.deps.Traffic.Workers.InFlight.Load()
	return u
}

// ratesSince returns the rates between two totals that were taken d apart.
func (u bandwidthUse) ratesSince(old *bandwidthUse, d time.Duration) bandwidthUse {
	seconds := max(d, time.Millisecond).Seconds()
	for i := range u.sent {
		u.sent[i] = int64(float64(u.sent[i]-old.sent[i]) / seconds)
		u.received[i] = int64(float64(u.received[i]-old.received[i]) / seconds)
	}
	return u
}
