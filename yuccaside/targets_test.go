package yuccaside_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccaside"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// The side is not served, so that an announcement that is taken in is answered with 503.
func TestAnnouncementOfAnotherWriterIsBelieved(t *testing.T) {
	handler := yuccaside.New(yuccaside.Options{Self: &yuccawire.Node{Name: "s"}}).Handler()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	const good = `"address":"http://127.0.0.1:7300","slots":1,"connections":1`
	for _, tc := range []struct {
		service, body string
		status        int
	}{
		{"belfry", good, http.StatusServiceUnavailable},
		{"belfry", `"address":"http://[::1]:7300/base/","slots":1,"connections":1`, http.StatusServiceUnavailable},
		{"belfry", `"address":"http://localhost","slots":1,"connections":1`, http.StatusServiceUnavailable},
		{"belfry", `"address":"http://127.0.0.1:99999","slots":1,"connections":1`, http.StatusBadRequest},
		{"belfry", `"address":"http://127.0.0.1:0","slots":1,"connections":1`, http.StatusBadRequest},
		{"belfry", `"address":"http://127.0.0.1:7300?a=","slots":1,"connections":1`, http.StatusBadRequest},
		{"belfry", `"address":"http://127.0.0.1:7300/#a","slots":1,"connections":1`, http.StatusBadRequest},
		{"belfry", `"address":"http://127.0.0.1:7300/` + strings.Repeat("a", 1000) + `","slots":1,"connections":1`, http.StatusBadRequest},
		{"belfry", `"address":"http://127.0.0.1:7300","slots":4294967297,"connections":1`, http.StatusBadRequest},
		{"belfry", `"address":"http://127.0.0.1:7300","slots":1,"connections":9223372036854775808`, http.StatusBadRequest},
		{"belfry", strings.Repeat("[", 60_000), http.StatusBadRequest},
		{"%ff", good, http.StatusBadRequest},
		{strings.Repeat("b", 201), good, http.StatusBadRequest},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPut, "/v1/targets/"+tc.service, strings.NewReader("{"+tc.body+"}")))
		if w.Code != tc.status {
			t.Errorf("%.30s %.60s: status %d, want %d: %s", tc.service, tc.body, w.Code, tc.status, w.Body)
		}
	}
}
