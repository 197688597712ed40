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
type Question[S any] struct{ ask func(s S) }

// Answer runs the question. Only the owner's loop calls it.
func (q Question[S]) Answer(s S) { q.ask(s) }

// Ask posts the question to the owner and waits for its answer.
func Ask[S, T any](ctx context.Context, post func(context.Context, Question[S]) error, question func(s S) T) (T, error) {
	answer := make(chan T, 1)
	var none T
	if err := post(ctx, Question[S]{ask: func(s S) { answer <- question(s) }}); err != nil {
		return none, err
	}
	select {
	case t := <-answer:
		return t, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
