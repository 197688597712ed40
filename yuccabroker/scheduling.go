package yuccabroker

// Scheduling switches parts of the scheduling, see docs/design/contention.md.
type Scheduling struct {
	FairShares        bool
	AdmissionForecast bool
	LearnedRunTimes   bool
	Reservations      bool
	FailureRates      bool
	// RemoteRackFactor is how many times as long a task takes outside the rack of its
	// data, until it is learned.
	RemoteRackFactor float64
}

// DefaultScheduling returns the scheduling with all parts on.
func DefaultScheduling() Scheduling {
	return Scheduling{
		FairShares: true, AdmissionForecast: true, LearnedRunTimes: true, Reservations: true, FailureRates: true,
		RemoteRackFactor: defaultRemoteRackFactor,
	}
}
