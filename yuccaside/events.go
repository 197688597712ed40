package yuccaside

import (
	"context"

	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// event is an input of the event loop: one of the types below, a drain or a
// [yuccaquery.Query].
type event any

// linkOpened reports that an owner has connected.
type linkOpened struct{ owner *ownerLink }

// linkClosed reports that the link of an owner has failed or was closed.
type linkClosed struct{ owner *ownerLink }

// linkMessage is a message received from an owner.
type linkMessage struct {
	from    *ownerLink
	message *yuccawire.Envelope
}

// runFinished is the result of an attempt.
type runFinished struct {
	run    *run
	result *yuccawire.Finished
}

// targetAnnounced is the announcement of a target. The event loop sends the
// error, or nil, to done.
type targetAnnounced struct {
	announcement Announcement
	done         chan<- error
}

// targetWithdrawn is a request to remove the target of a service. The event loop
// closes done afterwards.
type targetWithdrawn struct {
	service string
	done    chan<- struct{}
}

// post sends an event to the event loop.
func (s *Side) post(ctx context.Context, e event) error {
	return yuccaquery.Post(ctx, s.lifetime, s.events, e)
}

func (s *Side) postQuery(ctx context.Context, query yuccaquery.Query[*Side]) (*yuccaquery.Lifetime, error) {
	return s.lifetime, s.post(ctx, query)
}
