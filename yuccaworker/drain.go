package yuccaworker

import (
	"time"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// drainNews is what an owner has last said about the side's data centre. The version is that of the
// list of drained data centres, zero if it has said nothing.
type drainNews struct {
	version   uint64
	isDrained bool
}

func (w *Worker) handleDrainNews(now time.Time, o *owner, m *yuccawire.Beat) {
	if m.GetDrainedVersion() > o.drainNews.version {
		o.drainNews = drainNews{version: m.GetDrainedVersion(), isDrained: m.GetDrained()}
		w.updateDrained(now)
	}
}

// updateDrained goes by the owner with the newest list, and refuses what waits if that says that the
// data centre is drained. What an owner said is forgotten with it: control that has lost all of its
// data counts the versions from the start.
func (w *Worker) updateDrained(now time.Time) {
	newest := drainNews{}
	for _, o := range w.ownerList {
		if o.drainNews.version > newest.version {
			newest = o.drainNews
		}
	}
	if newest.isDrained == w.isDrained {
		return
	}
	w.isDrained = newest.isDrained
	w.options.Logger.Info("data centre drain state changed", "out", w.isDrained, "version", newest.version, "runs", len(w.runs), "queued", len(w.queue))
	if w.isDrained {
		w.metrics.Add("drains", 1)
		w.refuseQueue(now, yuccawire.RunRefusal_RUN_REFUSAL_DRAINED)
	}
}
