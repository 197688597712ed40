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

// gate holds up a machine that stands still: the calls to its network, and the checks for
// suspensions of its control, which begin each of the control's steps.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
	// notices makes the checks that were held up notice the suspension. Otherwise it began
	// just after them.
	notices bool
	total   time.Duration
}

func (g *gate) close(notices bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened, g.notices = make(chan struct{}), notices
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
	g.opened = nil
}

func (g *gate) state() (opened <-chan struct{}, notices bool, total time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened, g.notices, g.total
}

func (g *gate) wait() {
	if opened, _, _ := g.state(); opened != nil {
		<-opened
	}
}

// suspended returns how long the machine was suspended.
func (g *gate) suspended() time.Duration {
	_, _, total := g.state()
	return total
}

// suspendedAtStep is suspended for the control, which does nothing while the gate is closed.
func (g *gate) suspendedAtStep() time.Duration {
	_, notices, before := g.state()
	g.wait()
	if !notices {
		return before
	}
	return g.suspended()
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
	return l.Link.Send(m)
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

// stop kills the process.
func (m *machine) stop() {
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

// standStill holds the machine up for a time. If it is suspended, its monotonic clock does not
// advance meanwhile, and a read arrives before anything else happens.
func (m *machine) standStill(d time.Duration, isSuspended, notices bool) {
	m.setStanding(true)
	m.gate.close(notices)
	time.Sleep(d)
	synctest.Wait()
	if isSuspended {
		shiftTimes(m.edge, d)
		m.gate.addSuspension(d)
	}
	m.setStanding(false)
	m.group.read(m)
	m.gate.open()
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
