package yuccamux

import (
	"bufio"
	"bytes"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// DecodeAll decodes envelopes up to the end of data or the first error, and returns
// their number.
func DecodeAll(data []byte) int {
	l := &link{reader: bufio.NewReader(bytes.NewReader(data)), decoder: protodelim.UnmarshalOptions{MaxSize: defaultMaxMessageBytes}}
	n := 0
	for l.decoder.UnmarshalFrom(l.reader, new(yuccawire.Envelope)) == nil {
		n++
	}
	return n
}
