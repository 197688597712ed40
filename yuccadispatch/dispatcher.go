package yuccadispatch

import (
	"math/rand/v2"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaplacement"
	"github.com/yuccaturn/yuccaturn/yuccaqueue"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	claimResendInterval = time.Second
	outcomeRetention    = time.Minute
	maxRetainedBytes    = 256 << 20
	maxTries            = 3
	gatherTimeout       = 2 * time.Second
	refusalBackoff      = 500 * time.Millisecond
	minRetryAfter       = time.Second
	runTimeSmoothing    = 0.1
	sweepInterval       = time.Second
	// nonceShift keeps the random first nonce below 1<<63, so that incrementing
	// it does not overflow.
	nonceShift      = 1
	maxAnswerMargin = 100 * time.Millisecond
	lookupTimeout   = 2 * time.Second
)

// Options configures a dispatcher. All fields are required.
type Options struct {
	// Self identifies the entry. Its incarnation changes with each start.
	Self *yuccawire.Node
	// View is the current configuration.
	View    *yuccadocument.View
	Random  *rand.Rand
	Metrics *yuccametric.Set
}

// Dispatcher schedules the jobs of one entry. It is not safe for concurrent use.
type Dispatcher struct {
	options        Options
	metrics        *yuccametric.Set
	lease          yuccalease.Lease
	view           *yuccadocument.View
	draining       bool
	jobs           map[Key]*job
	unsettled      map[*job]struct{}
	retained       []*job
	retainedBytes  int
	nonce          uint64
	retries        retryBudget
	pendingClaims  []*yuccawire.Claim
	pendingForgets map[string][]*yuccawire.JobKey
	pendingCancels map[string][]*yuccawire.JobKey
	watches        map[Key]*watch
	services       map[string]*service
	teams          map[string]*team
	sides          map[string]*side
	entries        map[string]*entry
	// membersSince is since when this entry has known every side that held a lease,
	// or zero.
	membersSince time.Time
	// lastSideJoin is when this entry last heard of a new incarnation of a side. An
	// earlier one may have come and gone between two updates.
	lastSideJoin time.Time
	policy       *yuccaplacement.Policy[*endpoint]
	actions      []Action
	nextSweep    time.Time
}

// service is the state of one service.
type service struct {
	name  string
	queue *yuccaqueue.Fair[string, *task]
	tiers [][]*endpoint
	slots int
	// full is set when no endpoint has capacity. Until the next tick, only
	// freedEndpoints are tried.
	full           bool
	freedEndpoints []*endpoint
	meanRunTime    time.Duration
	lastSideLoss   time.Time
	rate           rate
	// lastSuccess is the most recent successful task.
	lastSuccess successRecord
}

// team counts the running tasks of one team.
type team struct{ running int }

// entry is the state of a peer entry.
type entry struct {
	node   *yuccawire.Node
	linked bool
}

// New returns a dispatcher. It has no lease and rejects all jobs until
// [Dispatcher.HandleControlUpdate] grants one.
func New(options Options) *Dispatcher {
	return &Dispatcher{
		options:        options,
		metrics:        options.Metrics,
		view:           options.View,
		jobs:           make(map[Key]*job),
		unsettled:      make(map[*job]struct{}),
		pendingForgets: make(map[string][]*yuccawire.JobKey),
		pendingCancels: make(map[string][]*yuccawire.JobKey),
		watches:        make(map[Key]*watch),
		services:       make(map[string]*service),
		teams:          make(map[string]*team),
		sides:          make(map[string]*side),
		entries:        make(map[string]*entry),
		retries:        newRetryBudget(),
		nonce:          options.Random.Uint64() >> nonceShift,
		policy:         yuccaplacement.New(options.Random, hasLargerFreeShare),
	}
}

// Actions returns the pending actions in order and clears them.
func (d *Dispatcher) Actions() []Action {
	d.flushClaims()
	actions := d.actions
	d.actions = nil
	return actions
}

// flushClaims sends all pending claims in one message.
func (d *Dispatcher) flushClaims() {
	if len(d.pendingClaims) > 0 {
		batch := &yuccawire.ClaimBatch{Claims: d.pendingClaims}
		d.pendingClaims = nil
		d.emit(SendControl{Message: &yuccawire.Envelope{Body: &yuccawire.Envelope_ClaimBatch{ClaimBatch: batch}}})
	}
}

// flushCancels sends the pending cancellations, one message for each side.
func (d *Dispatcher) flushCancels() {
	for name, jobs := range d.pendingCancels {
		delete(d.pendingCancels, name)
		d.metrics.Add("cancel_messages", 1)
		d.send(name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Cancel{Cancel: &yuccawire.Cancel{Jobs: jobs}}})
	}
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) send(name string, m *yuccawire.Envelope) {
	d.emit(SendSide{Name: name, Message: m})
}

// HandleControlUpdate applies an update from control: the lease, configuration,
// members and claim replies.
func (d *Dispatcher) HandleControlUpdate(now time.Time, u yuccalease.Update) {
	if !d.membersSince.IsZero() && !d.lease.Valid(now) {
		d.membersSince = now // a side may have come and gone while nothing was heard
	}
	d.lease = u.Lease
	if u.View != d.view {
		d.view = u.View
		d.rebuildTiers()
	}
	if u.Members != nil {
		d.updateMembers(now, u.Members)
	}
	if u.Connected {
		d.resendClaims(now)
	}
	for _, reply := range u.Claims {
		d.handleClaimReply(now, reply)
	}
	d.placeAll(now)
}

// Drain makes the dispatcher reject new jobs with [Draining].
func (d *Dispatcher) Drain() { d.draining = true }

// UnsettledJobs returns the number of jobs that are not yet answered.
func (d *Dispatcher) UnsettledJobs() int { return len(d.unsettled) }

// Lease returns the lease under which this entry owns jobs.
func (d *Dispatcher) Lease() yuccalease.Lease { return d.lease }

// View returns the current configuration.
func (d *Dispatcher) View() *yuccadocument.View { return d.view }

// QueuedTasks returns the number of tasks that wait for a slot.
func (d *Dispatcher) QueuedTasks() int {
	queued := 0
	for _, sv := range d.services {
		queued += sv.queue.Len()
	}
	return queued
}

// LinkedSides returns the number of sides with an open link.
func (d *Dispatcher) LinkedSides() int {
	linked := 0
	for _, s := range d.sides {
		if s.linked {
			linked++
		}
	}
	return linked
}

func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{name: name, queue: yuccaqueue.New[string, *task]()}
		d.services[name] = s
	}
	return s
}

func (d *Dispatcher) team(name string) *team {
	t := d.teams[name]
	if t == nil {
		t = &team{}
		d.teams[name] = t
	}
	return t
}

// Tick processes timeouts, resends claims, places queued tasks and sends pending
// cancellations. It should be called every few milliseconds.
func (d *Dispatcher) Tick(now time.Time) {
	for j := range d.unsettled {
		d.tickJob(now, j)
	}
	d.flushCancels()
	d.expireWatches(now)
	for _, sv := range d.services {
		sv.full = false
		sv.rate.tick(now)
	}
	d.placeAll(now)
	if now.Before(d.nextSweep) {
		return
	}
	d.nextSweep = now.Add(sweepInterval)
	d.evictRetained(now)
	d.flushForgets()
	d.metrics.Gauge("jobs_unsettled", int64(len(d.unsettled)))
	d.metrics.Gauge("jobs_kept", int64(len(d.retained)))
	d.metrics.Gauge("kept_bytes", int64(d.retainedBytes))
	d.metrics.Gauge("tasks_queued", int64(d.QueuedTasks()))
	d.metrics.Gauge("sides_linked", int64(d.LinkedSides()))
}

func (d *Dispatcher) tickJob(now time.Time, j *job) {
	switch {
	case !now.Before(j.Deadline):
		d.abandon(j)
	case !now.Before(j.expireAt) && (j.state == open || j.state == gathering):
		d.failJob(now, j, "the deadline has passed")
	case j.state == lookingUp || j.state == claiming || j.state == confirming:
		if now.Sub(j.claimSentAt) >= claimResendInterval {
			d.sendClaim(now, j)
		}
	case j.state == joined && now.Sub(j.claimSentAt) >= claimResendInterval:
		d.sendJoin(now, j)
	case j.state == gathering && !now.Before(j.takeover.deadline):
		d.endGathering(now, j)
	case j.state == open && !j.targetWaitUntil.IsZero() && !now.Before(j.targetWaitUntil):
		d.endTargetWait(now, j)
	}
}

func (d *Dispatcher) flushForgets() {
	for name, jobs := range d.pendingForgets {
		delete(d.pendingForgets, name)
		d.send(name, &yuccawire.Envelope{Body: &yuccawire.Envelope_Forget{Forget: &yuccawire.Forget{Jobs: jobs}}})
	}
}
