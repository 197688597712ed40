package yuccaentry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccadispatch"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	eventQueueCapacity = 8192
	tickInterval       = 10 * time.Millisecond
	// maxBatchedEvents limits the number of events that are handled before actions
	// are executed.
	maxBatchedEvents = 256
	// flushDelay is the time for queued messages to be sent before the process
	// ends. It is also the timeout for counting the unanswered jobs after the
	// context of a drain has ended.
	flushDelay = 100 * time.Millisecond
)

// Options configures an entry. All fields but Logger and Suspensions are required.
type Options struct {
	Network yuccawire.Network
	// Self identifies the process. Each start of the process needs a new
	// incarnation.
	Self *yuccawire.Node
	// Controls are the addresses of the controls.
	Controls []string
	Random   *rand.Rand
	Metrics  *yuccametric.Set
	Logger   *slog.Logger
	// Suspensions notices suspensions of the machine. Optional.
	Suspensions *yuccasuspend.Monitor
}

// Entry accepts callers' jobs and runs their tasks on the linked sides. It is a
// suture service. The client returned by [Entry.Lease] must be served alongside
// it.
type Entry struct {
	options  Options
	metrics  *yuccametric.Set
	lease    *yuccalease.Client
	events   chan event
	lifetime *yuccaquery.Lifetime
	ready    atomic.Bool
	draining atomic.Bool
	self     atomic.Pointer[yuccawire.Node]

	// The fields below are owned by the event loop.
	dispatcher *yuccadispatch.Dispatcher
	dialers    map[string]*dialer
	waiters    map[yuccadispatch.Key][]chan<- yuccadispatch.Answer
	watchers   map[yuccadispatch.Key][]chan<- yuccadispatch.WatchResult
	drainDone  chan<- int
	// suspensions are those that the dispatcher knows of.
	suspensions yuccasuspend.Suspensions
}

// New returns an entry without a lease.
func New(options Options) *Entry {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	e := &Entry{
		options:  options,
		metrics:  options.Metrics,
		events:   make(chan event, eventQueueCapacity),
		lifetime: yuccaquery.NewLifetime(),
		dialers:  make(map[string]*dialer),
		waiters:  make(map[yuccadispatch.Key][]chan<- yuccadispatch.Answer),
		watchers: make(map[yuccadispatch.Key][]chan<- yuccadispatch.WatchResult),
	}
	e.self.Store(options.Self)
	e.dispatcher = e.newDispatcher(yuccadocument.NewView())
	e.lease = yuccalease.New(yuccalease.Options{
		Network: options.Network, Self: options.Self, Controls: options.Controls,
		Sections: yuccadocument.AllSections, Random: forkRandom(options.Random), Logger: options.Logger,
		Suspensions: options.Suspensions,
	})
	return e
}

// forkRandom returns a new source of random numbers for another goroutine.
func forkRandom(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Lease returns the client that renews the entry's lease with control. The caller
// has to serve it alongside the entry.
func (e *Entry) Lease() *yuccalease.Client { return e.lease }

// Ready reports whether the entry holds a lease and is not draining.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.draining.Load() }

// Serve accepts links and processes events until the context ends. It terminates
// the supervisor tree if the entry can't listen on its address.
func (e *Entry) Serve(ctx context.Context) error {
	listener, err := e.options.Network.Listen(e.options.Self.GetAddress())
	if err != nil {
		return errors.Join(suture.ErrTerminateSupervisorTree, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer listener.Close()
	a := &acceptor{entry: e, listener: listener}
	go a.run(ctx)
	return e.loop(ctx)
}

func (e *Entry) loop(ctx context.Context) error {
	defer e.lifetime.End()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			e.tick(time.Now())
		case update := <-e.lease.Updates():
			e.handleLeaseUpdate(update)
		case ev := <-e.events:
			e.handleBatch(ev)
		}
		for _, action := range e.dispatcher.Actions() {
			e.executeAction(ctx, action)
		}
	}
}

// checkSuspension drops the lease and moves all deadlines forward if the machine was
// suspended.
func (e *Entry) checkSuspension() {
	suspensions := e.options.Suspensions.Check()
	if suspensions.Count == e.suspensions.Count {
		return
	}
	suspendedFor := suspensions.Total - e.suspensions.Total
	e.suspensions = suspensions
	e.options.Logger.Warn("machine was suspended", "stood_ms", suspendedFor.Milliseconds(), "jobs", e.dispatcher.UnsettledJobs())
	e.metrics.Add("suspensions", 1)
	e.dispatcher.HandleSuspension(suspendedFor)
}

func (e *Entry) handleLeaseUpdate(u yuccalease.Update) {
	e.checkSuspension()
	if u.Suspensions != e.suspensions.Count {
		u.Lease = yuccalease.Lease{}
	}
	if u.Incarnation != e.self.Load().GetIncarnation() {
		return
	}
	if u.Fenced {
		e.restart()
		return
	}
	e.dispatcher.HandleControlUpdate(time.Now(), u)
}

// restart starts a new incarnation after a fence: another entry may have taken
// over the jobs of the old one. Their callers are answered OutcomeUnknown, so that
// they submit the jobs again.
func (e *Entry) restart() {
	old := e.self.Load()
	e.options.Logger.Warn("fenced, restarting with a new incarnation", "jobs", e.dispatcher.UnsettledJobs())
	e.metrics.Add("restarts_fenced", 1)
	for key, waiters := range e.waiters {
		for _, waiter := range waiters {
			waiter <- yuccadispatch.Answer{Key: key, Rejection: yuccadispatch.OutcomeUnknown}
		}
		delete(e.waiters, key)
	}
	for key, watchers := range e.watchers {
		for _, watcher := range watchers {
			watcher <- yuccadispatch.WatchResult{Key: key, Undetermined: true}
		}
		delete(e.watchers, key)
	}
	for name := range e.dialers {
		e.closeLink(name)
	}
	next := proto.CloneOf(old)
	next.Incarnation++
	e.self.Store(next)
	e.lease.Restart(next)
	e.dispatcher = e.newDispatcher(e.dispatcher.View())
}

func (e *Entry) newDispatcher(view *yuccadocument.View) *yuccadispatch.Dispatcher {
	d := yuccadispatch.New(yuccadispatch.Options{Self: e.self.Load(), View: view, Random: e.options.Random, Metrics: e.metrics})
	if e.draining.Load() {
		d.Drain()
	}
	return d
}

func (e *Entry) tick(now time.Time) {
	e.checkSuspension()
	e.dispatcher.Tick(now)
	ready := e.dispatcher.Lease().Valid(now)
	if e.ready.Swap(ready) != ready {
		e.options.Logger.Info("readiness changed", "ready", ready)
	}
	if e.drainDone != nil && e.dispatcher.UnsettledJobs() == 0 {
		e.drainDone <- 0
		e.drainDone = nil
	}
}

// handleBatch handles the event and those queued behind it, so that their claims
// are sent in one message.
func (e *Entry) handleBatch(ev event) {
	e.handleEvent(time.Now(), ev)
	for range min(len(e.events), maxBatchedEvents) {
		e.handleEvent(time.Now(), <-e.events)
	}
}

func (e *Entry) handleEvent(now time.Time, ev event) {
	e.checkSuspension()
	switch ev := ev.(type) {
	case submitRequest:
		e.handleSubmit(now, ev)
	case watchRequest:
		e.watchers[ev.key] = append(e.watchers[ev.key], ev.result)
		e.dispatcher.Watch(now, ev.key, ev.cancel)
	case linkOpened:
		e.handleLinkOpened(now, ev)
	case linkClosed:
		e.handleLinkClosed(ev)
	case linkMessage:
		if ev.dialer != nil && e.dialers[ev.name] != ev.dialer {
			e.metrics.Add("messages_of_old_links", 1)
			return
		}
		e.handleMessage(now, ev.name, ev.message)
	case drainRequest:
		e.dispatcher.Drain()
		e.drainDone = ev.done
	case yuccaquery.Query[*Entry]:
		ev.Run(e)
	}
}

func (e *Entry) handleSubmit(now time.Time, s submitRequest) {
	admission := e.dispatcher.Submit(now, s.submission)
	switch {
	case admission.Answer != nil:
		s.answer <- *admission.Answer
	case admission.Rejection != yuccadispatch.NotRejected:
		s.answer <- yuccadispatch.Answer{Key: s.submission.Key, Rejection: admission.Rejection, RetryAfter: admission.RetryAfter}
	default:
		e.waiters[s.submission.Key] = append(e.waiters[s.submission.Key], s.answer)
	}
}

func (e *Entry) handleMessage(now time.Time, name string, m *yuccawire.Envelope) {
	switch body := m.GetBody().(type) {
	case *yuccawire.Envelope_Finished:
		e.dispatcher.HandleFinished(now, name, body.Finished)
	case *yuccawire.Envelope_Refused:
		e.dispatcher.HandleRefused(now, name, body.Refused)
	case *yuccawire.Envelope_Load:
		e.dispatcher.HandleLoad(now, name, body.Load)
	case *yuccawire.Envelope_Gathered:
		e.dispatcher.HandleGathered(now, name, body.Gathered)
	case *yuccawire.Envelope_Join:
		e.dispatcher.HandleJoin(now, name, body.Join)
	case *yuccawire.Envelope_Joined:
		e.dispatcher.HandleJoined(now, body.Joined)
	case *yuccawire.Envelope_Goodbye:
		e.dispatcher.HandleGoodbye(name)
		e.dispatcher.HandleLinkDown(name)
		e.closeLink(name)
	}
}

func (e *Entry) executeAction(ctx context.Context, action yuccadispatch.Action) {
	switch a := action.(type) {
	case yuccadispatch.SendControl:
		if !e.lease.Send(a.Message) {
			e.metrics.Add("control_messages_dropped", 1)
		}
	case yuccadispatch.SendSide:
		if d := e.dialers[a.Name]; d != nil {
			d.send(a.Message)
		}
	case yuccadispatch.SendStart:
		if d := e.dialers[a.Name]; d != nil {
			d.sendStart(a)
		}
	case yuccadispatch.OpenLink:
		e.openLink(ctx, a.Node)
	case yuccadispatch.CloseLink:
		e.closeLink(a.Name)
	case yuccadispatch.Answer:
		e.answer(a)
	case yuccadispatch.WatchResult:
		for _, result := range e.watchers[a.Key] {
			result <- a
		}
		delete(e.watchers, a.Key)
	}
}

func (e *Entry) answer(a yuccadispatch.Answer) {
	for _, waiter := range e.waiters[a.Key] {
		waiter <- a
	}
	delete(e.waiters, a.Key)
}

// Submit submits a job to the dispatcher and waits for its answer. If the context
// ends first, the job continues, and a later submission of the same job receives
// its answer.
func (e *Entry) Submit(ctx context.Context, s yuccadispatch.Submission) (yuccadispatch.Answer, error) {
	answer := make(chan yuccadispatch.Answer, 1)
	if err := e.post(ctx, submitRequest{submission: s, answer: answer}); err != nil {
		return yuccadispatch.Answer{}, err
	}
	return yuccaquery.Await(ctx, e.lifetime, answer)
}

// Watch returns the state of a job and, if cancel is set, cancels it.
func (e *Entry) Watch(ctx context.Context, key yuccadispatch.Key, cancel bool) (yuccadispatch.WatchResult, error) {
	result := make(chan yuccadispatch.WatchResult, 1)
	if err := e.post(ctx, watchRequest{key: key, cancel: cancel, result: result}); err != nil {
		return yuccadispatch.WatchResult{}, err
	}
	return yuccaquery.Await(ctx, e.lifetime, result)
}

// Drain rejects new jobs and waits until all others are answered. It returns the
// number of jobs that are still unanswered when the context ends, or zero if the
// event loop does not report it in time.
func (e *Entry) Drain(ctx context.Context) int {
	e.draining.Store(true)
	e.lease.Announce(nil, true)
	done := make(chan int, 1)
	if e.post(ctx, drainRequest{done: done}) != nil {
		return 0
	}
	if _, err := yuccaquery.Await(ctx, e.lifetime, done); err != nil {
		return e.unsettledJobs()
	}
	e.flush(ctx)
	return 0
}

// flush waits until the last messages have been sent: outcomes to record and
// results that sides need no longer retain.
func (e *Entry) flush(ctx context.Context) {
	timer := time.NewTimer(flushDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// unsettledJobs returns the number of unanswered jobs, or zero if the event loop
// does not answer within flushDelay.
func (e *Entry) unsettledJobs() int {
	ctx, cancel := context.WithTimeout(context.Background(), flushDelay)
	defer cancel()
	count, err := yuccaquery.Do(ctx, e.postQuery, func(e *Entry) int { return e.dispatcher.UnsettledJobs() })
	if err != nil {
		return 0
	}
	return count
}

// FreeSlots returns the number of tasks of the service that could be started now,
// or 0 if the context ends first.
func (e *Entry) FreeSlots(ctx context.Context, service string) int {
	free, err := yuccaquery.Do(ctx, e.postQuery, func(e *Entry) int { return e.dispatcher.FreeSlots(time.Now(), service) })
	if err != nil {
		return 0
	}
	return free
}

// View returns the current configuration.
func (e *Entry) View(ctx context.Context) (*yuccadocument.View, error) {
	return yuccaquery.Do(ctx, e.postQuery, func(e *Entry) *yuccadocument.View { return e.dispatcher.View() })
}
