// Package yuccaedge runs an entry that finds its peers by itself: it takes jobs,
// owns them in a [yuccabroker.Broker], and keeps the operators' document in
// force.
//
// One goroutine makes all decisions. Around it stand the mesh of links to other
// entries and to sides, the lease from control, and the handlers of an adapter.
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
	tickInterval       = 20 * time.Millisecond
	// maxBatchedEvents are handled before tasks are placed.
	maxBatchedEvents = 256
	// readMargin is taken off the time for which a configuration counts as the
	// newest, for the way of the answer.
	responseMargin = 400 * time.Millisecond
	// drainGrace is how long a stopping entry still takes jobs: the balancer
	// needs two misses of its probe, a second apart, and some more.
	drainGracePeriod = 2600 * time.Millisecond
	// startPatience is how long a new entry keeps its callers' port closed while it
	// can't serve; after that it refuses them with a reason.
	readyTimeout = 6 * time.Second
	// inquiryTimeout bounds the wait for other entries: a round trip between data
	// centres and a pause of a collector, well below a caller's patience.
	inquiryTimeout = 300 * time.Millisecond
	// drainMargin is kept between the last answer and the end of a drain.
	drainMargin = 300 * time.Millisecond
	// drainPoll is the pause between looks at what is left.
	pollInterval = 20 * time.Millisecond
)
