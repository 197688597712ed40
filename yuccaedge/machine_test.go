package yuccaedge_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// gate holds up a machine that stands still: the calls to its network, and its control at a
// check for suspensions, which come before each batch of events and each answer of a leader. It
// closes at such a check, or right after a renewal was sent.
type gate struct {
	mu sync.Mutex
	// network and control are closed when these may go on, nil while nothing holds them up.
	network, control chan struct{}
	// checksLeft and renewalsLeft are the numbers of checks and renewals until the machine stands
	// still, zero if it doesn't.
	checksLeft, renewalsLeft int
	struck                   chan struct{}
	total                    time.Duration
}

// closeAfter makes the machine stand still at a later check of its control or renewal of its
// lease, or after a second at the latest, and waits for that.
func (g *gate) closeAfter(checks, renewals int) {
	g.mu.Lock()
	struck := make(chan struct{})
	g.checksLeft, g.renewalsLeft, g.struck = checks, renewals, struck
	g.mu.Unlock()
	select {
	case <-struck:
	case <-time.After(time.Second):
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.checksLeft+g.renewalsLeft > 0 {
			g.checksLeft, g.renewalsLeft = 0, 0
			g.network, g.control = make(chan struct{}), make(chan struct{})
		}
	}
}

// countDown closes the gate when the number reaches zero. The caller holds the mutex.
func (g *gate) countDown(left *int) {
	if *left == 0 {
		return
	}
	if *left--; *left == 0 {
		g.network, g.control = make(chan struct{}), make(chan struct{})
		close(g.struck)
	}
}

func (g *gate) countRenewal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countDown(&g.renewalsLeft)
}

// open lets the network go on, and the control a while later.
func (g *gate) open(delay time.Duration) {
	g.mu.Lock()
	close(g.network)
	g.network = nil
	g.mu.Unlock()
	time.Sleep(delay)
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.control)
	g.control = nil
}

func (g *gate) wait() {
	g.mu.Lock()
	opened := g.network
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// suspended returns how long the machine was suspended.
func (g *gate) suspended() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}

// suspendedAtStep is suspended for the control. A suspension that strikes there does so just
// after the clocks have been read.
func (g *gate) suspendedAtStep() time.Duration {
	total := g.suspended()
	g.mu.Lock()
	g.countDown(&g.checksLeft)
	opened := g.control
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
	return total
}

func (g *gate) addSuspension(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total += d
}

// gatedNetwork neither sends nor receives while the gate is closed.
type gatedNetwork struct {
	yuccawire.Network
	gate *gate
}

type gatedListener struct {
	yuccawire.Listener
	gate *gate
}

type gatedLink struct {
	yuccawire.Link
	gate *gate
}

func (n *gatedNetwork) Dial(ctx context.Context, address string) (yuccawire.Link, error) {
	n.gate.wait()
	link, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &gatedLink{Link: link, gate: n.gate}, nil
}

func (n *gatedNetwork) Listen(address string) (yuccawire.Listener, error) {
	l, err := n.Network.Listen(address)
	return &gatedListener{Listener: l, gate: n.gate}, err
}

func (l *gatedListener) Accept() (yuccawire.Link, error) {
	link, err := l.Listener.Accept()
	l.gate.wait()
	if err != nil {
		return nil, err
	}
	return &gatedLink{Link: link, gate: l.gate}, nil
}

func (l *gatedLink) Send(m *yuccawire.Envelope) error {
	l.gate.wait()
	err := l.Link.Send(m)
	if m.GetRenew() != nil {
		l.gate.countRenewal()
	}
	return err
}

func (l *gatedLink) Receive() (*yuccawire.Envelope, error) {
	m, err := l.Link.Receive()
	l.gate.wait()
	return m, err
}

// machine runs an entry, and a control if it has a disk.
type machine struct {
	group   *configurationGroup
	index   uint64
	name    string
	disk    *disk
	gate    *gate
	starts  uint64
	cancel  context.CancelFunc
	stopped <-chan error

	mu   sync.Mutex
	edge *yuccaedge.Edge
	// standing is set while the machine stands still.
	standing bool
	// shown is the newest version that the running process has shown.
	shown uint64
}

func (m *machine) address() *yuccawire.ReplicaAddress {
	return &yuccawire.ReplicaAddress{Name: m.name, Address: m.name + ":2"}
}

func (m *machine) isForming() bool { return m.name == "m0" && m.starts == 1 }

func (m *machine) start() {
	m.starts++
	g := m.group
	random := func(use uint64) *rand.Rand { return rand.New(rand.NewPCG(g.seed<<8|m.index, m.starts<<8|use)) }
	metrics, logger := yuccametric.New(m.name), slog.New(slog.DiscardHandler)
	network := &gatedNetwork{Network: g.fabric.Host(m.name), gate: m.gate}
	suspensions := yuccasuspend.NewMonitorOf(m.gate.suspended)
	self := &yuccawire.Node{Name: m.name, Role: yuccawire.Role_ROLE_ENTRY, Address: m.name + ":1", Incarnation: m.starts}
	var edge *yuccaedge.Edge
	mesh := yuccamesh.New(yuccamesh.Options{
		Network: network, Self: self, Listen: true, Seeds: func() []string { return []string{"m0:1", "m1:1", "m2:1"} }, Metrics: metrics, Logger: logger,
		Sections: func() []*yuccawire.Section { return edge.Sections() },
	})
	lease := yuccalease.New(yuccalease.Options{
		Network: network, Self: self, Random: random(1), Logger: logger, Sections: yuccadocument.WholeDocumentSections,
		Discover: g.controlAddresses, Suspensions: suspensions,
	})
	options := yuccaedge.Options{
		Mesh: mesh, Lease: lease, MaxConfigurationAge: applyBound, Suspensions: suspensions, Metrics: metrics, Logger: logger,
		Decode: func([]byte) (*yuccacatalog.Catalog, error) { return &yuccacatalog.Catalog{}, nil },
		Broker: yuccabroker.New(yuccabroker.Options{Name: m.name, Random: random(2), Metrics: metrics, Logger: logger}),
	}
	supervisor := suture.NewSimple(m.name)
	if m.disk != nil {
		m.disk.restorePower()
		folder, err := m.disk.open()
		if err != nil {
			g.t.Fatal(err)
		}
		canForm := m.isForming()
		self := m.address()
		self.Id = folder.ID()
		options.Replica = yuccaedge.NewReplica(folder, m.disk.open, yuccacontrol.Options{
			Network: network, Self: self, Voters: 3, SectionPushes: 2, MaxLogEntries: maxLogEntries, MaxLogBytes: maxLogBytes,
			Discover:     func() []*yuccawire.ReplicaAddress { return g.otherReplicas(m) },
			CanFormGroup: func() (bool, bool) { return canForm, false },
			OnRecovered:  func(sections []*yuccawire.Section) { edge.ApplyRecovered(sections) },
			Suspensions:  yuccasuspend.NewMonitorOf(m.gate.suspendedAtStep),
			Random:       random(3), Metrics: metrics, Logger: logger,
		})
		supervisor.Add(options.Replica)
	}
	edge = yuccaedge.New(options)
	supervisor.Add(mesh)
	supervisor.Add(lease)
	supervisor.Add(edge)
	m.mu.Lock()
	m.edge, m.shown = edge, 0
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(g.t.Context())
	m.cancel, m.stopped = cancel, supervisor.ServeBackground(ctx)
}

// stop kills the process. Without power, its disk loses what was not synced.
func (m *machine) stop(hasPower bool) {
	if !hasPower && m.disk != nil {
		m.disk.losePower()
	}
	m.mu.Lock()
	m.edge = nil
	m.mu.Unlock()
	m.group.fabric.Crash(m.name)
	m.cancel()
	<-m.stopped
}

// running returns the entry, or nil while the machine stands still or its process is down.
func (m *machine) running() *yuccaedge.Edge {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.standing {
		return nil
	}
	return m.edge
}

func (m *machine) setStanding(standing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.standing = standing
}

// standStill holds the machine up for a time, from one of the next checks of its control or
// renewals on. If it is suspended, its monotonic clock does not advance meanwhile. A read arrives
// before anything else happens, and others before the control goes on.
func (m *machine) standStill(d time.Duration, isSuspended bool, checks int, controlDelay time.Duration) {
	if m.disk != nil {
		m.gate.closeAfter(checks, 0)
	} else {
		m.gate.closeAfter(0, 1)
	}
	m.setStanding(true)
	time.Sleep(d)
	synctest.Wait()
	if isSuspended {
		shiftTimes(m.edge, d)
		m.gate.addSuspension(d)
	}
	m.setStanding(false)
	_ = m.group.read(m)
	m.gate.open(controlDelay)
}

// shiftTimes adds d to each time that the owner of an event loop holds, as if its clock had stood
// still: the clock of a synctest bubble is that of all machines.
func shiftTimes(root any, d time.Duration) {
	s := &shifter{d: d, visited: make(map[unsafe.Pointer]bool)}
	s.shift(reflect.ValueOf(root))
}

type shifter struct {
	d       time.Duration
	visited map[unsafe.Pointer]bool
}

var timeType = reflect.TypeFor[time.Time]()

// ownsTimes reports whether values of the type are part of an event loop whose leases,
// confirmations and timeouts are tested.
func ownsTimes(t reflect.Type) bool {
	if strings.HasPrefix(t.PkgPath(), "sync/atomic") {
		return true
	}
	for _, name := range []string{"yuccaedge", "yuccalease", "yuccacontrol", "yuccareplica", "yuccaregistry"} {
		if strings.HasSuffix(t.PkgPath(), "/"+name) {
			return true
		}
	}
	return t.PkgPath() == ""
}

func (s *shifter) shift(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || v.Type().Elem().Kind() != reflect.Struct || !ownsTimes(v.Type().Elem()) || s.visited[v.UnsafePointer()] {
			return
		}
		s.visited[v.UnsafePointer()] = true
		s.shift(v.Elem())
	case reflect.Interface:
		s.shift(v.Elem())
	case reflect.Struct:
		if v.CanAddr() {
			s.shiftStruct(v)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			s.shift(v.Index(i))
		}
	case reflect.Map:
		s.shiftMap(v)
	default:
	}
}

func (s *shifter) shiftStruct(v reflect.Value) {
	if v.Type() == timeType {
		at := (*time.Time)(v.Addr().UnsafePointer())
		if !at.IsZero() {
			*at = at.Add(s.d)
		}
		return
	}
	if !ownsTimes(v.Type()) {
		return
	}
	if strings.HasPrefix(v.Type().Name(), "Pointer[") { // an atomic.Pointer, whose first field has its type
		target := v.FieldByName("v")
		if !target.IsNil() {
			s.shift(reflect.NewAt(v.Field(0).Type().Elem().Elem(), target.UnsafePointer()))
		}
		return
	}
	for i := range v.NumField() {
		s.shift(v.Field(i))
	}
}

// shiftMap shifts the values of a map, which can't be changed in place.
func (s *shifter) shiftMap(v reflect.Value) {
	if v.Type().Elem().Kind() != reflect.Struct {
		for _, key := range v.MapKeys() {
			s.shift(v.MapIndex(key))
		}
		return
	}
	writable := reflect.NewAt(v.Type(), v.Addr().UnsafePointer()).Elem()
	for _, key := range writable.MapKeys() {
		value := reflect.New(v.Type().Elem()).Elem()
		value.Set(writable.MapIndex(key))
		s.shift(value)
		writable.SetMapIndex(key, value)
	}
}
