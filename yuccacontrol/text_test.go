package yuccacontrol_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// The leader panicked, and so did the next one, to which the operator turned.
func TestTextThatIsNotUTF8IsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newDeployment(t)
		d.start(ctx, "a", true, "a", "b", "c")
		d.start(ctx, "b", false, "a", "b", "c")
		d.start(ctx, "c", false, "a", "b", "c")
		time.Sleep(4 * time.Second)
		name, _ := d.leader(ctx)
		for path, operator := range map[string]string{
			"/v1/sections/services?base_version=0": "\xff", "/v1/sections/%ff?base_version=0": "o",
			"/v1/sections/services?base_version=0&request_id=%ff": "o", "/v1/data-centres/%ff": "o",
		} {
			r := httptest.NewRequestWithContext(ctx, http.MethodPut, path, strings.NewReader("{}"))
			r.Header["Yucca-Operator"] = []string{operator}
			w := httptest.NewRecorder()
			d.controls[name].Handler().ServeHTTP(w, r)
			if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), "UTF-8") {
				t.Errorf("%s: got %d %s", path, w.Code, w.Body)
			}
		}
		d.leader(ctx)
		cancel()
		synctest.Wait()
	})
}
