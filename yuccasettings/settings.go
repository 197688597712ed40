// Package yuccasettings reads the settings file of a process. The file is JSON
// with comments. It has common sections, such as log, and one section for the
// role of the process.
//
// All errors of a file are reported together, each with its line and column.
// Relative paths are resolved against the folder of the file.
//
// # Usage
//
//	settings, err := yuccasettings.Load(yuccasettings.RoleEntry, "entry.jsonc")
//	settings.Process.Name, settings.Entry.Callers, ...
package yuccasettings

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// Role is the kind of a process. It is also the name of its settings section.
type Role string

// Roles.
const (
	RoleControl Role = "control"
	RoleEntry   Role = "entry"
	RoleSide    Role = "side"
	RoleTarget  Role = "target"
	RoleLocal   Role = "local"
	RoleLoad    Role = "load"
	// Roles of a system for sized jobs, whose tasks declare the resources that they
	// need.
	RoleSizedEntry  Role = "sized_entry"
	RoleSizedSide   Role = "sized_side"
	RoleSizedWorker Role = "sized_worker"
	RoleSizedLoad   Role = "sized_load"
)

// Settings is the content of a settings file. Of the sections that are named
// after roles, only the one of the process is set; the others are nil.
type Settings struct {
	Process Process   `json:"process"`
	Log     Log       `json:"log"`
	Trace   Trace     `json:"trace"`
	Control *Control  `json:"control"`
	Entry   *Entry    `json:"entry"`
	Side    *Side     `json:"side"`
	Target  *Target   `json:"target"`
	Local   *Local    `json:"local"`
	Load    *Workload `json:"load"`

	SizedEntry  *SizedEntry  `json:"sized_entry"`
	SizedSide   *SizedSide   `json:"sized_side"`
	SizedWorker *SizedWorker `json:"sized_worker"`
	SizedLoad   *SizedLoad   `json:"sized_load"`
}

// Load reads and checks the settings file of a process with the given role.
func Load(role Role, file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Prepend(err, "reading the settings")
	}
	settings, err := Parse(role, file, text)
	if err != nil {
		return nil, err
	}
	settings.resolvePaths(filepath.Dir(file))
	return settings, nil
}

// Parse decodes and checks settings. The error is a yuccajsonc.Findings with all
// findings. Relative paths are not resolved.
func Parse(role Role, file string, text []byte) (*Settings, error) {
	settings := new(Settings)
	d := yuccajsonc.Decode(file, text, settings)
	settings.check(role, d)
	return settings, d.Err()
}

func (s *Settings) check(role Role, d *yuccajsonc.Document) {
	s.Process.check(d)
	s.Log.check(d)
	s.Trace.check(d)
	s.checkRole(role, d)
	switch {
	case s.Control != nil:
		s.Control.check(d, s.Process.Name)
	case s.Entry != nil:
		s.Entry.check(d)
	case s.Side != nil:
		s.Side.check(d)
	case s.Target != nil:
		s.Target.check(d)
	case s.Local != nil:
		s.Local.check(d)
	case s.Load != nil:
		s.Load.check(d)
	case s.SizedEntry != nil:
		s.SizedEntry.check(d)
	case s.SizedSide != nil:
		s.SizedSide.check(d)
	case s.SizedWorker != nil:
		s.SizedWorker.check(d)
	case s.SizedLoad != nil:
		s.SizedLoad.check(d)
	}
}

// checkRole reports a missing section of the role, and sections of other roles.
func (s *Settings) checkRole(role Role, d *yuccajsonc.Document) {
	present := map[Role]bool{
		RoleControl: s.Control != nil, RoleEntry: s.Entry != nil, RoleSide: s.Side != nil,
		RoleTarget: s.Target != nil, RoleLocal: s.Local != nil, RoleLoad: s.Load != nil,
		RoleSizedEntry: s.SizedEntry != nil, RoleSizedSide: s.SizedSide != nil, RoleSizedWorker: s.SizedWorker != nil,
		RoleSizedLoad: s.SizedLoad != nil,
	}
	for _, other := range slices.Sorted(maps.Keys(present)) {
		switch {
		case other == role && !present[other]:
			d.Report(string(other), "is missing", fmt.Sprintf("the section of a process with the role %s", role))
		case other != role && present[other]:
			d.Report(string(other), "belongs to another role", fmt.Sprintf("the section %s only", role))
		}
	}
}

func (s *Settings) resolvePaths(folder string) {
	resolvePath(folder, &s.Trace.File)
	if s.Control != nil {
		resolvePath(folder, &s.Control.DataFolder)
	}
	if s.SizedEntry != nil {
		resolvePath(folder, &s.SizedEntry.DataFolder)
	}
	if s.Target != nil {
		resolvePath(folder, &s.Target.Journal)
	}
	if s.Load != nil {
		for i := range s.Load.Journals {
			resolvePath(folder, &s.Load.Journals[i])
		}
	}
	if s.Local != nil {
		resolvePath(folder, &s.Local.Document)
		resolvePath(folder, &s.Local.Job)
	}
}

func resolvePath(folder string, path *string) {
	if *path != "" && !filepath.IsAbs(*path) {
		*path = filepath.Join(folder, *path)
	}
}

// checkAddress reports an address that is not an IP address with a port.
func checkAddress(d *yuccajsonc.Document, field, address string) {
	const expected = "an IP number and a port such as 127.0.0.1:7000"
	if address == "" {
		d.Report(field, "is missing", expected)
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		d.Report(field, fmt.Sprintf("is %q", address), expected)
	}
}

func checkAddresses(d *yuccajsonc.Document, field string, addresses []string) {
	if len(addresses) == 0 {
		d.Report(field, "is missing", "the addresses of the control group")
	}
	for i, address := range addresses {
		checkAddress(d, fmt.Sprintf("%s[%d]", field, i), address)
	}
}

func checkRequired(d *yuccajsonc.Document, field, value, expected string) {
	if value == "" {
		d.Report(field, "is missing", expected)
	}
}
