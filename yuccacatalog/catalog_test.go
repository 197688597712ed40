package yuccacatalog_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccacatalog"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

func route(host, prefix, service string) yuccacatalog.Route {
	return yuccacatalog.Route{Host: host, Prefix: prefix, Timeout: time.Second, Queue: yuccabroker.Queue{Name: prefix, Service: service}}
}

func TestMatch(t *testing.T) {
	c, err := yuccacatalog.New(yuccacatalog.Draft{
		Version: 3, Services: []string{"belfry"},
		Routes: []yuccacatalog.Route{route("a", "/x/", "belfry"), route("a", "/x/y/", "belfry"), route("b", "/x/", "belfry")},
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ host, path, prefix, rest string }{
		{"a", "/x/1", "/x/", "1"},
		{"a:8080", "/x/y/1", "/x/y/", "1"},
		{"a", "/x/", "/x/", ""},
		{"b", "/x/y/1", "/x/", "y/1"},
	} {
		r, rest, ok := c.Match(tc.host, tc.path)
		if !ok || r.Prefix != tc.prefix || rest != tc.rest {
			t.Errorf("%s%s: got %q %q %v, want %q %q", tc.host, tc.path, r.Prefix, rest, ok, tc.prefix, tc.rest)
		}
	}
	if _, _, ok := c.Match("c", "/x/1"); ok {
		t.Error("an unknown host matches a route")
	}
}

// All findings about a document are reported together.
func TestFindings(t *testing.T) {
	bad := route("a", "/x/", "nobody")
	bad.Timeout = 0
	_, err := yuccacatalog.New(yuccacatalog.Draft{
		Services: []string{"belfry"}, Routes: []yuccacatalog.Route{route("a", "/x/", "belfry"), bad, route("a", "x", "belfry")},
	})
	var findings yuccajsonc.Findings
	if !errors.As(err, &findings) || len(findings) != 5 {
		t.Fatalf("got %v, want five findings", err)
	}
	for _, want := range []string{"version", "routes[1]: has the host and prefix of routes[0]", "routes[1].service", "routes[1].timeout", "routes[2].prefix"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("findings lack %q: %v", want, err)
		}
	}
}
