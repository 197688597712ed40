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
	formationTimeout = 4 * time.Second
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
	sizedMaxLogEntries = 250
)

// sizedPlace is where a process of a system for sized jobs runs, whichever file
// says so.
type sizedConfig struct {
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
	toleratedLosses     int
	maxConfigurationAge time.Duration
	metrics             *yuccametric.Set
	logger              *slog.Logger
}

func (c sizedConfig) node(role yuccawire.Role) *yuccawire.Node {
	return &yuccawire.Node{Name: c.name, Role: role, DataCentre: c.dataCentre, Address: c.mesh, Incarnation: newIncarnation()}
}

func (c sizedConfig) newMesh(options yuccamesh.Options) *yuccamesh.Mesh {
	options.Network = yuccamux.New(yuccamux.Options{KeepAlive: meshKeepAlive, WriteTimeout: meshKeepAlive, MaxPendingBytes: meshPendingBytes})
	options.Seeds = c.seeds
	options.Metrics = c.metrics
	options.Logger = c.logger
	return yuccamesh.New(options)
}

// addSide adds a side that drives the worker behind the caller.
func (c sizedConfig) addSide(p *process, caller yuccadriver.WorkerClient) *yuccadriver.Driver {
	mesh := c.newMesh(yuccamesh.Options{Self: c.node(yuccawire.Role_ROLE_SIDE)})
	driver := yuccadriver.New(yuccadriver.Options{Mesh: mesh, Client: caller, SuspendWatch: yuccasuspend.New(), Metrics: c.metrics, Logger: c.logger})
	p.drain = driver.Drain
	p.add(mesh, driver)
	return driver
}

// addEntry adds an entry, and a control where there is a data folder.
func (c sizedConfig) addEntry(p *process, decode func([]byte) (*yuccacatalog.Catalog, error)) (*yuccaedge.Edge, error) {
	node := c.node(yuccawire.Role_ROLE_ENTRY)
	var folder *yuccadisk.Folder
	var address *yuccawire.ReplicaAddress
	if c.dataFolder != "" {
		start := time.Now()
		opened, err := yuccadisk.Open(c.dataFolder)
		if err != nil {
			return nil, err
		}
		folder = opened
		c.logger.Info("opened the data folder", "id", folder.ID(), "entries", len(folder.Stored().Entries),
			"snapshot_index", folder.Stored().Snapshot.GetIndex(), "took_ms", time.Since(start).Milliseconds())
		address = &yuccawire.ReplicaAddress{Name: c.name, Address: c.control, OperatorAddress: c.operators, Id: folder.ID()}
	}
	var edge *yuccaedge.Edge
	mesh := c.newMesh(yuccamesh.Options{
		Self: node, Listen: true, Replica: address,
		Sections: func() []*yuccawire.Section { return edge.Sections() },
	})
	control := yuccamux.New(yuccamux.Options{
		KeepAlive: controlKeepAlive, WriteTimeout: controlWriteTimeout, MaxPendingBytes: replicaPendingBytes,
	})
	lease := yuccalease.New(yuccalease.Options{
		Network: control, Self: node, Sections: yuccadocument.WholeDocumentSections, Random: newRandom(), Logger: c.logger,
		Discover: func() []string { return controlAddresses(mesh, address) },
	})
	var replica *yuccaedge.Replica
	if folder != nil {
		f := &groupFormation{config: c, mesh: mesh, self: address, startedAt: time.Now()}
		replica = yuccaedge.NewReplica(folder, func() (*yuccadisk.Folder, error) { return yuccadisk.Open(c.dataFolder) },
			yuccacontrol.Options{
				Network: control, Self: address, DataCentre: c.dataCentre, Discover: mesh.Replicas, CanFormGroup: f.canFormGroup,
				OnRecovered: func(sections []*yuccawire.Section) { edge.ApplyRecovered(sections) }, Voters: 2*c.toleratedLosses + 1,
				MaxLogEntries: sizedMaxLogEntries, Random: newRandom(), SuspendWatch: yuccasuspend.New(), Metrics: c.metrics, Logger: c.logger,
			})
		p.add(replica)
	}
	edge = yuccaedge.New(yuccaedge.Options{
		Mesh: mesh, Lease: lease, Replica: replica, Decode: decode, MaxConfigurationAge: c.maxConfigurationAge,
		Broker:       yuccabroker.New(yuccabroker.Options{Name: c.name, Random: newRandom(), Metrics: c.metrics, Logger: c.logger}),
		SuspendWatch: yuccasuspend.New(), Metrics: c.metrics, Logger: c.logger,
	})
	p.add(mesh, lease, edge)
	return edge, nil
}

// controlsOf lists the addresses of the controls that are known.
func controlAddresses(mesh *yuccamesh.Mesh, self *yuccawire.ReplicaAddress) []string {
	var addresses []string
	if self != nil {
		addresses = append(addresses, self.GetAddress())
	}
	for _, r := range mesh.Replicas() {
		addresses = append(addresses, r.GetAddress())
	}
	return addresses
}

// formation says which replica may form the group, and when.
type groupFormation struct {
	config    sizedConfig
	mesh      *yuccamesh.Mesh
	self      *yuccawire.ReplicaAddress
	startedAt time.Time
}

// mayForm gives the licence to the first replica among the seeds, which all
// processes know when the system starts for the first time. Where no seed has a
// disk it is the first of all.
func (f *groupFormation) canFormGroup() (allowed, undersized bool) {
	if !f.config.bootstrap {
		return false, false
	}
	names := map[string]string{f.config.mesh: f.config.name}
	for _, node := range f.mesh.Nodes() {
		names[node.GetAddress()] = node.GetName()
	}
	var seeds []string
	for _, seed := range f.config.seeds() {
		name, ok := names[seed]
		if !ok {
			return false, false
		}
		seeds = append(seeds, name)
	}
	replicas := append(f.mesh.Replicas(), f.self)
	founder := yuccaedge.FormingReplica(replicas, seeds)
	waiting := time.Since(f.startedAt) < formationTimeout
	return founder.GetName() == f.self.GetName(), !waiting
}
