// Package yuccaheader converts HTTP headers to and from messages. It drops the
// hop-by-hop headers.
//
// # Usage
//
//	wire := yuccaheader.ToWire(request.Header)
//	yuccaheader.Apply(wire, response.Header())
package yuccaheader

import (
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// Headers that identify the attempt in a request to a target.
const (
	Job     = "Yucca-Job"
	Task    = "Yucca-Task"
	Attempt = "Yucca-Attempt"
)

// hopByHop lists the canonical names of the hop-by-hop headers, and Content-Length,
// which each hop sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// ToWire returns the end-to-end headers, sorted by name.
func ToWire(header http.Header) []*yuccawire.Header {
	dropped := connectionHeaders(header)
	var wire []*yuccawire.Header
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if !slices.Contains(hopByHop, name) && !slices.Contains(dropped, name) {
			wire = append(wire, &yuccawire.Header{Name: name, Values: header[name]})
		}
	}
	return wire
}

// connectionHeaders returns the canonical names listed in the Connection header,
// which are hop-by-hop as well.
func connectionHeaders(header http.Header) []string {
	var names []string
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// Apply sets the headers in header and replaces existing values.
func Apply(wire []*yuccawire.Header, header http.Header) {
	for _, h := range wire {
		header[textproto.CanonicalMIMEHeaderKey(h.GetName())] = slices.Clone(h.GetValues())
	}
}
