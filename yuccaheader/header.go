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
	"unicode/utf8"

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

// latin1Prefix marks the name of a header with values that are not UTF-8: each byte of
// them is a character of the text in the message, which holds UTF-8 only.
const latin1Prefix = "latin1:"

// ToWire returns the end-to-end headers, sorted by name.
func ToWire(header http.Header) []*yuccawire.Header {
	dropped := connectionHeaders(header)
	var wire []*yuccawire.Header
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if !slices.Contains(hopByHop, name) && !slices.Contains(dropped, name) {
			wire = append(wire, encode(name, header[name]))
		}
	}
	return wire
}

func encode(name string, values []string) *yuccawire.Header {
	if !slices.ContainsFunc(values, func(v string) bool { return !utf8.ValidString(v) }) {
		return &yuccawire.Header{Name: name, Values: values}
	}
	texts := make([]string, len(values))
	for i, v := range values {
		var text strings.Builder
		for _, b := range []byte(v) {
			text.WriteRune(rune(b))
		}
		texts[i] = text.String()
	}
	return &yuccawire.Header{Name: latin1Prefix + name, Values: texts}
}

// decode reverses encode.
func decode(h *yuccawire.Header) (name string, values []string) {
	values = slices.Clone(h.GetValues())
	name, isLatin1 := strings.CutPrefix(h.GetName(), latin1Prefix)
	if !isLatin1 {
		return name, values
	}
	for i, text := range values {
		var v []byte
		for _, r := range text {
			v = append(v, byte(r))
		}
		values[i] = string(v)
	}
	return name, values
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
		name, values := decode(h)
		header[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
}
