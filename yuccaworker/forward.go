package yuccaworker

import "github.com/yuccaturn/yuccaturn/yuccawire"

// HandleForward passes a message of an owner on to the entry that it is for, if that is linked: the link between the two
// may be cut.
func (w *Worker) HandleForward(m *yuccawire.Forward) {
	for _, o := range w.ownerList {
		if o.linked && o.id.Name == m.GetTo() {
			w.metrics.Add("messages_forwarded", 1)
			w.emit(Send{Owner: o.id, Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_Forward{Forward: m}}})
		}
	}
}
