package yuccacommand

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
)

type configCommands struct {
	Check configCheck `cmd:"" help:"Check a document without applying it."`
	Show  configShow  `cmd:"" help:"Show the sections that are accepted."`
	Apply configApply `cmd:"" help:"Replace a section that is still at the version that was seen."`
	Log   configLog   `cmd:"" help:"Show who changed what, and when."`
	Diff  configDiff  `cmd:"" help:"Show what one change did to its section."`
}

type configCheck struct {
	File string `arg:"" help:"The document, JSON with comments." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (configCheck) Help() string {
	return "Prints all findings together and exits with 2 if there are any.\n\nExample: yuccaturn config check examples/document.jsonc"
}

// Run parses the document and prints all findings.
func (c *configCheck) Run(o *output) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return merry.Prepend(err, "reading the document")
	}
	if _, err := yuccadocument.Parse(c.File, document); err != nil {
		o.printf("%v\n", err)
		return merry.Prepend(err, "the document has faults")
	}
	o.printf("%s: no findings\n", c.File)
	return nil
}

type configShow struct {
	controlFlags
	Section string `help:"Only this section." placeholder:"NAME"`
	JSON    bool   `name:"json" help:"Print JSON."`
}

// Help returns the detailed help text for kong.
func (configShow) Help() string {
	return "Example: yuccaturn config show --section limits"
}

// Run prints the selected section, or all sections.
func (c *configShow) Run(o *output) error {
	names := yuccadocument.OperatorSections
	if c.Section != "" {
		names = []string{c.Section}
	}
	for _, name := range names {
		section, err := c.client().Section(context.Background(), name)
		if err != nil {
			return err
		}
		if err := printSection(o, section, c.JSON); err != nil {
			return err
		}
	}
	return nil
}

func printSection(o *output, section yuccaclient.Section, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(o.stdout).Encode(section)
	}
	o.printf("%s version %d\n%s\n", section.Name, section.Version, indentJSON(section.Body))
	return nil
}

func indentJSON(body json.RawMessage) string {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		return string(body)
	}
	return out.String()
}

type configApply struct {
	controlFlags
	Section     string `required:"" help:"The section to replace." placeholder:"NAME"`
	BaseVersion uint64 `required:"" help:"The version that was seen; 0 for the first." placeholder:"N"`
	RequestID   string `help:"Resend a request under the same id to get its first answer." placeholder:"ID"`
	JSON        bool   `name:"json" help:"Print JSON."`
	File        string `arg:"" help:"The whole document, JSON with comments." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (configApply) Help() string {
	return "Exits with 3 if another change was first.\n\nExample: yuccaturn config apply --section limits --base-version 4 --request-id quota-17 document.jsonc"
}

// Run checks the whole document and applies one section of it. The request id
// makes a resend idempotent; it is printed with errors.
func (c *configApply) Run(o *output) error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return merry.Prepend(err, "reading the document")
	}
	if _, err := yuccadocument.Parse(c.File, document); err != nil {
		return err
	}
	body, err := yuccadocument.ExtractSection(c.File, document, c.Section)
	if err != nil {
		return err
	}
	requestID := c.RequestID
	if requestID == "" {
		requestID = rand.Text()
	}
	accepted, err := c.client().ApplySection(context.Background(), c.Section, c.BaseVersion, requestID, body)
	if err != nil {
		return merry.Prependf(err, "request %s", requestID)
	}
	return printAccepted(o, accepted, c.JSON)
}

func printAccepted(o *output, accepted yuccaclient.ChangeResponse, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(o.stdout).Encode(accepted)
	}
	note := ""
	if accepted.Repeated {
		note = " (accepted before)"
	}
	o.printf("%s: accepted as version %d%s\n", accepted.Section, accepted.Version, note)
	return nil
}

type configLog struct {
	controlFlags
	Section string `help:"Only this section." placeholder:"NAME"`
	Limit   int    `help:"How many changes at most." default:"20"`
	JSON    bool   `name:"json" help:"Print JSON."`
}

// Help returns the detailed help text for kong.
func (configLog) Help() string {
	return "Example: yuccaturn config log --section limits"
}

// Run prints the history of changes, newest first.
func (c *configLog) Run(o *output) error {
	changes, err := c.client().Changes(context.Background(), c.Section, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(o.stdout).Encode(changes)
	}
	for _, change := range changes {
		o.printf("%s  %s version %d  by %s  request %s\n", change.At, change.Section, change.Version, change.Operator, change.RequestID)
	}
	return nil
}
