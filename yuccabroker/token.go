package yuccabroker

import "github.com/yuccaturn/yuccaturn/yuccawire"

// recordToken records the fencing token that a side uses, if it has told it. A process of the side that
// has started again, beside a wall clock that was set back, may use a lower one than the process before,
// whose starts it wouldn't fence. It is told the higher one, before any further order.
func (b *Broker) recordToken(s *side, token int64) {
	if token == 0 {
		return
	}
	if token < s.token {
		b.metrics.Add("tokens_below_known", 1)
		b.options.Logger.Warn("side uses a lower token than before, telling it", "side", s.name, "worker", s.worker, "token", token, "known", s.token)
		b.send(s.name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Beat{Beat: &yuccawire.Beat{Token: s.token}}})
		return
	}
	s.token = token
}
