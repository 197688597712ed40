package yuccadocument

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const (
	defaultMaxQueuedTasks = 20_000
	defaultWeight         = 1
	defaultClaimRetention = time.Hour
	minClaimRetention     = time.Minute
	maxClaimRetention     = 7 * 24 * time.Hour
)

// MaxDeadline limits the deadline of any job.
const MaxDeadline = 10 * time.Minute

// Limits holds the quotas of the teams and the retention of claims.
type Limits struct {
	// Teams maps the name of a team to its quota.
	Teams map[string]Team `json:"teams"`
	// ClaimsKept is how long the claim of a job is retained; zero means the default.
	// A job may be resubmitted within half of that time.
	ClaimsKept time.Duration `json:"claims_kept"`
}

// ClaimRetention returns how long the claim of a job is retained.
func (l Limits) ClaimRetention() time.Duration {
	if l.ClaimsKept == 0 {
		return defaultClaimRetention
	}
	return l.ClaimsKept
}

// ResubmitWithin returns how long after its first submission a job may be
// resubmitted. It is half the retention of claims, which leaves a margin for clock
// skew.
func (l Limits) ResubmitWithin() time.Duration { return l.ClaimRetention() / 2 }

// MaxDeadline returns the longest deadline of a job that needs a claim. The claim must
// outlive the job, or a resubmission would run it again at the same time.
func (l Limits) MaxDeadline() time.Duration { return min(MaxDeadline, l.ClaimRetention()) }

// MaxSkew returns how far ahead the clock of a caller may be.
func (l Limits) MaxSkew() time.Duration { return l.ClaimRetention() / 4 }

// Team is the quota of one team at each entry.
type Team struct {
	// MaxRunning limits the team's tasks that run at the same time; zero means no
	// limit.
	MaxRunning int `json:"max_running"`
	// MaxQueued limits the team's queued tasks; zero means the default.
	MaxQueued int `json:"max_queued"`
	// Weight is the team's weight in the fair sharing of slots; zero means one.
	Weight int `json:"weight"`
	// Services lists the services that the team may call; empty means all.
	Services []string `json:"services"`
}

func (l Limits) check(d *yuccajsonc.Document, prefix string, services Services) {
	if l.ClaimsKept != 0 && (l.ClaimsKept < minClaimRetention || l.ClaimsKept > maxClaimRetention) {
		d.Report(prefix+".claims_kept", fmt.Sprintf("is %s", l.ClaimsKept), fmt.Sprintf("%s to %s", minClaimRetention, maxClaimRetention))
	}
	for _, name := range slices.Sorted(maps.Keys(l.Teams)) {
		l.Teams[name].check(d, prefix+".teams."+name, services)
	}
}

func (t Team) check(d *yuccajsonc.Document, path string, services Services) {
	if t.MaxRunning < 0 {
		d.Report(path+".max_running", fmt.Sprintf("is %d", t.MaxRunning), "zero or more")
	}
	if t.MaxQueued < 0 {
		d.Report(path+".max_queued", fmt.Sprintf("is %d", t.MaxQueued), "zero or more")
	}
	if t.Weight < 0 {
		d.Report(path+".weight", fmt.Sprintf("is %d", t.Weight), "zero or more")
	}
	for i, name := range t.Services {
		if _, ok := services[name]; !ok {
			d.Report(fmt.Sprintf("%s.services[%d]", path, i), fmt.Sprintf("names the unknown service %q", name), "one of section services")
		}
	}
}

// QueueLimit returns the maximum number of the team's queued tasks.
func (t Team) QueueLimit() int {
	if t.MaxQueued == 0 {
		return defaultMaxQueuedTasks
	}
	return t.MaxQueued
}

// EffectiveWeight returns the team's weight in the fair sharing of slots.
func (t Team) EffectiveWeight() int {
	if t.Weight == 0 {
		return defaultWeight
	}
	return t.Weight
}

// MayCall reports whether the team may call the service.
func (t Team) MayCall(service string) bool {
	return len(t.Services) == 0 || slices.Contains(t.Services, service)
}
