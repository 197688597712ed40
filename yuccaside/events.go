package yuccaside

import (
	"context"

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// event is one thing that the side's loop reacts to.
type event any

// linked tells that an owner has opened a link.
type linkUp struct{ owner *ownerLink }

// unlinked tells that an owner's link has ended.
type linkDown struct{ owner *ownerLink }

// received is a message of an owner.
type messageReceived struct {
	from    *ownerLink
	message *yuccawire.Envelope
}

// finished is the end of an attempt.
type runFinished struct {
	run    *run
	result *yuccawire.Finished
}

// announced is a target's announcement, and where its error goes.
type targetAnnounced struct {
	announcement Announcement
	done         chan<- error
}

// withdrawn tells that a target has left.
type targetWithdrawn struct {
	service string
	done    chan<- struct{}
}

// post hands an event to the loop.
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
