package yuccareplica

import "github.com/yuccaturn/yuccaturn/yuccawire"

// memoryLog holds the entries after the last snapshot.
type memoryLog struct {
	snapshot *yuccawire.InstallSnapshot
	entries  []*yuccawire.Entry
}

func (l *memoryLog) first() uint64 { return l.snapshot.GetIndex() + 1 }

func (l *memoryLog) last() uint64 { return l.snapshot.GetIndex() + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry, if the log still knows it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.GetIndex() {
		return l.snapshot.GetIndexTerm(), true
	}
	e := l.entry(index)
	return e.GetTerm(), e != nil
}

func (l *memoryLog) entry(index uint64) *yuccawire.Entry {
	if index < l.first() || index > l.last() {
		return nil
	}
	return l.entries[index-l.first()]
}

// slice returns entries from the index on, within the bounds of one message.
func (l *memoryLog) slice(from uint64) []*yuccawire.Entry {
	if from < l.first() || from > l.last() {
		return nil
	}
	entries := l.entries[from-l.first():]
	size := 0
	for i, e := range entries {
		size += len(e.GetCommand())
		if i > 0 && (size > maxAppendBytes || i >= maxAppendEntries) {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// put stores the entry and drops what stood at its index and after it.
func (l *memoryLog) put(e *yuccawire.Entry) {
	keep := e.GetIndex() - l.first()
	if keep == uint64(len(l.entries)) {
		l.entries = append(l.entries, e)
		return
	}
	// Slices of the log were handed out, so a truncated log needs a new array.
	l.entries = append(l.entries[:keep:keep], e)
}

// add appends an entry without dropping any.
func (l *memoryLog) add(e *yuccawire.Entry) { l.entries = append(l.entries, e) }

// replicas returns the newest configuration in the log, and its index.
func (l *memoryLog) replicas() (*yuccawire.Replicas, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if r := l.entries[i].GetReplicas(); r != nil {
			return r, l.entries[i].GetIndex()
		}
	}
	return l.snapshot.GetReplicas(), l.snapshot.GetIndex()
}

// compact replaces the entries up to the snapshot's index by the snapshot.
func (l *memoryLog) compact(snapshot *yuccawire.InstallSnapshot) {
	var rest []*yuccawire.Entry
	if snapshot.GetIndex() <= l.last() {
		rest = append(rest, l.entries[snapshot.GetIndex()-l.first()+1:]...)
	}
	l.snapshot = snapshot
	l.entries = rest
}
