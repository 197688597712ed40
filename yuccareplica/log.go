package yuccareplica

import "github.com/yuccaturn/yuccaturn/yuccawire"

// memoryLog holds the entries after the last snapshot.
type memoryLog struct {
	snapshot *yuccawire.InstallSnapshot
	entries  []*yuccawire.Entry
	// commandBytes is the total size of the commands of the entries.
	commandBytes int
}

func newMemoryLog(snapshot *yuccawire.InstallSnapshot, entries []*yuccawire.Entry) memoryLog {
	return memoryLog{snapshot: snapshot, entries: entries, commandBytes: sumCommandBytes(entries)}
}

func sumCommandBytes(entries []*yuccawire.Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.GetCommand())
	}
	return sum
}

func (l *memoryLog) firstIndex() uint64 { return l.snapshot.GetIndex() + 1 }

func (l *memoryLog) lastIndex() uint64 { return l.snapshot.GetIndex() + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at the index. It returns false if the
// entry is compacted or beyond the end of the log.
func (l *memoryLog) termAt(index uint64) (uint64, bool) {
	if index == l.snapshot.GetIndex() {
		return l.snapshot.GetIndexTerm(), true
	}
	e := l.entry(index)
	return e.GetTerm(), e != nil
}

func (l *memoryLog) entry(index uint64) *yuccawire.Entry {
	if index < l.firstIndex() || index > l.lastIndex() {
		return nil
	}
	return l.entries[index-l.firstIndex()]
}

// entriesFrom returns the entries from the index on, without those that are compacted.
func (l *memoryLog) entriesFrom(from uint64) []*yuccawire.Entry {
	if from > l.lastIndex() {
		return nil
	}
	return l.entries[max(from, l.firstIndex())-l.firstIndex():]
}

// batchFrom returns the entries from the index on, limited to the size of one
// append message, but at least one.
func (l *memoryLog) batchFrom(from uint64, maxBytes int) []*yuccawire.Entry {
	if from < l.firstIndex() {
		return nil
	}
	entries := l.entriesFrom(from)
	size := 0
	for i, e := range entries {
		size += len(e.GetCommand())
		if i > 0 && (size > maxBytes || i >= maxAppendEntries) {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// truncateAndAppend drops the entries from the index of the new entry on, then
// appends it.
func (l *memoryLog) truncateAndAppend(e *yuccawire.Entry) {
	offset := e.GetIndex() - l.firstIndex()
	if offset < uint64(len(l.entries)) {
		l.commandBytes -= sumCommandBytes(l.entries[offset:])
		// Callers hold slices of the log, so truncation must not reuse the array.
		l.entries = l.entries[:offset:offset]
	}
	l.add(e)
}

// add appends an entry without truncating the log.
func (l *memoryLog) add(e *yuccawire.Entry) {
	l.entries = append(l.entries, e)
	l.commandBytes += len(e.GetCommand())
}

// latestReplicas returns the newest configuration in the log or the snapshot,
// and its index.
func (l *memoryLog) latestReplicas() (*yuccawire.Replicas, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if r := l.entries[i].GetReplicas(); r != nil {
			return r, l.entries[i].GetIndex()
		}
	}
	return l.snapshot.GetReplicas(), l.snapshot.GetIndex()
}

// compact replaces the entries up to the snapshot's index with the snapshot.
func (l *memoryLog) compact(snapshot *yuccawire.InstallSnapshot) {
	var remaining []*yuccawire.Entry
	if snapshot.GetIndex() <= l.lastIndex() {
		remaining = append(remaining, l.entries[snapshot.GetIndex()-l.firstIndex()+1:]...)
	}
	*l = newMemoryLog(snapshot, remaining)
}
