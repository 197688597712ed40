package yuccasettings

import (
	"fmt"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

const (
	defaultRemoteRackFactor = 3
	maxRemoteRackFactor     = 20
)

// Scheduling is the settings section that switches parts of the scheduling of sized jobs,
// see docs/design/contention.md. A part that is not mentioned is on.
type Scheduling struct {
	FairShares        *bool `json:"fair_shares"`
	AdmissionForecast *bool `json:"admission_forecast"`
	LearnedRunTimes   *bool `json:"learned_run_times"`
	Reservations      *bool `json:"reservations"`
	FailureRates      *bool `json:"failure_rates"`
	// RemoteRackFactor is how many times as long a task takes outside the rack of its
	// data, until it is learned.
	RemoteRackFactor float64 `json:"remote_rack_factor"`
}

func (s *Scheduling) check(d *yuccajsonc.Document, section string) {
	if s.RemoteRackFactor == 0 {
		s.RemoteRackFactor = defaultRemoteRackFactor
	}
	if s.RemoteRackFactor < 1 || s.RemoteRackFactor > maxRemoteRackFactor {
		d.Report(section+".remote_rack_factor", fmt.Sprintf("is %g", s.RemoteRackFactor), fmt.Sprintf("1 to %d", maxRemoteRackFactor))
	}
	for _, part := range []**bool{&s.FairShares, &s.AdmissionForecast, &s.LearnedRunTimes, &s.Reservations, &s.FailureRates} {
		if *part == nil {
			*part = new(bool)
			**part = true
		}
	}
}
