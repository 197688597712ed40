package yuccastate

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Encode returns the whole state as an encoded snapshot. Equal states have equal
// encodings.
func (s *State) Encode() ([]byte, error) {
	snapshot := &yuccawire.Snapshot{
		Changes:       s.changes,
		Jobs:          s.jobsByAge,
		FencesVersion: s.fencesVersion,
		ClockUnixMs:   s.clockUnixMs,
	}
	for _, name := range slices.Sorted(maps.Keys(s.sections)) {
		snapshot.Sections = append(snapshot.Sections, s.sections[name])
	}
	for _, owner := range slices.Sorted(maps.Keys(s.fences)) {
		f := s.fences[owner]
		snapshot.Fences = append(snapshot.Fences, &yuccawire.Fence{Owner: owner, Incarnation: f.incarnation, Version: f.version})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return data, merry.Prepend(err, "encoding a snapshot")
}

// Decode returns the state from a snapshot written by Encode. Empty data
// decodes to the state of a new group.
func Decode(data []byte) (*State, error) {
	snapshot := new(yuccawire.Snapshot)
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, merry.Prepend(err, "decoding a snapshot")
	}
	s := New()
	s.clockUnixMs = snapshot.GetClockUnixMs()
	s.fencesVersion = snapshot.GetFencesVersion()
	for _, f := range snapshot.GetFences() {
		s.fences[f.GetOwner()] = fence{incarnation: f.GetIncarnation(), version: f.GetVersion()}
	}
	for _, change := range snapshot.GetChanges() {
		s.changes = append(s.changes, change)
		s.changesByRequest[change.GetRequestId()] = change
	}
	for _, record := range snapshot.GetJobs() {
		s.jobsByAge = append(s.jobsByAge, record)
		s.jobs[jobID{team: record.GetJob().GetTeam(), id: record.GetJob().GetId()}] = record
	}
	for _, section := range snapshot.GetSections() {
		s.installSection(section)
	}
	return s, nil
}
