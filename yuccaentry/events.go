package yuccaentry

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// event is an input of the event loop: one of the types below or a
// [yuccaquery.Query].
type event any

// submitRequest is a caller's job. answer receives its answer.
type submitRequest struct {
	submission yuccadispatch.Submission
	answer     chan<- yuccadispatch.Answer
}

// watchRequest is a query for the state of a job.
type watchRequest struct {
	key    yuccadispatch.Key
	cancel bool
	result chan<- yuccadispatch.WatchResult
}

// linkOpened reports that a dialled link is open. helloSentAt is the zero point of
// its link clock.
type linkOpened struct {
	dialer      *dialer
	link        yuccawire.Link
	helloSentAt time.Time
	// suspendedBefore is for how long the machine had been suspended by then.
	suspendedBefore time.Duration
}

// linkClosed reports that a dialled link has closed.
type linkClosed struct {
	dialer *dialer
	link   yuccawire.Link
}

// linkMessage is a message of a side or another entry. dialer is that of the link, nil
// for an accepted one.
type linkMessage struct {
	dialer  *dialer
	name    string
	message *yuccawire.Envelope
}

// drainRequest starts draining. done receives a value once all jobs are answered.
type drainRequest struct{ done chan<- int }

// post sends an event to the event loop.
func (e *Entry) post(ctx context.Context, ev event) error {
	return yuccaquery.Post(ctx, e.lifetime, e.events, ev)
}

func (e *Entry) postQuery(ctx context.Context, query yuccaquery.Query[*Entry]) (*yuccaquery.Lifetime, error) {
	return e.lifetime, e.post(ctx, query)
}
