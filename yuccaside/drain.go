package yuccaside

import (
	"context"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccaask"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const countTimeout = 100 * time.Millisecond

// drain is a graceful shutdown under way.
type drain struct {
	done      chan<- int
	deadline  time.Time
	goodbyeAt time.Time
}

// Drain refuses new starts, waits for the running ones, and ends the links in
// order. It returns the number of attempts that were cut because the context
// ended first.
func (s *Side) Drain(ctx context.Context) int {
	done := make(chan int, 1)
	deadline, _ := ctx.Deadline()
	if s.post(ctx, drain{done: done, deadline: deadline}) != nil {
		return 0
	}
	select {
	case interrupted := <-done:
		return interrupted
	case <-ctx.Done():
		return s.countRunning()
	}
}

// runningNow is the number of attempts that run.
func (s *Side) countRunning() int {
	ctx, cancel := context.WithTimeout(context.Background(), countTimeout)
	defer cancel()
	running, err := yuccaask.Do(ctx, s.postQuery, func(s *Side) int { return len(s.running) })
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

// continueDrain says goodbye once nothing runs, and ends when all owners have
// closed their links, which they do after reading everything.
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
