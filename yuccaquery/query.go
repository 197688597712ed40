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

import "context"

// Query is an event that carries a function to run on S in its owner's loop.
type Query[S any] struct{ run func(s S) }

// Run runs the function and sends its result to the caller of [Do]. It must be
// called from the owner's loop.
func (q Query[S]) Run(s S) { q.run(s) }

// Do posts the query to the owner and waits for its result. It returns the
// error of post, or the error of the context if that ends first; the query may
// still run then.
func Do[S, T any](ctx context.Context, post func(context.Context, Query[S]) error, query func(s S) T) (T, error) {
	result := make(chan T, 1)
	var zero T
	if err := post(ctx, Query[S]{run: func(s S) { result <- query(s) }}); err != nil {
		return zero, err
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
