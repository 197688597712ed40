// Package yuccaedge runs an entry of a deployment with peer discovery. It
// accepts jobs, schedules them with a [yuccabroker.Broker], and applies the
// operators' configuration document.
//
// One goroutine makes all decisions. It receives events from the mesh of links
// to other entries and sides, from the lease client, and from the HTTP handlers
// that call [Edge].
//
// # Usage
//
//	edge := yuccaedge.New(yuccaedge.Options{...})
//	supervisor.Add(edge)
//	outcome, err := edge.Submit(ctx, job)
//	catalog := edge.Catalog()
package yuccaedge

import "time"

const (
	eventQueueCapacity = 4096
	// stoppedReason is why a job is not done that is submitted after the event loop has
	// ended, or was open then.
	stoppedReason = "this entry has stopped"
	tickInterval  = 20 * time.Millisecond
	// maxBatchedEvents limits the number of events that are handled before tasks are
	// placed.
	maxBatchedEvents = 256
	// memberDiscovery is how long after its start an entry may learn of others that hold jobs.
	memberDiscovery = time.Second
	// membersInterval is the time between two updates of the other entries that are known.
	membersInterval = 500 * time.Millisecond
	// replicaLinkPeriod is how long a link to a replica is kept that is needed no more.
	replicaLinkPeriod = 5 * time.Second
	// responseMargin is subtracted from Options.MaxConfigurationAge, since the
	// response takes time to arrive.
	responseMargin = 400 * time.Millisecond
	// drainGracePeriod is how long a draining entry still accepts jobs. The load
	// balancer stops sending them after two failed probes, a second apart; the rest
	// is margin.
	drainGracePeriod = 2600 * time.Millisecond
	// readyTimeout is how long a new entry waits for readiness before it opens its
	// callers' port. After that it refuses jobs with a reason.
	readyTimeout = 6 * time.Second
	// ownerMemory is how long after the last known contact an entry may still own a
	// job that a caller asks for. News of a contact take seconds in large
	// deployments.
	ownerMemory = 15 * time.Second
	// inquiryLinkPeriod is how long the links to all entries that an inquiry needs
	// are kept, for further ones.
	inquiryLinkPeriod = 10 * time.Second
	// pendingCountInterval is the time between two counts of the pending jobs for the
	// lease, and maxPendingAge how old those of the other entries may be to be used.
	pendingCountInterval = 100 * time.Millisecond
	maxPendingAge        = 1500 * time.Millisecond
	// inquiryTimeout limits the wait for the replies of other entries. It allows
	// for a round trip between data centres and a garbage collection pause, and is
	// well below the timeouts of callers.
	inquiryTimeout = 300 * time.Millisecond
	// drainMargin is the time between the deadline for open jobs and the end of a
	// drain.
	drainMargin = 300 * time.Millisecond
	// pollInterval is the time between two checks for readiness or for open jobs.
	pollInterval = 20 * time.Millisecond
)
