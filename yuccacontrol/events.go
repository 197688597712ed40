package yuccacontrol

import (
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// event is an input of the event loop: a linkMessage, linkClosed, changeRequest
// or query (see yuccaquery).
type event any

// linkMessage is a message received on an accepted or dialled link.
type linkMessage struct {
	from    *conn
	message *yuccawire.Envelope
}

// linkClosed reports that a link has failed or was closed.
type linkClosed struct{ from *conn }

// changeRequest is an operator's command to propose. The result is sent to replies,
// which must be buffered.
type changeRequest struct {
	command *yuccawire.Command
	replies chan<- changeReply
}

type changeReply struct {
	result *yuccastate.ChangeResult
	err    error
}
