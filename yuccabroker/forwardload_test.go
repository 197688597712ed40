package yuccabroker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccabroker"
	"github.com/yuccaturn/yuccaturn/yuccawire"
	"google.golang.org/protobuf/proto"
)

func TestListsAreForwardedThoughTheyAreConfirmed(t *testing.T) {
	names := []string{}
	for i := range 16 {
		names = append(names, fmt.Sprintf("e%02d", i))
	}
	f := newOpenPeers(t, names...)
	forwards, copies, bytes, direct := 0, 0, 0, 0
	for i := range 200 {
		f.now = f.now.Add(20 * time.Millisecond)
		j := f.received(fmt.Sprint("j", i), 0)
		j.Deadline = f.now.Add(20 * time.Second)
		f.submit(j, uint64(i+1))
		for _, s := range f.sides {
			f.report(s, fullCPU)
		}
		f.broker.Tick(f.now)
		for _, a := range f.broker.Actions() {
			p, ok := a.(yuccabroker.Publish)
			if !ok {
				continue
			}
			if m := p.Message.GetForward(); m != nil {
				forwards++
				copies += len(p.To)
				bytes += len(p.To) * proto.Size(p.Message)
			}
			if m := p.Message.GetOpenJobs(); m != nil {
				direct += 16 * proto.Size(p.Message)
				for _, n := range names {
					f.broker.HandleOpenJobsSeen(f.now, n, &yuccawire.OpenJobsSeen{Sequence: m.GetSequence()})
				}
			}
		}
	}
	t.Logf("4 s, all confirm at once: forwards %d, copies %d, bytes %d (direct lists %d bytes)", forwards, copies, bytes, direct)
	if forwards > 0 {
		t.Errorf("%d forwards although all links are fine", forwards)
	}
}
