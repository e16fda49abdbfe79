package store

import "context"

type lostSignalKey struct{}

// WithLostSignal returns a context for a read that is given up when the channel is closed
// before any data of the answer has arrived.
func WithLostSignal(ctx context.Context, lost <-chan struct{}) context.Context {
	return context.WithValue(ctx, lostSignalKey{}, lost)
}

// LostSignal returns the channel of WithLostSignal, or nil.
func LostSignal(ctx context.Context) <-chan struct{} {
	lost, _ := ctx.Value(lostSignalKey{}).(<-chan struct{})
	return lost
}
