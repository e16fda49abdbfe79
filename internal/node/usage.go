package node

import (
	"context"
	"time"

	"github.com/gentianpick/gentianpick/internal/httpjson"
)

const (
	// useInterval is the time over which the use of the VM's link is averaged.
	useInterval = time.Second
	// busyShare of the link's rate, sent or received, makes it busy: what is to be
	// sent waits behind the rest then.
	busyShare = 0.7
	// freeShare ends that state. The gap to busyShare keeps the line from
	// being written each second.
	freeShare = 0.5
	// busyRepeat is how often a link that stays busy is logged again.
	busyRepeat = 5 * time.Second
)

// Traffic counts what an instance sends and receives, by whom it speaks to.
type Traffic struct {
	Store, Workers, Eligibility, Instances, Callers httpjson.Traffic
}

// trafficNames orders the destinations as Traffic.all does.
var trafficNames = [...]string{"store", "worker", "eligibility", "instance", "caller"}

func (t *Traffic) all() [len(trafficNames)]*httpjson.Traffic {
	return [...]*httpjson.Traffic{&t.Store, &t.Workers, &t.Eligibility, &t.Instances, &t.Callers}
}

// linkUse is what went over the VM's link in one interval, in bytes a second.
type linkUse struct {
	sent, received [len(trafficNames)]int64
	openCalls      int64 // at workers
}

// busiest returns the larger of all that was sent and all that was received.
func (u *linkUse) busiest() int64 {
	var sent, received int64
	for i := range u.sent {
		sent += u.sent[i]
		received += u.received[i]
	}
	return max(sent, received)
}

// watchLink writes a line when the VM's link becomes busy or free.
func (n *Node) watchLink(ctx context.Context) {
	if n.set.Bandwidth == 0 {
		return
	}
	t := time.NewTicker(useInterval)
	defer t.Stop()
	old, busy := n.countTraffic(), false
	since, logged := n.deps.Now(), n.deps.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		count, now := n.countTraffic(), n.deps.Now()
		use := count.since(&old, now.Sub(since))
		old, since = count, now
		rate := float64(use.busiest()) / float64(n.set.Bandwidth)
		switch {
		case rate >= busyShare && (!busy || now.Sub(logged) >= busyRepeat):
			busy, logged = true, now
			n.deps.Telemetry.LogBandwidth("VM link busy", &use)
		case rate < freeShare && busy:
			busy = false
			n.deps.Telemetry.LogBandwidth("VM link free", &use)
		}
	}
}

func (n *Node) countTraffic() linkUse {
	var u linkUse
	for i, t := range n.deps.Traffic.all() {
		u.sent[i], u.received[i] = int64(t.BytesSent.Load()), int64(t.BytesReceived.Load())
	}
	u.openCalls = n.deps.Traffic.Workers.InFlight.Load()
	return u
}

// since returns the rates between two counts.
func (u linkUse) since(old *linkUse, d time.Duration) linkUse {
	seconds := max(d, time.Millisecond).Seconds()
	for i := range u.sent {
		u.sent[i] = int64(float64(u.sent[i]-old.sent[i]) / seconds)
		u.received[i] = int64(float64(u.received[i]-old.received[i]) / seconds)
	}
	return u
}
