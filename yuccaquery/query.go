// Package yuccaquery runs functions on an object that is owned by the event loop
// of another goroutine.
//
// The function is sent to the owner's loop as an event and runs there. Its
// result is returned over a buffered channel, so a caller whose context ends
// neither blocks the loop nor shares memory with it.
//
// # Usage
//
//	queued, err := yuccaquery.Do(ctx, e.postQuery, func(e *Entry) int { return e.queued })
//	// in the loop:
//	case yuccaquery.Query[*Entry]:
//		event.Run(e)
package yuccaquery

import (
	"context"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrEnded is returned if the owner's loop has ended.
var ErrEnded = merry.Sentinel("the event loop has ended")

// Lifetime tells the callers of an event loop that it has ended.
type Lifetime struct {
	once  sync.Once
	ended chan struct{}
}

// NewLifetime returns the lifetime of a loop that has not ended.
func NewLifetime() *Lifetime { return &Lifetime{ended: make(chan struct{})} }

// End is called once the loop handles no more events.
func (l *Lifetime) End() { l.once.Do(func() { close(l.ended) }) }

// Ended is closed once the loop has ended. Each wait for the loop must end then.
func (l *Lifetime) Ended() <-chan struct{} { return l.ended }

// Post sends an event to the loop. It returns ErrEnded or the error of the context if
// one ends first.
func Post[E any](ctx context.Context, l *Lifetime, events chan<- E, ev E) error {
	select {
	case <-l.ended:
		return ErrEnded
	default:
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case events <- ev:
		return nil
	case <-l.ended:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Await waits for a value that the loop sends to a buffered channel. It returns ErrEnded
// if the loop has ended without sending it, or the error of the context.
func Await[T any](ctx context.Context, l *Lifetime, values <-chan T) (T, error) {
	var zero T
	select {
	case v := <-values:
		return v, nil
	case <-l.ended:
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case v := <-values:
		return v, nil
	default:
		return zero, ErrEnded
	}
}

// Query is an event that carries a function to run on S in its owner's loop.
type Query[S any] struct{ run func(s S) }

// Run runs the function and sends its result to the caller of [Do]. It must be
// called from the owner's loop.
func (q Query[S]) Run(s S) { q.run(s) }

// Do posts the query to the owner and waits for its result. It returns the
// error of post, or the error of the context if that ends first, when the query may
// still run, or ErrEnded. post returns the lifetime of the loop.
func Do[S, T any](ctx context.Context, post func(context.Context, Query[S]) (*Lifetime, error), query func(s S) T) (T, error) {
	result := make(chan T, 1)
	var zero T
	lifetime, err := post(ctx, Query[S]{run: func(s S) { result <- query(s) }})
	if err != nil {
		return zero, err
	}
	return Await(ctx, lifetime, result)
}
