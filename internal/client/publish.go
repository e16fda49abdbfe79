package client

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// Bounds of the delay between the attempts of one publish or poll. A published
// change has to be in force within 7 s, so that the delays stay well below that.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// newBackoff returns an exponential backoff with jitter.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return b
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Publish publishes a text. It retries with the same id until the answer is final
// or the context is done. An error means that the text may have been accepted,
// unless the error is a *TransportError with NotSent set.
func (c *Client) Publish(ctx context.Context, base uint64, id string, text []byte) (wire.PublishResult, error) {
	var inDoubt error // the error of an attempt that may have taken effect
	delay := newBackoff()
	for {
		p, err := c.PutText(ctx, base, id, text)
		switch {
		case err == nil && isFinal(p):
			return p, nil
		case err == nil && p.Code == model.CodeInDoubt:
			inDoubt = &RefusedError{Op: "publish", Reason: p.Code, Message: "repeat it with id " + id}
		case err != nil && !notSent(err):
			inDoubt = err
		}
		if sleep(ctx, delay.NextBackOff()); ctx.Err() == nil {
			continue
		}
		if inDoubt != nil {
			return p, inDoubt
		}
		return p, err
	}
}

// isFinal reports whether a retry of the publish can't change the answer.
func isFinal(p wire.PublishResult) bool {
	switch p.Code {
	case model.CodeNone, model.CodeVersionConflict, model.CodeTextInvalid, model.CodeDataCentresChanged,
		model.CodeBadRequest, model.CodeBodyTooLarge:
		return true
	}
	return false
}

func notSent(err error) bool {
	var t *TransportError
	return errors.As(err, &t) && t.NotSent
}

// Poll queries a job until its outcome is final, the query is answered with code
// job_not_found or bad_request, or the context is done. The server delays the
// answer to each query by up to wait. Poll returns the last answer that it
// received and the error of the last query.
func (c *Client) Poll(ctx context.Context, id model.JobID, wait time.Duration) (wire.Answer, error) {
	last := wire.Answer{Job: id, Outcome: model.OutcomeUnknown, Code: model.CodeInDoubt}
	delay := newBackoff()
	for {
		a, err := c.Job(ctx, id, wait)
		if err == nil {
			if last = a; a.Outcome.Final() || a.Code == model.CodeJobNotFound || a.Code == model.CodeBadRequest {
				return last, nil
			}
		}
		// The server delays its answers. The delay here matters only when it
		// answers at once.
		if sleep(ctx, delay.NextBackOff()); ctx.Err() != nil {
			return last, err
		}
	}
}
