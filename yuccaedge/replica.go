package yuccaedge

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccadisk"
	"github.com/yuccaturn/yuccaturn/yuccastate"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// reopenDelay is the time between the end of a control and the next attempt to
// open its data folder.
const reopenDelay = time.Second

// Replica runs the control of an entry with a disk. A disk failure stops the
// control but not the entry; the data folder is reopened after a delay. It is a
// suture service.
type Replica struct {
	openFolder func() (*yuccadisk.Folder, error)
	options    yuccacontrol.Options
	logger     *slog.Logger
	control    atomic.Pointer[yuccacontrol.Control]
	folder     *yuccadisk.Folder
}

// NewReplica returns a replica that starts with an open data folder. openFolder
// reopens the folder after a failure. Each control runs with the options and the
// folder as Storage.
func NewReplica(folder *yuccadisk.Folder, openFolder func() (*yuccadisk.Folder, error), options yuccacontrol.Options) *Replica {
	return &Replica{openFolder: openFolder, options: options, logger: options.Logger, folder: folder}
}

// Apply commits a change. It returns yuccacontrol.ErrNotLeader if the control is
// not the leader or is not running.
func (r *Replica) Apply(ctx context.Context, command *yuccawire.Command) (*yuccastate.ChangeResult, error) {
	control := r.control.Load()
	if control == nil {
		return nil, yuccacontrol.ErrNotLeader
	}
	return control.Apply(ctx, command)
}

// Serve runs the control until the context ends, and restarts it after a failure.
func (r *Replica) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		r.runControl(ctx)
		timer := time.NewTimer(reopenDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return ctx.Err()
}

// runControl opens the data folder if it is closed, and runs a control on it
// until that fails or the context ends.
func (r *Replica) runControl(ctx context.Context) {
	if r.folder == nil {
		folder, err := r.openFolder()
		if err != nil {
			r.logger.Error("opening the data folder failed", "error", err)
			return
		}
		r.folder = folder
	}
	folder := r.folder
	r.folder = nil
	defer r.closeFolder(folder)
	if n := folder.TruncatedBytes(); n > 0 {
		r.logger.Warn("torn frame at the end of the log truncated", "bytes", n)
	}
	options := r.options
	options.Storage = folder
	control, err := yuccacontrol.New(options)
	if err != nil {
		r.logger.Error("starting the control failed", "error", err)
		return
	}
	r.control.Store(control)
	defer r.control.Store(nil)
	if err := control.Serve(ctx); err != nil && ctx.Err() == nil {
		r.logger.Error("control failed, reopening its data folder", "error", err)
	}
}

func (r *Replica) closeFolder(folder *yuccadisk.Folder) {
	if err := folder.Close(); err != nil {
		r.logger.Warn("closing the data folder failed", "error", err)
	}
}

// FormingReplica returns the replica that forms a new group: the first by name
// among those whose names are in seeds, or if no seed has a replica, the first of
// all. It returns nil if there are no replicas.
func FormingReplica(replicas []*yuccawire.ReplicaAddress, seeds []string) *yuccawire.ReplicaAddress {
	var forming *yuccawire.ReplicaAddress
	formingIsSeed := false
	for _, r := range replicas {
		isSeed := slices.Contains(seeds, r.GetName())
		if forming == nil || isSeed && !formingIsSeed || isSeed == formingIsSeed && r.GetName() < forming.GetName() {
			forming, formingIsSeed = r, isSeed
		}
	}
	return forming
}
