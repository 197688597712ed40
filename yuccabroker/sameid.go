package yuccabroker

import (
	"bytes"
	"fmt"
	"reflect"
	"time"
)

// refuseSameID answers a job of another queue than that of the open job with its ID. They are
// different jobs, but tasks are named by the ID of their job, so that they can't be there at the same
// time. A job with the same content may be a resend whose queue the document has renamed, which
// may have run.
func (b *Broker) refuseSameID(open *job, submitted Job, waiter uint64) {
	outcome := Outcome{
		State: Rejected, Reason: fmt.Sprintf("a job of the queue %s with the same id is in progress", open.Queue.Name), RetryAfter: time.Second,
	}
	if open.Queue.Service == submitted.Queue.Service && bytes.Equal(open.Payload, submitted.Payload) && reflect.DeepEqual(open.Job.Steps, submitted.Steps) {
		outcome.State = Abandoned
	}
	b.metrics.Add("jobs_refused", 1)
	b.options.Logger.Info("job refused", "job", submitted.ID, "queue", submitted.Queue.Name, "reason", outcome.Reason, "retry_after_ms", outcome.RetryAfter.Milliseconds())
	b.emit(Answer{Waiter: waiter, Outcome: outcome})
}
