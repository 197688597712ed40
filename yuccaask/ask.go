// Package yuccaask asks questions of an object that one goroutine owns.
//
// The question travels to the owner's loop as an event and runs there; its
// answer comes back over a channel, so that an asker who gives up shares no
// memory with it.
//
// # Usage
//
//	queued, err := yuccaask.Ask(ctx, e.postQuestion, func(e *Entry) int { return e.queued })
//	// in the loop:
//	case yuccaask.Question[*Entry]:
//		event.Answer(e)
package yuccaask

import "context"

// Question is the event that the owner of S has to answer.
type Query[S any] struct{ run func(s S) }

// Answer runs the question. Only the owner's loop calls it.
func (q Query[S]) Run(s S) { q.run(s) }

// Ask posts the question to the owner and waits for its answer.
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
