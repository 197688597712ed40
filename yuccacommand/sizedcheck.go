package yuccacommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccacheck"
	"github.com/yuccaturn/yuccaturn/yuccaclient"
	"github.com/yuccaturn/yuccaturn/yuccasized"
)

// documentTimeout limits the wait for the document in force, which an entry
// answers from its memory.
const documentTimeout = 5 * time.Second

type sizedCheck struct {
	Address string `help:"Operators' address of any entry, to compare with the document in force." placeholder:"HOST:PORT" xor:"base"`
	Against string `help:"Compare with this document." placeholder:"FILE" xor:"base"`
	Strict  bool   `help:"Fail if there are warnings."`
	File    string `arg:"" help:"The document, JSON with comments." placeholder:"FILE"`
}

// Help returns the detailed help text for kong.
func (sizedCheck) Help() string {
	return "Prints all findings together and exits with 2 if the document is invalid. Entries and limits without effect are warnings.\n\n" +
		"Example: yuccaturn sized check --address 127.0.0.1:7412 --strict examples/sized/document.jsonc"
}

// Run parses the document and prints the differences from the other document, the
// warnings, and what applying it would do.
func (c *sizedCheck) Run(o *output) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return merry.Prepend(err, "reading the document")
	}
	draft, document, err := yuccasized.ParseDraft(c.File, text)
	if err != nil {
		return err
	}
	if _, err := yuccacatalog.New(draft); err != nil {
		return err
	}
	warnings := yuccacheck.Check(draft, document)
	verdict := "can be applied"
	base, name, compareErr := c.base()
	if compareErr == nil && name != "" {
		warnings = yuccacheck.CheckVersion(base, draft, document)
		verdict = printComparison(o, base, draft, name)
	}
	for _, w := range warnings {
		o.printf("warning: %s\n", w)
	}
	if compareErr != nil {
		return compareErr
	}
	o.printf("%s: version %d %s\n", c.File, draft.Version, verdict)
	if c.Strict && len(warnings) > 0 {
		return errors.Join(errReported, warnings)
	}
	return nil
}

// printComparison prints the differences and returns what applying the draft on
// the base would do.
func printComparison(o *output, base, draft yuccacatalog.Draft, name string) string {
	differences := yuccacheck.Compare(base, draft)
	for _, d := range differences {
		o.printf("%s\n", d)
	}
	if len(differences) == 0 {
		o.printf("no differences from %s\n", name)
	}
	if draft.Version > base.Version {
		return fmt.Sprintf("can be applied, it is higher than version %d of %s", base.Version, name)
	}
	return fmt.Sprintf("would be acknowledged without effect, it is not higher than version %d of %s", base.Version, name)
}

// base returns the document to compare with and a name for it. The name is empty
// if there is none.
func (c *sizedCheck) base() (base yuccacatalog.Draft, name string, err error) {
	var text []byte
	switch {
	case c.Address != "":
		ctx, cancel := context.WithTimeout(context.Background(), documentTimeout)
		defer cancel()
		name = "the document in force at " + c.Address
		text, err = yuccaclient.New(c.Address, currentUsername()).Document(ctx)
	case c.Against != "":
		name = c.Against
		text, err = os.ReadFile(c.Against)
	default:
		return yuccacatalog.Draft{}, "", nil
	}
	if err != nil {
		return yuccacatalog.Draft{}, "", merry.Prepend(err, "reading "+name)
	}
	base, _, err = yuccasized.ParseDraft(name, text)
	return base, name, err
}
