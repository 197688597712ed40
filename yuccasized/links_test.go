package yuccasized_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccasized"
)

// An entry lists its links, with the time since each was last heard.
func TestLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t)
		time.Sleep(time.Second)
		w := httptest.NewRecorder()
		yuccasized.NewLinks(s.edges[1].Links).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/v1/links", nil))
		var body struct {
			Links []struct {
				Peer        string `json:"peer"`
				Role        string `json:"role"`
				SilentMS    int64  `json:"silent_ms"`
				MaxSilentMS int64  `json:"max_silent_ms"`
			} `json:"links"`
		}
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || len(body.Links) != 2 {
			t.Fatalf("got %s, %v, want two links", w.Body, err)
		}
		for i, want := range []struct{ peer, role string }{{"e0", "entry"}, {"s", "side"}} {
			l := body.Links[i]
			if l.Peer != want.peer || l.Role != want.role || l.SilentMS > 500 || l.MaxSilentMS != 1300 {
				t.Errorf("link %d is %+v, want %s, %s, silent for 500 ms at most of 1300", i, l, want.peer, want.role)
			}
		}
	})
}
