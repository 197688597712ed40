package yuccaside

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// countTimeout is the timeout for counting the running attempts after the context
// of a drain has ended.
const countTimeout = 100 * time.Millisecond

// drain is a graceful shutdown in progress.
type drain struct {
	// done receives the number of interrupted attempts; nil once it is sent.
	done chan<- int
	// deadline is when the drain stops waiting, zero for no limit.
	deadline time.Time
	// goodbyeAt is when Goodbye was sent to the owners, zero before.
	goodbyeAt time.Time
}

// Drain shuts the side down gracefully: it refuses new starts, waits for running
// attempts, sends Goodbye to the owners and waits until they close their links.
// It returns the number of attempts that were still running when the context
// ended, or zero if the event loop does not report it in time.
func (s *Side) Drain(ctx context.Context) int {
	done := make(chan int, 1)
	deadline, _ := ctx.Deadline()
	if s.post(ctx, drain{done: done, deadline: deadline}) != nil {
		return 0
	}
	interrupted, err := yuccaquery.Await(ctx, s.lifetime, done)
	if err != nil {
		return s.countRunning()
	}
	return interrupted
}

// countRunning returns the number of running attempts, or zero if the event loop
// does not answer within countTimeout.
func (s *Side) countRunning() int {
	ctx, cancel := context.WithTimeout(context.Background(), countTimeout)
	defer cancel()
	running, err := yuccaquery.Do(ctx, s.postQuery, func(s *Side) int { return len(s.running) })
	if err != nil {
		return 0
	}
	return running
}

func (s *Side) startDrain(d drain) {
	s.options.Logger.Info("draining", "running", len(s.running))
	s.draining = &d
	s.gate.Leave()
	s.publishTargets()
}

// continueDrain sends Goodbye to the owners once no attempt is running, and
// completes the drain when all owners have closed their links, which they do
// after reading all results. It stops waiting at the deadline or goodbyeTimeout
// after Goodbye.
func (s *Side) continueDrain(now time.Time) {
	d := s.draining
	if d.done == nil {
		return
	}
	expired := !d.deadline.IsZero() && !now.Before(d.deadline)
	switch {
	case expired:
	case len(s.running) > 0:
		return
	case d.goodbyeAt.IsZero():
		d.goodbyeAt = now
		for _, o := range s.owners {
			o.send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Goodbye{Goodbye: &yuccawire.Goodbye{}}})
		}
		return
	case len(s.owners) > 0 && now.Sub(d.goodbyeAt) < goodbyeTimeout:
		return
	}
	d.done <- len(s.running)
	d.done = nil
}
