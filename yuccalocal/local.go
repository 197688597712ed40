// Package yuccalocal runs a whole system in one process, over real loopback
// TCP: one control, entries, and sides with simulated targets.
//
// # Usage
//
//	system, err := yuccalocal.New(yuccalocal.Options{...})
//	supervisor.Add(system.Supervisor())
//	err = system.AwaitReady(ctx)
//	callers, err := system.CallerAddresses(ctx)
//	system.Drain(ctx)
package yuccalocal

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/thejerf/suture/v4"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccaentry"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccaside"
	"github.com/yuccaturn/yuccaturn/yuccatarget"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	anyPort           = "127.0.0.1:0"
	readyPollInterval = 20 * time.Millisecond
	targetConnections = 64
)

// Options configures the size and the parts of the system.
type Options struct {
	// DataFolder is the folder for the control's state.
	DataFolder string
	// Service is the service of the targets.
	Service string
	// DataCentres are the data centres of the sides. The control runs in the first;
	// the entries are spread over all.
	DataCentres []string
	// Entries is the number of entries.
	Entries int
	// SidesPerDataCentre is the number of sides in each data centre.
	SidesPerDataCentre int
	// Slots is the number of slots of each target.
	Slots int
	// Sleep is the run time of a task whose payload does not set one.
	Sleep  time.Duration
	Logger *slog.Logger
}

// System is a whole system in one process.
type System struct {
	options    Options
	network    *boundNetwork
	supervisor *suture.Supervisor
	control    *yuccacontrol.Control
	operators  *yuccaserver.Server
	entries    []*yuccaentry.Entry
	callers    []*yuccaserver.Server
	sides      []*yuccaside.Side
	targets    []*yuccatarget.Target
	folder     *yuccadisk.Folder
}

// New creates the system and binds the addresses of its nodes. The supervisor
// of the system runs it.
func New(options Options) (*System, error) {
	s := &System{
		options:    options,
		network:    &boundNetwork{Network: yuccamux.New(yuccamux.Options{}), listeners: make(map[string]yuccawire.Listener)},
		supervisor: suture.New("local", suture.Spec{PassThroughPanics: true}),
	}
	if err := s.addControl(); err != nil {
		return nil, err
	}
	for i := range options.Entries {
		if err := s.addEntry(i); err != nil {
			return nil, err
		}
	}
	for _, name := range options.DataCentres {
		for i := range options.SidesPerDataCentre {
			if err := s.addSide(name, i); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// Supervisor returns the supervisor of all services of the system.
func (s *System) Supervisor() *suture.Supervisor { return s.supervisor }

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (s *System) newMetrics(name string) *yuccametric.Set {
	set := yuccametric.New(name)
	set.Publish()
	return set
}

func (s *System) addControl() error {
	folder, err := yuccadisk.Open(s.options.DataFolder)
	if err != nil {
		return err
	}
	s.folder = folder
	address, err := s.network.reserve()
	if err != nil {
		return err
	}
	self := &yuccawire.ReplicaAddress{Name: "control-1", Address: address}
	s.control, err = yuccacontrol.New(yuccacontrol.Options{
		Network: s.network, Storage: folder, Self: self, DataCentre: s.options.DataCentres[0],
		ConfiguredReplicas: []*yuccawire.ReplicaAddress{self}, Random: newRandom(),
		Metrics: s.newMetrics("control-1"), Logger: s.options.Logger.With("process", "control-1"),
	})
	if err != nil {
		return err
	}
	s.operators = yuccaserver.New(anyPort, yuccaserver.WithVars(s.control.Handler()))
	s.supervisor.Add(s.control)
	s.supervisor.Add(s.operators)
	return nil
}

func (s *System) newNode(name string, role yuccawire.Role, dataCentre string) (*yuccawire.Node, error) {
	address, err := s.network.reserve()
	return &yuccawire.Node{
		Name: name, Role: role, DataCentre: dataCentre, Address: address, Incarnation: uint64(time.Now().UnixNano()),
	}, err
}

func (s *System) controls() []string { return []string{s.control.Address()} }

func (s *System) addEntry(i int) error {
	name := fmt.Sprintf("entry-%d", i+1)
	node, err := s.newNode(name, yuccawire.Role_ROLE_ENTRY, s.options.DataCentres[i%len(s.options.DataCentres)])
	if err != nil {
		return err
	}
	e := yuccaentry.New(yuccaentry.Options{
		Network: s.network, Self: node, Controls: s.controls(), Random: newRandom(),
		Metrics: s.newMetrics(name), Logger: s.options.Logger.With("process", name),
	})
	server := yuccaserver.New(anyPort, e.Handler())
	s.entries = append(s.entries, e)
	s.callers = append(s.callers, server)
	s.supervisor.Add(e)
	s.supervisor.Add(e.Lease())
	s.supervisor.Add(server)
	return nil
}

func (s *System) addSide(dataCentre string, i int) error {
	name := fmt.Sprintf("side-%s-%d", dataCentre, i+1)
	node, err := s.newNode(name, yuccawire.Role_ROLE_SIDE, dataCentre)
	if err != nil {
		return err
	}
	side := yuccaside.New(yuccaside.Options{
		Network: s.network, Self: node, Controls: s.controls(), Runner: yuccaside.NewHTTPRunner(), Random: newRandom(),
		Metrics: s.newMetrics(name), Logger: s.options.Logger.With("process", name),
	})
	server := yuccaserver.New(anyPort, side.Handler())
	s.sides = append(s.sides, side)
	s.supervisor.Add(side)
	s.supervisor.Add(side.Lease())
	s.supervisor.Add(server)
	s.supervisor.Add(&targetService{system: s, server: server})
	return nil
}

// targetService starts the target of a side as soon as the side accepts targets.
type targetService struct {
	system *System
	server *yuccaserver.Server
}

// Serve runs the target until the context ends.
func (t *targetService) Serve(ctx context.Context) error {
	address, err := t.server.Address(ctx)
	if err != nil {
		return err
	}
	o := t.system.options
	target := yuccatarget.New(yuccatarget.Options{
		Service: o.Service, Listen: anyPort, Side: "http://" + address, Slots: o.Slots, Connections: targetConnections,
		Behaviour: yuccatarget.Behaviour{Sleep: o.Sleep}, Logger: o.Logger,
	})
	return target.Serve(ctx)
}

// OperatorAddress waits until the control listens for operators and returns the
// address.
func (s *System) OperatorAddress(ctx context.Context) (string, error) {
	return s.operators.Address(ctx)
}

// CallerAddresses waits until the entries listen for callers and returns the
// addresses.
func (s *System) CallerAddresses(ctx context.Context) ([]string, error) {
	addresses := make([]string, len(s.callers))
	for i, server := range s.callers {
		address, err := server.Address(ctx)
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	return addresses, nil
}

// AwaitReady waits until each entry holds a lease and sees the slots of all
// sides as free.
func (s *System) AwaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !s.isReady(ctx) {
		select {
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "waiting for the system to become ready")
		case <-ticker.C:
		}
	}
	return nil
}

func (s *System) isReady(ctx context.Context) bool {
	for _, e := range s.entries {
		if !e.Ready() || e.FreeSlots(ctx, s.options.Service) < len(s.sides)*s.options.Slots {
			return false
		}
	}
	return true
}

// Drain drains the entries first, then the sides. It returns the number of jobs
// and tasks that were aborted because the context ended.
func (s *System) Drain(ctx context.Context) int {
	aborted := 0
	for _, e := range s.entries {
		aborted += e.Drain(ctx)
	}
	for _, side := range s.sides {
		aborted += side.Drain(ctx)
	}
	return aborted
}

// Close closes the network and the data folder. The supervisor must have stopped.
func (s *System) Close() error {
	s.network.Close()
	return s.folder.Close()
}

// boundNetwork binds listeners before their owners are created, so that the
// owners know all addresses from the start.
type boundNetwork struct {
	*yuccamux.Network
	listeners map[string]yuccawire.Listener
}

// reserve binds a listener to a free port and returns its address.
func (n *boundNetwork) reserve() (string, error) {
	l, err := n.Network.Listen(anyPort)
	if err != nil {
		return "", err
	}
	n.listeners[l.Address()] = l
	return l.Address(), nil
}

// Listen returns the listener that reserve bound to the address.
func (n *boundNetwork) Listen(address string) (yuccawire.Listener, error) {
	l := n.listeners[address]
	if l == nil {
		return nil, merry.Errorf("address %q was not reserved", address)
	}
	return l, nil
}
