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
	// ownWait is how long a read of the own data centre's stream waits for
	// records. Lease evidence is dated from the start of the read and must be
	// younger than 1 s.
	ownWait = 300 * time.Millisecond
	// configWait is how long a read of the config stream waits. A record ends the
	// wait at once, so the time matters only for idle traffic.
	configWait = 2 * time.Second
	// ownGrace and configGrace are what a read may take in addition to its wait.
	// An own read that takes longer is too old to be evidence.
	ownGrace    = 700 * time.Millisecond
	configGrace = 2 * time.Second
	// lastReadTimeout bounds the growth of the time-out after failed reads, which
	// lets a slow log make progress. It equals the platform adapter's own limit.
	lastReadTimeout = platform.CallTimeout
	// firstReadPause and lastReadPause bound the jittered pause after a failure.
	firstReadPause = 200 * time.Millisecond
	lastReadPause  = time.Second
	// vmInterval is the pause between reads of the VM list, which lags anyway.
	vmInterval = 2 * time.Second
	// vmTimeout bounds one read of the VM list.
	vmTimeout = 2 * time.Second
)

// readLog follows one stream from offset 0 on and hands every read to the
// reducer, also an empty or failed one.
func (d *Driver) readLog(ctx context.Context, stream string) {
	wait, grace := ownWait, ownGrace
	if stream == record.ConfigStream {
		wait, grace = configWait, configGrace
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstReadPause
	pause.MaxInterval = lastReadPause
	timeout := wait + grace
	var from uint64
	tail := false // the last read reached the tail
	for ctx.Err() == nil {
		ev := core.LogRead{Stream: stream, StartedAt: d.now()}
		call, cancel := context.WithTimeout(ctx, timeout)
		poll := wait
		if !tail {
			poll = 0 // an empty stream is reported as such at once
		}
		result, err := d.cfg.Platform.Read(call, stream, from, poll)
		cancel()
		tail = err == nil && result.AtTail()
		if err != nil {
			ev.Failed = true
			d.result(core.Event{LogRead: &ev})
			timeout = min(2*timeout, lastReadTimeout)
			sleep(ctx, pause.NextBackOff())
			continue
		}
		from = result.Next
		ev.Result = &result
		timeout = wait + grace
		pause.Reset()
		d.result(core.Event{LogRead: &ev})
	}
}

func (d *Driver) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, vmTimeout)
		vms, err := d.cfg.Platform.VMs(call)
		cancel()
		d.result(core.Event{VMList: &core.VMList{VMs: vms, Failed: err != nil}})
		sleep(ctx, vmInterval)
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
