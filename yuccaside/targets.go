package yuccaside

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// AnnouncementTimeout is how long an announcement is valid without renewal.
const AnnouncementTimeout = 3 * time.Second

const (
	maxSlots       = 4096
	maxConnections = 65536
	// maxNameBytes limits the name of a service, which is sent to control and the owners.
	maxNameBytes    = 200
	maxAddressBytes = 1000
)

// ErrInvalidAnnouncement is returned for an announcement with an invalid field, or
// for a service that is announced at another address while attempts are running.
var ErrInvalidAnnouncement = merry.Sentinel("the announcement is wrong")

// Announcement describes a target.
type Announcement struct {
	// Service is the name of the service that the target runs.
	Service string
	// Address is the target's base URL. Its host must be a loopback address.
	Address string
	// Slots is the number of tasks that the target runs concurrently.
	Slots int
	// Connections is the number of connections that the target accepts.
	Connections int
	// Leaving is set by a target that accepts no further tasks because it is about
	// to exit.
	Leaving bool
}

// target is an announced target.
type target struct {
	Announcement
	// baseURL is the announced address without a trailing slash.
	baseURL string
	expires time.Time
}

// validate returns an ErrInvalidAnnouncement that names the first invalid field.
func (a Announcement) validate() error {
	u, err := url.Parse(a.Address)
	switch {
	case a.Service == "":
		return merry.Prepend(ErrInvalidAnnouncement, "service: is missing")
	case len(a.Service) > maxNameBytes || !utf8.ValidString(a.Service):
		return merry.Prependf(ErrInvalidAnnouncement, "service: is %.*q, expected up to %d bytes of UTF-8", maxNameBytes, a.Service, maxNameBytes)
	case len(a.Address) > maxAddressBytes:
		return merry.Prependf(ErrInvalidAnnouncement, "address: has %d bytes, expected %d at most", len(a.Address), maxAddressBytes)
	case err != nil || u.Scheme != "http" || u.Host == "" || u.User != nil || u.RawQuery != "" || u.ForceQuery || u.Fragment != "":
		return merry.Prependf(ErrInvalidAnnouncement, "address: is %q, expected a URL such as http://127.0.0.1:7300", a.Address)
	case !isPort(u.Port()):
		return merry.Prependf(ErrInvalidAnnouncement, "address: is %q, expected a port from 1 to 65535", a.Address)
	case !isLoopback(u.Hostname()):
		return merry.Prependf(ErrInvalidAnnouncement, "address: is %q, expected a loopback address", a.Address)
	case a.Slots < 1 || a.Slots > maxSlots:
		return merry.Prependf(ErrInvalidAnnouncement, "slots: is %d, expected 1 to %d", a.Slots, maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return merry.Prependf(ErrInvalidAnnouncement, "connections: is %d, expected 1 to %d", a.Connections, maxConnections)
	}
	return nil
}

// isPort reports whether the port of a URL exists. It is empty for the default one.
func isPort(port string) bool {
	number, err := strconv.ParseUint(port, 10, 16)
	return port == "" || err == nil && number > 0
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Announce adds the target of a service or renews its announcement. It returns
// ErrInvalidAnnouncement if the announcement is rejected.
func (s *Side) Announce(ctx context.Context, a Announcement) error {
	if err := a.validate(); err != nil {
		return err
	}
	done := make(chan error, 1)
	if err := s.post(ctx, targetAnnounced{announcement: a, done: done}); err != nil {
		return err
	}
	result, err := yuccaquery.Await(ctx, s.lifetime, done)
	if err != nil {
		return err
	}
	return result
}

// Withdraw removes the target of a service.
func (s *Side) Withdraw(ctx context.Context, service string) error {
	done := make(chan struct{})
	if err := s.post(ctx, targetWithdrawn{service: service, done: done}); err != nil {
		return err
	}
	_, err := yuccaquery.Await(ctx, s.lifetime, done)
	return err
}

// addTarget adds or renews a target. The address of a service can't change while
// any attempt is running.
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
	s.options.Logger.Info("target removed", "service", service)
	s.publishTargets()
}

// expireTargets removes the targets whose announcement has expired.
func (s *Side) expireTargets(now time.Time) {
	for name, t := range s.targets {
		if !now.Before(t.expires) {
			s.metrics.Add("targets_expired", 1)
			s.removeTarget(name)
		}
	}
}

// publishTargets reports the current targets to control and the free slots to the
// owners.
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

// lowerName returns the name of an enum value in lower case, without its prefix.
func lowerName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
