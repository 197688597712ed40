// Package yuccacommand implements the command line of the yuccaturn program, with
// one file for each group of commands.
//
// # Usage
//
//	os.Exit(yuccacommand.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Scripts rely on the exit codes; see the constants.
package yuccacommand

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
)

// Exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed, for example because a task of the
	// job failed.
	ExitFailed = 1
	// ExitUsage means that the command line, a file or a document is invalid.
	ExitUsage = 2
	// ExitConflict means that another change already replaced the base version, or
	// that the id is already used by another request or job.
	ExitConflict = 3
	// ExitUnreachable means that no reply arrived, that the outcome is unknown, that
	// the process is draining, or that it has no contact with the control group.
	ExitUnreachable = 4
)

// errReported marks the failure of a command that has already printed why it
// failed. Main prints no message for it.
var errReported = merry.Sentinel("failure already reported")

// commandLine declares the commands. kong derives the name of a command from its
// field and the names of flags and arguments from the fields of its type, so
// renaming a field without a name tag changes the command line.
type commandLine struct {
	Control  controlCommand   `cmd:"" help:"Run a control: a replica of the system's own state."`
	Entry    entryCommand     `cmd:"" help:"Run an entry host for callers."`
	Side     sideCommand      `cmd:"" help:"Run the process beside a target."`
	Deployed deployedCommands `cmd:"" help:"Run a process on the users' platform."`
	Sized    sizedCommands    `cmd:"" help:"Run and use a system for jobs whose tasks have sizes."`
	Target   targetCommand    `cmd:"" help:"Run a stand-in target."`
	Local    localCommand     `cmd:"" help:"Run a whole system in one process."`

	Config     configCommands     `cmd:"" help:"Check, show and apply the operators' document."`
	DataCentre dataCentreCommands `cmd:"" name:"data-centre" help:"List data centres, take them out, bring them back."`
	Job        jobCommands        `cmd:"" help:"Submit, show and cancel jobs."`
	Replica    replicaCommands    `cmd:"" help:"Change the control group."`
	Load       loadCommands       `cmd:"" help:"Drive a running system and measure it."`
	History    historyCommands    `cmd:"" help:"Check what happened in a run."`
	Status     statusCommand      `cmd:"" help:"Show what a person on call asks first."`
	Version    versionCommand     `cmd:"" help:"Show the version."`
}

// output holds the standard output and the standard error of a command.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

func (o *output) printf(format string, args ...any) { fmt.Fprintf(o.stdout, format, args...) }

// Main parses the arguments, runs the selected command and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	merry.SetStackCaptureEnabled(false)
	var commands commandLine
	kongExitCode := -1
	parser, err := kong.New(&commands,
		kong.Name("yuccaturn"),
		kong.Description("A dispatcher for sub-second tasks.\n\nExample: yuccaturn local --demo"),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { kongExitCode = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(stderr, "yuccaturn:", err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		fmt.Fprintln(stderr, "yuccaturn:", err)
		return ExitUsage
	}
	err = parsed.Run(&output{stdout: stdout, stderr: stderr})
	if err != nil && !errors.Is(err, errReported) {
		fmt.Fprintln(stderr, "yuccaturn:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var findings yuccajsonc.Findings
	var problem *yuccaproblem.Problem
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &problem):
		return problemExitCode(problem)
	case errors.As(err, &findings), errors.Is(err, os.ErrNotExist):
		return ExitUsage
	case errors.Is(err, yuccaclient.ErrUnreachable):
		return ExitUnreachable
	}
	return ExitFailed
}

func problemExitCode(p *yuccaproblem.Problem) int {
	switch p.Type {
	case yuccaproblem.VersionConflict, yuccaproblem.RequestReused, yuccaproblem.JobConflict:
		return ExitConflict
	case yuccaproblem.OutcomeUnknown, yuccaproblem.NoControl, yuccaproblem.Draining:
		return ExitUnreachable
	}
	if p.Status == http.StatusBadRequest || p.Status == http.StatusUnprocessableEntity {
		return ExitUsage
	}
	return ExitFailed
}

// controlFlags are the flags of commands that call the HTTP API of a control.
type controlFlags struct {
	Address  string `help:"Operators' address of any control." default:"127.0.0.1:7111" placeholder:"HOST:PORT"`
	Operator string `help:"Name for the history of changes." placeholder:"NAME"`
}

func (f controlFlags) client() *yuccaclient.Client {
	operator := f.Operator
	if operator == "" {
		operator = currentUsername()
	}
	return yuccaclient.New(f.Address, operator)
}

func currentUsername() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// entryFlags are the flags of commands that call the HTTP API of an entry.
type entryFlags struct {
	Address string `help:"Callers' address of any entry." default:"127.0.0.1:7211" placeholder:"HOST:PORT"`
}

func (f entryFlags) client() *yuccaclient.Client { return yuccaclient.New(f.Address, "") }
