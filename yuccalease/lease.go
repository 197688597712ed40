package yuccalease

import "time"

// Lease is the right to act until it runs out. The zero Lease has run out. It
// is kept on the monotonic clock of the process that holds it.
type Lease struct {
	expires time.Time
}

// Extend returns the lease that a grant gives when its request left at the
// given time. A grant never shortens a lease.
func (l Lease) Extend(requested time.Time, duration time.Duration) Lease {
	expires := requested.Add(duration)
	if expires.Before(l.expires) {
		return l
	}
	return Lease{expires: expires}
}

// Valid tells whether the lease still holds.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.expires) }

// Expires is the time from which the lease no longer holds.
func (l Lease) Expires() time.Time { return l.expires }
