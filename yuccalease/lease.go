package yuccalease

import "time"

// Lease is a time-limited permission to act. It is measured on the monotonic
// clock of the process that holds it. The zero Lease has expired.
type Lease struct {
	expires time.Time
}

// Extend returns the lease after a grant of the duration, counted from the time
// at which it was requested. A grant never shortens the lease.
func (l Lease) Extend(requested time.Time, duration time.Duration) Lease {
	expires := requested.Add(duration)
	if expires.Before(l.expires) {
		return l
	}
	return Lease{expires: expires}
}

// Valid reports whether the lease has not expired.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.expires) }

// Expires returns the time at which the lease expires.
func (l Lease) Expires() time.Time { return l.expires }
