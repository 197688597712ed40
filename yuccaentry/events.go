package yuccaentry

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// event is one thing that the entry's loop reacts to.
type event any

// submitted is a caller's job, and where its answer goes.
type submitRequest struct {
	submission yuccadispatch.Submission
	answer     chan<- yuccadispatch.Answer
}

// watched is a question for the state of a job.
type watchRequest struct {
	key    yuccadispatch.Key
	cancel bool
	result chan<- yuccadispatch.WatchResult
}

// linked tells that a dialled link is open, and when its hello was sent.
type linkOpened struct {
	dialer      *dialer
	link        yuccawire.Link
	helloSentAt time.Time
}

// unlinked tells that a dialled link has ended.
type linkClosed struct {
	dialer *dialer
	link   yuccawire.Link
}

// received is a message of a side or another entry.
type linkMessage struct {
	name    string
	message *yuccawire.Envelope
}

// drain begins a graceful shutdown.
type drainRequest struct{ done chan<- int }

// post hands an event to the loop.
func (e *Entry) post(ctx context.Context, ev event) error {
	select {
	case e.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Entry) postQuery(ctx context.Context, q yuccaask.Query[*Entry]) error {
	return e.post(ctx, q)
}
