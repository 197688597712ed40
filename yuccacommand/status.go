package yuccacommand

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

type statusCommand struct {
	controlFlags
	JSON bool `name:"json" help:"Print JSON."`
}

// Help returns the detailed help text for kong.
func (statusCommand) Help() string {
	return "Example: yuccaturn status --address 127.0.0.1:7111"
}

// Run prints the status of the control group, the sections and the members. It
// queries the leader if the addressed control is a follower.
func (c *statusCommand) Run(o *output) error {
	ctx := context.Background()
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if !status.IsLeader && status.LeaderAddress != "" {
		c.Address = status.LeaderAddress
		if leader, err := c.client().Status(ctx); err == nil {
			status = leader
		}
	}
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(status)
	}
	printStatus(o, status)
	return nil
}

func printStatus(o *output, s yuccacontrol.Status) {
	switch {
	case s.IsLeader:
		o.printf("control: %s leads, term %d, commit %d, %d claims\n", s.Name, s.Term, s.Commit, s.Claims)
	case s.Leader != "":
		o.printf("control: %s does not lead; %s should, and does not answer\n", s.Name, s.Leader)
	default:
		o.printf("control: %s knows no leader; nothing new can start once leases run out\n", s.Name)
	}
	for _, r := range s.Replicas {
		o.printf("replica: %s %s%s\n", r.Name, r.Address, replicaNotes(r))
	}
	for _, section := range s.Sections {
		o.printf("section: %s version %d, %s\n", section.Name, section.Version, sectionState(section))
	}
	if len(s.DrainedDataCentres) > 0 {
		o.printf("data centres out: %s\n", strings.Join(s.DrainedDataCentres, ", "))
	}
	if s.IsLeader && !s.Settled {
		o.printf("members: the leader is new and still learns them\n")
	}
	for _, m := range s.Members {
		o.printf("%s: %s in %s at %s%s%s\n", m.Role, m.Name, m.DataCentre, m.Address, leavingNote(m.Leaving), targetNotes(m))
	}
}

func replicaNotes(r yuccacontrol.ReplicaStatus) string {
	notes := ""
	if !r.Voter {
		notes += ", learning"
	}
	if !r.Connected {
		notes += ", UNREACHABLE"
	}
	return notes
}

func sectionState(s yuccacontrol.SectionStatus) string {
	if len(s.Lagging) == 0 {
		return "in force everywhere"
	}
	return "not yet in force at " + strings.Join(s.Lagging, ", ")
}

func leavingNote(leaving bool) string {
	if leaving {
		return ", leaving"
	}
	return ""
}

func targetNotes(m yuccacontrol.MemberStatus) string {
	var notes strings.Builder
	for _, t := range m.Targets {
		fmt.Fprintf(&notes, ", %s with %d slots%s", t.Service, t.Slots, leavingNote(t.Leaving))
	}
	return notes.String()
}

type replicaCommands struct {
	Remove replicaRemove `cmd:"" help:"Take a control out of the group."`
}

type replicaRemove struct {
	controlFlags
	Name string `arg:"" help:"The control."`
}

// Help returns the detailed help text for kong.
func (replicaRemove) Help() string {
	return "Example: yuccaturn replica remove control-3"
}

// Run starts the removal of the replica.
func (c *replicaRemove) Run(o *output) error {
	if err := c.client().RemoveReplica(context.Background(), c.Name); err != nil {
		return err
	}
	o.printf("%s: removal begun; see yuccaturn status\n", c.Name)
	return nil
}

type versionCommand struct{}

// Help returns the detailed help text for kong.
func (versionCommand) Help() string {
	return "Example: yuccaturn version"
}

// Run prints the version of the program and of its protocol.
func (versionCommand) Run(o *output) error {
	version := "development"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
		version = info.Main.Version
	}
	o.printf("yuccaturn %s, protocol %d\n", version, yuccawire.ProtocolVersion)
	return nil
}
