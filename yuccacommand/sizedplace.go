package yuccacommand

import (
	"log/slog"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccadriver"
	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccalease"
	"github.com/yuccaturn/yuccaturn/yuccamesh"
	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccasuspend"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	// formPatience is how long a replica waits for the wanted number of voters
	// before it forms a smaller group.
	formPatience = 4 * time.Second
	// controlKeepAlive and controlWriteTimeout notice a silent connection between
	// controls within an election timeout or two.
	controlKeepAlive    = 500 * time.Millisecond
	controlWriteTimeout = time.Second
	// meshKeepAlive ends the connections that a lost peer has left; the mesh itself
	// notices silent links sooner.
	meshKeepAlive = 5 * time.Second
	// replicaPendingBytes bounds what waits for a slow replica.
	replicaPendingBytes = 16 << 20
	// meshPendingBytes bounds what waits for a slow peer: some seconds of orders.
	meshPendingBytes = 2 << 20
	// sizedCompactEntries keeps the log short on the small disks: whole
	// documents of 100 KB make 25 MB.
	sizedCompactEntries = 250
)

// sizedPlace is where a process of a system for sized jobs runs, whichever file
// says so.
type sizedPlace struct {
	name       string
	dataCentre string
	// mesh, control and operators are the process's own addresses.
	mesh      string
	control   string
	operators string
	// seeds returns the mesh addresses of the entries that the settings name now.
	seeds      func() []string
	bootstrap  bool
	dataFolder string
	// lossesBorne is the number of hosts with a disk that may be lost at once.
	lossesBorne        int
	configurationBound time.Duration
	metrics            *yuccametric.Set
	logger             *slog.Logger
}

func (s sizedPlace) node(role yuccawire.Role) *yuccawire.Node {
	return &yuccawire.Node{Name: s.name, Role: role, DataCentre: s.dataCentre, Address: s.mesh, Incarnation: incarnation()}
}

func (s sizedPlace) newMesh(options yuccamesh.Options) *yuccamesh.Mesh {
	options.Network = yuccamux.New(yuccamux.Options{KeepAlive: meshKeepAlive, WriteTimeout: meshKeepAlive, MaxPendingBytes: meshPendingBytes})
	options.Seeds = s.seeds
	options.Metrics = s.metrics
	options.Logger = s.logger
	return yuccamesh.New(options)
}

// addSide adds a side that drives the worker behind the caller.
func (s sizedPlace) addSide(p *process, caller yuccadriver.WorkerClient) *yuccadriver.Driver {
	mesh := s.newMesh(yuccamesh.Options{Self: s.node(yuccawire.Role_ROLE_SIDE)})
	driver := yuccadriver.New(yuccadriver.Options{Mesh: mesh, Client: caller, SuspendWatch: yuccasuspend.New(), Metrics: s.metrics, Logger: s.logger})
	p.drain = driver.Drain
	p.add(mesh, driver)
	return driver
}

// addEntry adds an entry, and a control where there is a data folder.
func (s sizedPlace) addEntry(p *process, decode func([]byte) (*yuccacatalog.Catalog, error)) (*yuccaedge.Edge, error) {
	node := s.node(yuccawire.Role_ROLE_ENTRY)
	var folder *yuccadisk.Folder
	var address *yuccawire.ReplicaAddress
	if s.dataFolder != "" {
		began := time.Now()
		opened, err := yuccadisk.Open(s.dataFolder)
		if err != nil {
			return nil, err
		}
		folder = opened
		s.logger.Info("opened the data folder", "id", folder.ID(), "entries", len(folder.Stored().Entries),
			"snapshot_index", folder.Stored().Snapshot.GetIndex(), "took_ms", time.Since(began).Milliseconds())
		address = &yuccawire.ReplicaAddress{Name: s.name, Address: s.control, OperatorAddress: s.operators, Id: folder.ID()}
	}
	var edge *yuccaedge.Edge
	mesh := s.newMesh(yuccamesh.Options{
		Self: node, Listen: true, Replica: address,
		Sections: func() []*yuccawire.Section { return edge.Sections() },
	})
	control := yuccamux.New(yuccamux.Options{
		KeepAlive: controlKeepAlive, WriteTimeout: controlWriteTimeout, MaxPendingBytes: replicaPendingBytes,
	})
	lease := yuccalease.New(yuccalease.Options{
		Network: control, Self: node, Sections: yuccadocument.WholeDocumentSections, Random: random(), Logger: s.logger,
		Discover: func() []string { return controlsOf(mesh, address) },
	})
	var replica *yuccaedge.Replica
	if folder != nil {
		f := &formation{place: s, mesh: mesh, self: address, began: time.Now()}
		replica = yuccaedge.NewReplica(folder, func() (*yuccadisk.Folder, error) { return yuccadisk.Open(s.dataFolder) },
			yuccacontrol.Options{
				Network: control, Self: address, DataCentre: s.dataCentre, Discover: mesh.Replicas, CanFormGroup: f.mayForm,
				OnRecovered: func(sections []*yuccawire.Section) { edge.ApplyRecovered(sections) }, Voters: 2*s.lossesBorne + 1,
				MaxLogEntries: sizedCompactEntries, Random: random(), SuspendWatch: yuccasuspend.New(), Metrics: s.metrics, Logger: s.logger,
			})
		p.add(replica)
	}
	edge = yuccaedge.New(yuccaedge.Options{
		Mesh: mesh, Lease: lease, Replica: replica, Decode: decode, MaxConfigurationAge: s.configurationBound,
		Broker:       yuccabroker.New(yuccabroker.Options{Name: s.name, Random: random(), Metrics: s.metrics, Logger: s.logger}),
		SuspendWatch: yuccasuspend.New(), Metrics: s.metrics, Logger: s.logger,
	})
	p.add(mesh, lease, edge)
	return edge, nil
}

// controlsOf lists the addresses of the controls that are known.
func controlsOf(mesh *yuccamesh.Mesh, own *yuccawire.ReplicaAddress) []string {
	var addresses []string
	if own != nil {
		addresses = append(addresses, own.GetAddress())
	}
	for _, r := range mesh.Replicas() {
		addresses = append(addresses, r.GetAddress())
	}
	return addresses
}

// formation says which replica may form the group, and when.
type formation struct {
	place sizedPlace
	mesh  *yuccamesh.Mesh
	self  *yuccawire.ReplicaAddress
	began time.Time
}

// mayForm gives the licence to the first replica among the seeds, which all
// processes know when the system starts for the first time. Where no seed has a
// disk it is the first of all.
func (f *formation) mayForm() (may, fewer bool) {
	if !f.place.bootstrap {
		return false, false
	}
	known := map[string]string{f.place.mesh: f.place.name}
	for _, node := range f.mesh.Nodes() {
		known[node.GetAddress()] = node.GetName()
	}
	var seeds []string
	for _, seed := range f.place.seeds() {
		name, ok := known[seed]
		if !ok {
			return false, false
		}
		seeds = append(seeds, name)
	}
	replicas := append(f.mesh.Replicas(), f.self)
	first := yuccaedge.FormingReplica(replicas, seeds)
	patient := time.Since(f.began) < formPatience
	return first.GetName() == f.self.GetName(), !patient
}
