package yuccaside

import (
	"context"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// AnnouncementTimeout is how long an announcement holds without renewal.
const AnnouncementTimeout = 3 * time.Second

const (
	maxSlots       = 4096
	maxConnections = 65536
)

// ErrAnnouncement is returned for an announcement that can't be accepted.
var ErrInvalidAnnouncement = merry.Sentinel("the announcement is wrong")

// Announcement is what a target says of itself.
type Announcement struct {
	// Service is the name of the service that the target runs.
	Service string
	// Address is the target's base URL on loopback.
	Address string
	// Slots is the number of tasks that the target runs at once.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Leaving asks for no further tasks.
	Leaving bool
}

// target is an announced target.
type target struct {
	Announcement
	baseURL string
	expires time.Time
}

// check returns an error that names the wrong field.
func (a Announcement) validate() error {
	u, err := url.Parse(a.Address)
	switch {
	case a.Service == "":
		return merry.Prepend(ErrInvalidAnnouncement, "service: is missing")
	case err != nil || u.Scheme != "http" || u.Host == "":
		return merry.Prependf(ErrInvalidAnnouncement, "address: is %q, expected a URL such as http://127.0.0.1:7300", a.Address)
	case !isLoopback(u.Hostname()):
		return merry.Prependf(ErrInvalidAnnouncement, "address: is %q, expected a loopback address", a.Address)
	case a.Slots < 1 || a.Slots > maxSlots:
		return merry.Prependf(ErrInvalidAnnouncement, "slots: is %d, expected 1 to %d", a.Slots, maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return merry.Prependf(ErrInvalidAnnouncement, "connections: is %d, expected 1 to %d", a.Connections, maxConnections)
	}
	return nil
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Announce adds or renews a target.
func (s *Side) Announce(ctx context.Context, a Announcement) error {
	if err := a.validate(); err != nil {
		return err
	}
	done := make(chan error, 1)
	if err := s.post(ctx, targetAnnounced{announcement: a, done: done}); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Withdraw removes the target of a service.
func (s *Side) Withdraw(ctx context.Context, service string) error {
	done := make(chan struct{})
	if err := s.post(ctx, targetWithdrawn{service: service, done: done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Side) addTarget(now time.Time, a Announcement) error {
	old := s.targets[a.Service]
	if old != nil && old.Address != a.Address && len(s.running) > 0 {
		return merry.Prependf(ErrInvalidAnnouncement, "service: %q is announced at %s and busy", a.Service, old.Address)
	}
	s.targets[a.Service] = &target{
		Announcement: a,
		baseURL:      strings.TrimSuffix(a.Address, "/"),
		expires:      now.Add(AnnouncementTimeout),
	}
	s.gate.SetTarget(a.Service, min(a.Slots, a.Connections), a.Leaving)
	if old == nil || old.Announcement != a {
		s.options.Logger.Info("target announced", "service", a.Service, "slots", a.Slots, "leaving", a.Leaving)
		s.publishTargets()
	}
	return nil
}

func (s *Side) removeTarget(service string) {
	if s.targets[service] == nil {
		return
	}
	delete(s.targets, service)
	delete(s.reportedSlots, service)
	s.gate.RemoveTarget(service)
	s.options.Logger.Info("target gone", "service", service)
	s.publishTargets()
}

// expireTargets withdraws the targets that did not renew.
func (s *Side) expireTargets(now time.Time) {
	for name, t := range s.targets {
		if !now.Before(t.expires) {
			s.metrics.Add("targets_expired", 1)
			s.removeTarget(name)
		}
	}
}

// publishTargets tells control and the owners which targets there are.
func (s *Side) publishTargets() {
	var targets []*yuccawire.Target
	for _, t := range s.targets {
		targets = append(targets, &yuccawire.Target{
			Service: t.Service, Slots: uint32(min(t.Slots, t.Connections)),
			Connections: uint32(t.Connections), Leaving: t.Leaving,
		})
	}
	s.lease.Announce(targets, s.draining != nil)
	s.reportLoad()
}

func lowerName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
