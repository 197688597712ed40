package yuccajsonpost_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccajsonpost"
)

// A request that was answered was sent, wherever the answer points.
func TestRedirectIsNoRefusal(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.Redirect(w, r, "http://"+closed.Addr().String()+"/", http.StatusFound)
	}))
	defer server.Close()
	status, _, err := yuccajsonpost.NewClient(yuccajsonpost.Options{MaxConnections: 1}).Post(t.Context(), server.URL, nil, "start")
	if calls != 1 || yuccajsonpost.IsRefused(err) || status != http.StatusFound {
		t.Errorf("%d calls, got status %d, %v, want the redirect itself", calls, status, err)
	}
}
