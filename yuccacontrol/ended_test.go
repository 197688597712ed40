package yuccacontrol_test

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/yuccaturn/yuccaturn/yuccacontrol"
	"github.com/yuccaturn/yuccaturn/yuccaquery"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func TestCallersWaitForALoopThatHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.start(t.Context(), "a", true)
		synctest.Wait()
		d.cancels["a"]()
		synctest.Wait()
		if _, err := d.controls["a"].Apply(t.Context(), &yuccawire.Command{}); !errors.Is(err, yuccacontrol.ErrNotLeader) {
			t.Errorf("change: %v", err)
		}
		if _, err := d.controls["a"].Status(t.Context()); !errors.Is(err, yuccaquery.ErrEnded) {
			t.Errorf("status: %v", err)
		}
		d.fabric.Crash("a")
	})
}
