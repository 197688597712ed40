package yuccalease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccadocument"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Control sends a section that can't be decoded, with the reply to a renewal.
func TestLeaseConfirmsASectionThatIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := newFakeControl(t.Context(), t, nil)
		for _, step := range []struct {
			version    uint64
			body       string
			incomplete bool
		}{{1, `{"out": ["puno"]}`, false}, {2, `{"out": `, true}, {2, `{"out": `, true}, {3, `{"out": []}`, false}} {
			section := &yuccawire.Section{Name: yuccadocument.SectionDrainedDataCentres, Version: step.version, Body: []byte(step.body)}
			if u := control.renew(func() {}, section); u.Incomplete != step.incomplete || !u.Lease.Valid(time.Now()) {
				t.Errorf("version %d with body %s: got %+v, want incomplete %v", step.version, step.body, u, step.incomplete)
			}
		}
	})
}
