package yuccaheader_test

import (
	"net/http"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccaheader"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// A message with a value in Latin-1 can't be encoded, and ended the link.
func TestValuesThatAreNotUTF8ArriveUnchanged(t *testing.T) {
	header := http.Header{"Content-Disposition": {"filename=caf\xe9", "filename=café"}, "X-Bytes": {"\xff\xfe\x80"}, "X-Text": {"Grüße"}}
	request := &yuccawire.Request{Headers: yuccaheader.ToWire(header)}
	data, err := proto.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	received := new(yuccawire.Request)
	if err := proto.Unmarshal(data, received); err != nil {
		t.Fatal(err)
	}
	applied := http.Header{"X-Bytes": {"replaced"}}
	yuccaheader.Apply(received.GetHeaders(), applied)
	if !reflect.DeepEqual(applied, header) {
		t.Errorf("got %q, want %q", applied, header)
	}
}
