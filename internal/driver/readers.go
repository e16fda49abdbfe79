package driver

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/gentianpick/gentianpick/internal/core"
	"github.com/gentianpick/gentianpick/internal/platform"
	"github.com/gentianpick/gentianpick/internal/record"
)

const (
	// dcReadWait is how long a read of the own data centre's stream waits for
	// records. A read confirms the lease as of its start, and the confirmation must
	// be younger than 1 s.
	dcReadWait = 300 * time.Millisecond
	// configReadWait is how long a read of the config stream waits. A new record
	// ends the wait at once, so the value matters only for idle traffic.
	configReadWait = 2 * time.Second
	// dcReadGrace and configReadGrace bound the time that a read may take beyond
	// its wait. A read of the data centre's stream that takes longer is too old to
	// confirm the lease.
	dcReadGrace     = 700 * time.Millisecond
	configReadGrace = 2 * time.Second
	// maxReadTimeout bounds the growth of the timeout after failed reads; the growth
	// lets reads of a slow log succeed. It equals the platform adapter's own limit.
	maxReadTimeout = platform.CallTimeout
	// initialReadBackoff and maxReadBackoff bound the jittered backoff after a
	// failed read.
	initialReadBackoff = 200 * time.Millisecond
	maxReadBackoff     = time.Second
	// vmListInterval is the pause between reads of the VM list. The list lags behind
	// the platform's state anyway.
	vmListInterval = 2 * time.Second
	// vmListTimeout bounds one read of the VM list.
	vmListTimeout = 2 * time.Second
)

// readLog reads one stream from offset 0 on and reports every read to the reducer,
// including empty and failed ones.
func (d *Driver) readLog(ctx context.Context, stream string) {
	wait, grace := dcReadWait, dcReadGrace
	if stream == record.ConfigStream {
		wait, grace = configReadWait, configReadGrace
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialReadBackoff
	retry.MaxInterval = maxReadBackoff
	timeout := wait + grace
	var from uint64
	atTail := false // the last read reached the tail
	for ctx.Err() == nil {
		ev := core.LogRead{Stream: stream, StartedAt: d.now()}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		readWait := wait
		if !atTail {
			readWait = 0 // don't wait for records, so that an empty stream is reported at once
		}
		result, err := d.cfg.Platform.Read(callCtx, stream, from, readWait)
		cancel()
		atTail = err == nil && result.AtTail()
		if err != nil {
			ev.Failed = true
			d.enqueue(core.Event{LogRead: &ev})
			timeout = min(2*timeout, maxReadTimeout)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		from = result.Next
		ev.Result = &result
		timeout = wait + grace
		retry.Reset()
		d.enqueue(core.Event{LogRead: &ev})
	}
}

func (d *Driver) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
		vms, err := d.cfg.Platform.VMs(callCtx)
		cancel()
		d.enqueue(core.Event{VMList: &core.VMList{VMs: vms, Failed: err != nil}})
		sleep(ctx, vmListInterval)
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
