// Package yuccacatalog holds the configuration document in the form that entries
// use to route requests: the queues with their hosts and path prefixes, and the
// limits.
//
// A catalog is immutable. The format of the document depends on the deployment: an
// adapter decodes it into a [Draft], which [New] validates.
//
// # Usage
//
//	catalog, err := yuccacatalog.New(draft)
//	route, rest, ok := catalog.Match("shop.example", "/orders/5c0e7a21d94b36f8")
package yuccacatalog

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccajsonc"
)

// Draft is a decoded document that is not yet validated.
type Draft struct {
	Version  uint64
	Routes   []Route
	Services []string
	Limits   Limits
}

// Route maps requests with a host and a path prefix to a queue.
type Route struct {
	Queue yuccabroker.Queue
	// Host and Prefix are matched against the host and the path of a request; the
	// longest prefix wins.
	Host   string
	Prefix string
	// Timeout is how long a caller waits if its request sets no deadline.
	Timeout time.Duration
	// Unsupported names a feature that the route needs and this version lacks;
	// empty if there is none.
	Unsupported string
}

// Limits holds the limits for requests of callers. Zero means that the
// document sets no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is a validated document.
type Catalog struct {
	version uint64
	limits  Limits
	hosts   map[string][]Route
}

// maxFindings limits the findings of a draft. They take far more memory than its text.
const maxFindings = 100

// New validates a draft and returns its catalog. The error is a
// [yuccajsonc.Findings] with all findings, a hundred at most.
func New(draft Draft) (*Catalog, error) {
	c := &Catalog{version: draft.Version, limits: draft.Limits, hosts: make(map[string][]Route)}
	var findings yuccajsonc.Findings
	report := func(field, problem, expected string) {
		if len(findings) == maxFindings {
			return
		}
		findings = append(findings, yuccajsonc.Finding{File: "document", Line: 1, Column: 1, Field: field, Problem: problem, Expected: expected})
	}
	if draft.Version == 0 {
		report("version", "is 0", "a version above zero")
	}
	services := make(map[string]bool, len(draft.Services))
	for i, name := range draft.Services {
		if name == "" {
			report(fmt.Sprintf("services[%d].name", i), "is missing", "the name of a service")
		}
		services[name] = true
	}
	seen := make(map[string]int, len(draft.Routes))
	for i, r := range draft.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		address := r.Host + " " + r.Prefix
		if first, duplicate := seen[address]; duplicate {
			report(field, fmt.Sprintf("has the host and prefix of routes[%d]", first), "a place of its own")
		}
		seen[address] = i
		if !services[r.Queue.Service] {
			report(field+".service", fmt.Sprintf("%q is not known", r.Queue.Service), "the name of a service of the document")
		}
		if r.Timeout <= 0 {
			report(field+".timeout", "is 0", "a time above zero")
		}
		if !strings.HasPrefix(r.Prefix, "/") {
			report(field+".prefix", fmt.Sprintf("is %q", r.Prefix), "a path that begins with /")
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return c, nil
}

// Version returns the version that the operators gave to the document.
func (c *Catalog) Version() uint64 { return c.version }

// Limits returns the limits in the document.
func (c *Catalog) Limits() Limits { return c.limits }

// Match returns the route of the host with the longest prefix of the path, and
// the rest of the path without a leading slash. A port in the host is ignored.
func (c *Catalog) Match(host, path string) (route Route, rest string, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) && (!ok || len(r.Prefix) > len(route.Prefix)) {
			route, ok = r, true
		}
	}
	if !ok {
		return Route{}, "", false
	}
	return route, strings.TrimPrefix(path[len(route.Prefix):], "/"), true
}
