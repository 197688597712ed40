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

// reopenPause is the time between a failure of the disk and the next try to
// open it.
const reopenDelay = time.Second

// Replica runs the control of an entry with a disk. A failing disk ends the
// control and not the entry; the folder is opened again later. It is a suture
// service.
type Replica struct {
	openFolder func() (*yuccadisk.Folder, error)
	options    yuccacontrol.Options
	logger     *slog.Logger
	control    atomic.Pointer[yuccacontrol.Control]
	folder     *yuccadisk.Folder
}

// NewReplica returns the replica of a folder that is open, whose control is made
// with the options.
func NewReplica(folder *yuccadisk.Folder, open func() (*yuccadisk.Folder, error), options yuccacontrol.Options) *Replica {
	return &Replica{openFolder: open, options: options, logger: options.Logger, folder: folder}
}

// Apply commits a change, if this control leads.
func (r *Replica) Apply(ctx context.Context, command *yuccawire.Command) (*yuccastate.ChangeResult, error) {
	control := r.control.Load()
	if control == nil {
		return nil, yuccacontrol.ErrNotLeader
	}
	return control.Apply(ctx, command)
}

// Serve runs controls until the context ends.
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

func (r *Replica) runControl(ctx context.Context) {
	if r.folder == nil {
		folder, err := r.openFolder()
		if err != nil {
			r.logger.Error("the data folder can't be opened", "error", err)
			return
		}
		r.folder = folder
	}
	folder := r.folder
	r.folder = nil
	defer r.closeFolder(folder)
	if n := folder.TruncatedBytes(); n > 0 {
		r.logger.Warn("cut a torn tail off the log", "bytes", n)
	}
	options := r.options
	options.Storage = folder
	control, err := yuccacontrol.New(options)
	if err != nil {
		r.logger.Error("the control can't start", "error", err)
		return
	}
	r.control.Store(control)
	defer r.control.Store(nil)
	if err := control.Serve(ctx); err != nil && ctx.Err() == nil {
		r.logger.Error("the control has ended, opening its folder again", "error", err)
	}
}

func (r *Replica) closeFolder(folder *yuccadisk.Folder) {
	if err := folder.Close(); err != nil {
		r.logger.Warn("closing the data folder", "error", err)
	}
}

// FormedBy returns the replica that forms a new group: the first by name among
// the seeds, whose names are given, or where none of these has a disk, the first
// of all. It returns nil for no replicas.
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
