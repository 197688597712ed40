package yuccabroker_test

import (
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
)

// A resend that joins the open job of a stopping entry does not extend it beyond the stop.
func TestResendDoesNotOutlastTheStop(t *testing.T) {
	f := newFixture(t, "s1")
	f.submit(job("a", 1), 1)
	f.broker.StopAt(f.now, f.now.Add(500*time.Millisecond))
	f.submit(job("a", 1), 2)
	f.advance(540*time.Millisecond, "s1")
	f.wantState(1, yuccabroker.Abandoned)
	f.wantState(2, yuccabroker.Abandoned)
}
