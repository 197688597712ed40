package yuccastate

import (
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// maxChanges bounds the history. Resent requests get their first answer as
// long as their change is in it.
const maxChanges = 8000

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	sections         map[string]*yuccawire.Section
	document         yuccadocument.Document
	changes          []*yuccawire.Change
	changesByRequest map[string]*yuccawire.Change
	jobs             map[jobID]*yuccawire.JobRecord
	jobsByAge        []*yuccawire.JobRecord
	fences           map[string]fence
	fencesVersion    uint64
	clock            int64
}

type jobID struct{ team, id string }

// fence is the incarnation up to which an owner is fenced, and the version of
// the fences at which that was decided.
type fence struct {
	incarnation uint64
	version     uint64
}

// New returns the state of a new group.
func New() *State {
	return &State{
		sections:         make(map[string]*yuccawire.Section),
		changesByRequest: make(map[string]*yuccawire.Change),
		jobs:             make(map[jobID]*yuccawire.JobRecord),
		fences:           make(map[string]fence),
	}
}

// Result is what a command came to. One field is set.
type Result struct {
	Change  *ChangeResult
	Claims  []*yuccawire.ClaimReply
	Expired int
}

// Apply carries out one encoded command. An empty one changes nothing.
func (s *State) Apply(data []byte) (Result, error) {
	command := new(yuccawire.Command)
	if err := proto.Unmarshal(data, command); err != nil {
		return Result{}, merry.Prepend(err, "reading a committed command")
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

// Section returns the section as it is in force, or nil. It must not be
// changed.
func (s *State) Section(name string) *yuccawire.Section { return s.sections[name] }

// Document returns the operators' sections that are in force.
func (s *State) Document() yuccadocument.Document { return s.document }

// Newer returns the sections that are newer than the reader's.
func (s *State) NewerSections(versions []*yuccawire.SectionVersion) []*yuccawire.Section {
	var newer []*yuccawire.Section
	for _, v := range versions {
		if section := s.sections[v.GetName()]; section.GetVersion() > v.GetVersion() {
			newer = append(newer, section)
		}
	}
	return newer
}

// FencesSince returns the fences that were decided after the version, and the
// current version.
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

// Fenced tells whether the owner's incarnation may not act any more.
func (s *State) IsFenced(owner string, incarnation uint64) bool {
	return incarnation <= s.fences[owner].incarnation
}

// Jobs is the number of claims that are kept.
func (s *State) JobCount() int { return len(s.jobs) }

// Clock is the latest wall-clock time that a command carried.
func (s *State) Clock() time.Time { return time.UnixMilli(s.clock) }

func (s *State) fenceOwner(f *yuccawire.FenceOwner) {
	if s.IsFenced(f.GetOwner(), f.GetIncarnation()) {
		return
	}
	s.fencesVersion++
	s.fences[f.GetOwner()] = fence{incarnation: f.GetIncarnation(), version: s.fencesVersion}
}
