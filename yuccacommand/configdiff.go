package yuccacommand

import (
	"context"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/yuccaturn/yuccaturn/yuccaclient"
)

// maxChanges limits the number of changes that commands request from the history.
const maxChanges = 10_000

type configDiff struct {
	controlFlags
	Section string `required:"" help:"The section." placeholder:"NAME"`
	Version uint64 `required:"" help:"The version whose change is shown." placeholder:"N"`
}

// Help returns the detailed help text for kong.
func (configDiff) Help() string {
	return "Example: yuccaturn config diff --section limits --version 4"
}

// Run prints the lines that the change removed and added.
func (c *configDiff) Run(o *output) error {
	changes, err := c.client().Changes(context.Background(), c.Section, maxChanges)
	if err != nil {
		return err
	}
	after, ok := bodyOfVersion(changes, c.Version)
	if !ok {
		return merry.Errorf("version %d of section %q is not in the history", c.Version, c.Section)
	}
	before, _ := bodyOfVersion(changes, c.Version-1)
	for _, line := range diffLines(strings.Split(before, "\n"), strings.Split(after, "\n")) {
		o.printf("%s\n", line)
	}
	return nil
}

// bodyOfVersion returns the indented body of a version of a section.
func bodyOfVersion(changes []yuccaclient.Change, version uint64) (string, bool) {
	for _, change := range changes {
		if change.Version == version {
			return indentJSON(change.Body), true
		}
	}
	return "", false
}

// diffLines returns a line diff based on the longest common subsequence. Removed
// lines begin with "-", added lines with "+".
func diffLines(before, after []string) []string {
	common := suffixLCSLengths(before, after)
	var lines []string
	i, j := 0, 0
	for i < len(before) && j < len(after) {
		switch {
		case before[i] == after[j]:
			lines = append(lines, "  "+before[i])
			i++
			j++
		case common[i+1][j] >= common[i][j+1]:
			lines = append(lines, "- "+before[i])
			i++
		default:
			lines = append(lines, "+ "+after[j])
			j++
		}
	}
	for ; i < len(before); i++ {
		lines = append(lines, "- "+before[i])
	}
	for ; j < len(after); j++ {
		lines = append(lines, "+ "+after[j])
	}
	return lines
}

// suffixLCSLengths returns the length of the longest common subsequence of each
// pair of suffixes: element [i][j] is for before[i:] and after[j:].
func suffixLCSLengths(before, after []string) [][]int {
	lengths := make([][]int, len(before)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
