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
	// formationTimeout is how long a replica waits for the configured number of
	// voters before it forms a smaller group.
	formationTimeout = 4 * time.Second
	// controlKeepAlive and controlWriteTimeout detect a silent connection between
	// controls within one or two election timeouts.
	controlKeepAlive    = 500 * time.Millisecond
	controlWriteTimeout = time.Second
	// meshKeepAlive closes the stale connections of a lost peer; the mesh itself
	// detects silent links sooner.
	meshKeepAlive = 5 * time.Second
	// replicaPendingBytes limits the data queued for a slow replica.
	replicaPendingBytes = 16 << 20
	// meshPendingBytes limits the data queued for a slow peer. It is enough for the
	// orders of several seconds, and for the largest document (8 MiB) twice, as a peer that
	// waits for it may request it again.
	meshPendingBytes = 18<<20 + 128<<10
	// sectionPushes is the number of entries that the leader pushes a new section to;
	// they announce it to the entries that they are linked to. It covers all entries of
	// small deployments.
	sectionPushes = 16
	// sizedMaxLogEntries is the number of log entries after which the log is
	// compacted. It is low because the disks are small: with whole documents of
	// 100 KB as entries, the log takes 25 MB.
	sizedMaxLogEntries = 250
	// sizedMaxLogBytes keeps the log that small with larger documents too.
	sizedMaxLogBytes = 25 << 20
)

// sizedConfig is the configuration of a process of a system for sized jobs, whose
// tasks declare the resources they need. It is independent of the format of the
// settings file.
type sizedConfig struct {
	name       string
	dataCentre string
	// mesh, control and operators are the listen addresses of the process.
	mesh      string
	control   string
	operators string
	// seeds returns the mesh addresses of the seed entries, as currently configured.
	seeds func() []string
	// bootstrap allows the process to form a new control group.
	bootstrap bool
	// dataFolder is the folder of the control; empty runs no control.
	dataFolder string
	// toleratedFailures is the number of hosts with a disk whose simultaneous failure
	// the control group must survive.
	toleratedFailures int
	// maxConfigurationAge is how long after its last confirmation by a control a
	// configuration counts as current.
	maxConfigurationAge time.Duration
	scheduling          yuccabroker.Scheduling
	metrics             *yuccametric.Set
	logger              *slog.Logger
}

func (c sizedConfig) newNode(role yuccawire.Role) *yuccawire.Node {
	return &yuccawire.Node{Name: c.name, Role: role, DataCentre: c.dataCentre, Address: c.mesh, Incarnation: newIncarnation()}
}

func (c sizedConfig) newMesh(options yuccamesh.Options) *yuccamesh.Mesh {
	options.Network = yuccamux.New(yuccamux.Options{KeepAlive: meshKeepAlive, WriteTimeout: meshKeepAlive, MaxPendingBytes: meshPendingBytes})
	options.Seeds = c.seeds
	options.Metrics = c.metrics
	options.Logger = c.logger
	return yuccamesh.New(options)
}

// addSide adds a side to the process. The side drives its worker through client.
func (c sizedConfig) addSide(p *process, client yuccadriver.WorkerClient) *yuccadriver.Driver {
	mesh := c.newMesh(yuccamesh.Options{Self: c.newNode(yuccawire.Role_ROLE_SIDE)})
	driver := yuccadriver.New(yuccadriver.Options{Name: c.name, Mesh: mesh, Client: client, Suspensions: yuccasuspend.NewMonitor(), Metrics: c.metrics, Logger: c.logger})
	p.drain = driver.Drain
	p.add(mesh, driver)
	return driver
}

// addEntry adds an entry to the process, and a control if the configuration has a
// data folder. decode parses the text of a whole document.
func (c sizedConfig) addEntry(p *process, decode func([]byte) (*yuccacatalog.Catalog, error)) (*yuccaedge.Edge, error) {
	node := c.newNode(yuccawire.Role_ROLE_ENTRY)
	var folder *yuccadisk.Folder
	var address *yuccawire.ReplicaAddress
	if c.dataFolder != "" {
		start := time.Now()
		opened, err := yuccadisk.Open(c.dataFolder)
		if err != nil {
			return nil, err
		}
		folder = opened
		c.logger.Info("data folder opened", "id", folder.ID(), "entries", len(folder.Stored().Entries),
			"snapshot_index", folder.Stored().Snapshot.GetIndex(), "took_ms", time.Since(start).Milliseconds())
		address = &yuccawire.ReplicaAddress{Name: c.name, Address: c.control, OperatorAddress: c.operators, Id: folder.ID()}
	}
	var edge *yuccaedge.Edge
	mesh := c.newMesh(yuccamesh.Options{
		Self: node, Listen: true, Replica: address,
		Sections: func() []*yuccawire.Section { return edge.Sections() },
	})
	controlNetwork := yuccamux.New(yuccamux.Options{
		KeepAlive: controlKeepAlive, WriteTimeout: controlWriteTimeout, MaxPendingBytes: replicaPendingBytes,
	})
	suspensions := yuccasuspend.NewMonitor()
	lease := yuccalease.New(yuccalease.Options{
		Network: controlNetwork, Self: node, Sections: yuccadocument.WholeDocumentSections, Random: newRandom(), Logger: c.logger, Suspensions: suspensions,
		Discover: func() []string { return controlAddresses(mesh, address) },
		Pending:  func() []*yuccawire.QueueCount { return edge.PendingCounts() },
	})
	var replica *yuccaedge.Replica
	if folder != nil {
		f := &groupFormation{config: c, mesh: mesh, self: address, startedAt: time.Now()}
		replica = yuccaedge.NewReplica(folder, func() (*yuccadisk.Folder, error) { return yuccadisk.Open(c.dataFolder) },
			yuccacontrol.Options{
				Network: controlNetwork, Self: address, DataCentre: c.dataCentre, Discover: mesh.Replicas, CanFormGroup: f.canFormGroup,
				OnRecovered: func(sections []*yuccawire.Section) { edge.ApplyRecovered(sections) }, Voters: 2*c.toleratedFailures + 1,
				SectionPushes: sectionPushes, MaxLogEntries: sizedMaxLogEntries, MaxLogBytes: sizedMaxLogBytes, MaxLinkBytes: replicaPendingBytes, Random: newRandom(), Suspensions: suspensions, Metrics: c.metrics, Logger: c.logger,
			})
		p.add(replica)
	}
	edge = yuccaedge.New(yuccaedge.Options{
		Mesh: mesh, Lease: lease, Replica: replica, Decode: decode, MaxConfigurationAge: c.maxConfigurationAge,
		Broker: yuccabroker.New(yuccabroker.Options{
			Name: c.name, Incarnation: node.GetIncarnation(), DataCentre: c.dataCentre, Scheduling: c.scheduling,
			IsReplica: folder != nil, ToleratedFailures: c.toleratedFailures, Random: newRandom(), Metrics: c.metrics, Logger: c.logger,
		}),
		Suspensions: suspensions, Metrics: c.metrics, Logger: c.logger,
	})
	p.add(mesh, lease, edge)
	return edge, nil
}

// controlAddresses returns the address of this process's control, if any, and of
// the controls discovered through the mesh.
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

// groupFormation decides whether this replica may form a new control group.
type groupFormation struct {
	config    sizedConfig
	mesh      *yuccamesh.Mesh
	self      *yuccawire.ReplicaAddress
	startedAt time.Time
}

// canFormGroup reports whether this replica is allowed to form a new group now,
// and whether that group may be undersized. The allowed replica is the first by
// name among the seeds, which all processes know when the system starts for the
// first time, or the first of all replicas if no seed has a disk. No replica is
// allowed without the bootstrap setting, or before the mesh has found every
// seed.
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
