package yuccaside

import (
	"context"

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// event is an input of the event loop.
type event any

// linkUp is posted when an owner has connected.
type linkUp struct{ owner *ownerLink }

// linkDown is posted when an owner's link is closed or lost.
type linkDown struct{ owner *ownerLink }

// messageReceived carries a message from an owner.
type messageReceived struct {
	from    *ownerLink
	message *yuccawire.Envelope
}

// runFinished carries the result of an attempt.
type runFinished struct {
	run    *run
	result *yuccawire.Finished
}

// targetAnnounced carries a target's announcement. The event loop sends the
// outcome to done.
type targetAnnounced struct {
	announcement Announcement
	done         chan<- error
}

// targetWithdrawn removes the target of a service. The event loop closes done
// afterwards.
type targetWithdrawn struct {
	service string
	done    chan<- struct{}
}

// post sends an event to the event loop.
func (s *Side) post(ctx context.Context, e event) error {
	select {
	case s.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Side) postQuery(ctx context.Context, query yuccaask.Query[*Side]) error {
	return s.post(ctx, query)
}
