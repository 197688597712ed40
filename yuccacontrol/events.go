package yuccacontrol

import (
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// event is one thing that the control's loop reacts to.
type event any

// received is a message of a link that was accepted or dialled.
type linkMessage struct {
	from    *conn
	message *yuccawire.Envelope
}

// closed tells that a link has ended.
type linkClosed struct{ from *conn }

// change is an operator's command that awaits its result.
type changeRequest struct {
	command *yuccawire.Command
	done    chan<- changeReply
}

type changeReply struct {
	result *yuccastate.ChangeResult
	err    error
}
