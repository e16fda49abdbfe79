package client

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/wire"
)

// Pauses between the attempts of one publish or poll. A change has to be in
// force within 7 s, so that the pauses stay well below.
const (
	firstPause = 100 * time.Millisecond
	longPause  = 2 * time.Second
)

// pauses returns a backoff with jitter.
func pauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, longPause
	return b
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Publish publishes a text and repeats it with the same id until the answer
// is final or the context ends. An error means that it is not known whether
// the text was accepted, unless the error is a *TransportError that was never
// sent.
func (c *Client) Publish(ctx context.Context, base uint64, id string, text []byte) (wire.PublishResult, error) {
	var doubt error // an attempt that may have taken effect
	pause := pauses()
	for {
		p, err := c.PutText(ctx, base, id, text)
		switch {
		case err == nil && settled(p):
			return p, nil
		case err == nil && p.Code == model.CodeInDoubt:
			doubt = &RefusedError{Op: "publish", Reason: p.Code, Message: "repeat it with id " + id}
		case err != nil && !notSent(err):
			doubt = err
		}
		if sleep(ctx, pause.NextBackOff()); ctx.Err() == nil {
			continue
		}
		if doubt != nil {
			return p, doubt
		}
		return p, err
	}
}

// settled reports whether a repetition of the publish can't change the answer.
func settled(p wire.PublishResult) bool {
	switch p.Code {
	case model.CodeNone, model.CodeVersionConflict, model.CodeTextInvalid, model.CodeHomesChanged,
		model.CodeBadRequest, model.CodeBodyTooLarge:
		return true
	}
	return false
}

func notSent(err error) bool {
	var t *TransportError
	return errors.As(err, &t) && t.NotSent
}

// Poll asks for a job's state until it is final, the job is not known, or the
// context ends. Every query waits up to wait at the server. It returns the
// last answer; the error is that of the last query.
func (c *Client) Poll(ctx context.Context, id model.JobID, wait time.Duration) (wire.Answer, error) {
	last := wire.Answer{Job: id, Outcome: model.OutcomeUnknown, Code: model.CodeInDoubt}
	pause := pauses()
	for {
		a, err := c.Job(ctx, id, wait)
		if err == nil {
			if last = a; a.Outcome.Final() || a.Code == model.CodeJobNotFound || a.Code == model.CodeBadRequest {
				return last, nil
			}
		}
		// The server waits by itself, so that a pause only matters if it answers
		// at once.
		if sleep(ctx, pause.NextBackOff()); ctx.Err() != nil {
			return last, err
		}
	}
}
