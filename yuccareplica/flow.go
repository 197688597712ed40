package yuccareplica

import "time"

// flow limits what is sent to a replica and not confirmed yet. Its window starts small after a loss, grows with what the
// replica confirms, and shrinks if that takes so long that heartbeats behind it come late.
type flow struct {
	maxBytes int
	window   int
	bytes    int
	sent     []sentAppend
	// lostAt is when the replica last rejected an append.
	lostAt time.Time
}

// sentAppend is an append with the entries from the first index to the last.
type sentAppend struct {
	first, last uint64
	bytes       int
	at          time.Time
}

func newFlow(maxBytes int) flow {
	return flow{maxBytes: maxBytes, window: min(MinInflightBytes, maxBytes)}
}

// room returns how many bytes may be sent now, zero if none. A single entry may be larger if nothing is unconfirmed.
func (f *flow) room() int {
	if len(f.sent) >= maxInflightAppends {
		return 0
	}
	return max(f.window-f.bytes, 0)
}

func (f *flow) isEmpty() bool { return len(f.sent) == 0 }

func (f *flow) add(s sentAppend) {
	f.sent = append(f.sent, s)
	f.bytes += s.bytes
}

// confirm records that the replica has all entries up to the index.
func (f *flow) confirm(now time.Time, index uint64) {
	for len(f.sent) > 0 && f.sent[0].last <= index {
		s := f.sent[0]
		f.sent = f.sent[1:]
		f.bytes -= s.bytes
		if now.Sub(s.at) > maxConfirmTime {
			f.window = max(f.window/2, MinInflightBytes)
		} else {
			f.window += s.bytes
		}
		f.window = min(f.window, f.maxBytes)
	}
}

// isRepeated reports whether the entries from the index on were sent again lately, so that a rejection is of an append
// before that.
func (f *flow) isRepeated(now time.Time, index uint64) bool {
	return len(f.sent) > 0 && f.sent[0].first == index && now.Sub(f.lostAt) < maxConfirmTime
}

// lose forgets what was sent, after the replica has rejected an append.
func (f *flow) lose(now time.Time) {
	*f = newFlow(f.maxBytes)
	f.lostAt = now
}
