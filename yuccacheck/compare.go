package yuccacheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yuccaturn/yuccaturn/yuccacatalog"
)

// Change is the kind of a difference.
type Change string

// The kinds of differences. Only queues have fields and can be changed.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is one difference between two documents.
type Difference struct {
	// Entry is the kind and the name of an entry, such as "queue trim".
	Entry  string
	Change Change
	// Field is the name of a changed field.
	Field string
	// Old and New are the values of a changed field, or all fields of an entry that
	// was removed or added.
	Old, New string
}

// String formats the difference as "queue trim: changed: timeout 2s -> 3s".
func (d Difference) String() string {
	text := fmt.Sprintf("%s: %s", d.Entry, d.Change)
	switch {
	case d.Change == Changed:
		return fmt.Sprintf("%s: %s %s -> %s", text, d.Field, d.Old, d.New)
	case d.Old+d.New != "":
		return text + ": " + d.Old + d.New
	}
	return text
}

// Compare returns how the draft differs from the base, services first, each kind
// sorted by name. Versions are not compared.
func Compare(base, draft yuccacatalog.Draft) []Difference {
	services := compare("service ", serviceFields(base), serviceFields(draft))
	return append(services, compare("queue ", queueFields(base), queueFields(draft))...)
}

type field struct{ name, value string }

func compare(kind string, base, draft map[string][]field) []Difference {
	var differences []Difference
	for name, old := range base {
		updated, kept := draft[name]
		if !kept {
			differences = append(differences, Difference{Entry: kind + name, Change: Removed, Old: summary(old)})
		}
		for i, f := range updated {
			if f != old[i] {
				differences = append(differences, Difference{Entry: kind + name, Change: Changed, Field: f.name, Old: old[i].value, New: f.value})
			}
		}
	}
	for name, added := range draft {
		if _, known := base[name]; !known {
			differences = append(differences, Difference{Entry: kind + name, Change: Added, New: summary(added)})
		}
	}
	slices.SortStableFunc(differences, func(a, b Difference) int { return strings.Compare(a.Entry, b.Entry) })
	return differences
}

func summary(fields []field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.name + " " + f.value
	}
	return strings.Join(parts, ", ")
}

func serviceFields(draft yuccacatalog.Draft) map[string][]field {
	services := make(map[string][]field, len(draft.Services))
	for _, name := range draft.Services {
		services[name] = nil
	}
	return services
}

func queueFields(draft yuccacatalog.Draft) map[string][]field {
	queues := make(map[string][]field, len(draft.Routes))
	for _, r := range draft.Routes {
		q := r.Queue
		queues[q.Name] = []field{
			{"service", q.Service},
			{"priority", fmt.Sprint(q.Priority)},
			{"max_attempts", fmt.Sprint(q.MaxAttempts)},
			{"stretch", fmt.Sprint(q.Stretch)},
			{"target_latency", q.TargetLatency.String()},
			{"timeout", r.Timeout.String()},
		}
	}
	return queues
}
