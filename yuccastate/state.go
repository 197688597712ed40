package yuccastate

import (
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// maxChanges is the number of latest changes that the history always retains. A
// repeated request returns its first result as long as its change is retained.
const maxChanges = 8000

// State is the replicated state. Changes and jobsByAge are sorted from oldest to
// newest. It is not safe for concurrent use.
type State struct {
	sections         map[string]*yuccawire.Section
	document         yuccadocument.Document
	changes          []*yuccawire.Change
	changesByRequest map[string]*yuccawire.Change
	jobs             map[jobID]*yuccawire.JobRecord
	jobsByAge        []*yuccawire.JobRecord
	fences           map[string]fence
	fencesVersion    uint64
	clockUnixMs      int64
}

type jobID struct{ team, id string }

// fence is the highest fenced incarnation of an owner, and the fences version
// that introduced it.
type fence struct {
	incarnation uint64
	version     uint64
}

// New returns the empty state of a new group.
func New() *State {
	return &State{
		sections:         make(map[string]*yuccawire.Section),
		changesByRequest: make(map[string]*yuccawire.Change),
		jobs:             make(map[jobID]*yuccawire.JobRecord),
		fences:           make(map[string]fence),
	}
}

// Result is the result of a command. At most one field is set, depending on the
// command.
type Result struct {
	Change  *ChangeResult
	Claims  []*yuccawire.ClaimReply
	Expired int
}

// Apply applies one encoded command and returns its result. An empty command
// changes nothing.
func (s *State) Apply(data []byte) (Result, error) {
	command := new(yuccawire.Command)
	if err := proto.Unmarshal(data, command); err != nil {
		return Result{}, merry.Prepend(err, "decoding a committed command")
	}
	switch body := command.GetBody().(type) {
	case *yuccawire.Command_ApplySection:
		return Result{Change: s.applySection(body.ApplySection)}, nil
	case *yuccawire.Command_SetDataCentre:
		return Result{Change: s.setDataCentre(body.SetDataCentre)}, nil
	case *yuccawire.Command_Claims:
		return Result{Claims: s.applyClaims(body.Claims)}, nil
	case *yuccawire.Command_FenceOwner:
		s.fenceOwner(body.FenceOwner)
	case *yuccawire.Command_ReplaceDocument:
		return Result{Change: s.replaceDocument(body.ReplaceDocument)}, nil
	case *yuccawire.Command_ExpireJobs:
		return Result{Expired: s.expireJobs(body.ExpireJobs)}, nil
	}
	return Result{}, nil
}

// Section returns the current version of the section, or nil. It must not be
// modified.
func (s *State) Section(name string) *yuccawire.Section { return s.sections[name] }

// Document returns the document decoded from the current sections.
func (s *State) Document() yuccadocument.Document { return s.document }

// NewerSections returns the sections whose current version is newer than the
// given one.
func (s *State) NewerSections(versions []*yuccawire.SectionVersion) []*yuccawire.Section {
	var newer []*yuccawire.Section
	for _, v := range versions {
		if section := s.sections[v.GetName()]; section.GetVersion() > v.GetVersion() {
			newer = append(newer, section)
		}
	}
	return newer
}

// FencesSince returns the fences introduced after the version, and the current
// version.
func (s *State) FencesSince(version uint64) ([]*yuccawire.Fence, uint64) {
	if version >= s.fencesVersion {
		return nil, s.fencesVersion
	}
	var newer []*yuccawire.Fence
	for owner, f := range s.fences {
		if f.version > version {
			newer = append(newer, &yuccawire.Fence{Owner: owner, Incarnation: f.incarnation})
		}
	}
	return newer, s.fencesVersion
}

// IsFenced reports whether the owner's incarnation is fenced, so that it must
// not act any more.
func (s *State) IsFenced(owner string, incarnation uint64) bool {
	return incarnation <= s.fences[owner].incarnation
}

// JobCount returns the number of retained claims.
func (s *State) JobCount() int { return len(s.jobs) }

// Clock returns the latest wall-clock time carried by any command.
func (s *State) Clock() time.Time { return time.UnixMilli(s.clockUnixMs) }

func (s *State) fenceOwner(f *yuccawire.FenceOwner) {
	if s.IsFenced(f.GetOwner(), f.GetIncarnation()) {
		return
	}
	s.fencesVersion++
	s.fences[f.GetOwner()] = fence{incarnation: f.GetIncarnation(), version: s.fencesVersion}
}
