package yuccamux_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccamux"
	"github.com/yuccaturn/yuccaturn/yuccawire"
)

func listen(t *testing.T, options yuccamux.Options) (*yuccamux.Network, yuccawire.Listener) {
	t.Helper()
	network := yuccamux.New(options)
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = listener.Close()
		network.Close()
	})
	return network, listener
}

// pair returns the dialled and the accepted end of a link.
func pair(t *testing.T, options yuccamux.Options) (near, far yuccawire.Link) {
	t.Helper()
	network, listener := listen(t, options)
	near, err := network.Dial(context.Background(), listener.Address())
	if err != nil {
		t.Fatal(err)
	}
	// The peer accepts a stream when its first bytes arrive.
	if err := near.Send(renew(0)); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Receive(); err != nil {
		t.Fatal(err)
	}
	return near, far
}

func renew(sequence uint64) *yuccawire.Envelope {
	return &yuccawire.Envelope{Body: &yuccawire.Envelope_Renew{Renew: &yuccawire.Renew{Sequence: sequence}}}
}

func TestMessagesArriveInOrder(t *testing.T) {
	near, far := pair(t, yuccamux.Options{})
	for i := range 1000 {
		if err := near.Send(renew(uint64(i))); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 1000 {
		m, err := far.Receive()
		if err != nil || m.GetRenew().GetSequence() != uint64(i) {
			t.Fatalf("message %d is %v, %v", i, m, err)
		}
	}
}

func TestCloseClosesBothEnds(t *testing.T) {
	near, far := pair(t, yuccamux.Options{})
	_ = near.Close()
	if _, err := far.Receive(); err == nil {
		t.Error("received a message from a closed link")
	}
	if err := near.Send(renew(1)); !errors.Is(err, yuccawire.ErrLinkClosed) {
		t.Errorf("Send on a closed link returned %v", err)
	}
}

// It waits behind another one, as the first message on a link does.
func TestMessageThatIsLargerThanTheLimitClosesEachLink(t *testing.T) {
	near, far := pair(t, yuccamux.Options{MaxPendingBytes: 1 << 20})
	big := &yuccawire.Envelope{Body: &yuccawire.Envelope_Finished{Finished: &yuccawire.Finished{Body: make([]byte, 3<<20)}}}
	for _, m := range []*yuccawire.Envelope{renew(1), big} {
		if err := near.Send(m); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []int{0, 3 << 20} {
		m, err := far.Receive()
		if got := len(m.GetFinished().GetBody()); err != nil || got != want {
			t.Fatalf("received %d bytes, %v, want %d", got, err, want)
		}
	}
}

// A link to a peer that does not read is closed once its queue exceeds
// MaxPendingBytes, instead of using more and more memory.
func TestSlowPeerLosesLink(t *testing.T) {
	near, _ := pair(t, yuccamux.Options{MaxPendingBytes: 1 << 20})
	big := &yuccawire.Envelope{Body: &yuccawire.Envelope_Finished{Finished: &yuccawire.Finished{Body: make([]byte, 100<<10)}}}
	var err error
	for range 10_000 {
		if err = near.Send(big); err != nil {
			break
		}
	}
	if !errors.Is(err, yuccawire.ErrLinkFull) && !errors.Is(err, yuccawire.ErrLinkClosed) {
		t.Errorf("Send queued 1 GB for a peer that does not read, and returned %v", err)
	}
}

func TestOversizedMessageClosesLink(t *testing.T) {
	near, far := pair(t, yuccamux.Options{MaxMessageBytes: 1000})
	big := &yuccawire.Envelope{Body: &yuccawire.Envelope_Finished{Finished: &yuccawire.Finished{Body: make([]byte, 2000)}}}
	if err := near.Send(big); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Receive(); err == nil {
		t.Error("received a message larger than MaxMessageBytes")
	}
}

// A peer with a different protocol version receives the reason, and the handshake
// fails.
func TestVersionMismatchIsRejected(t *testing.T) {
	near, far := pair(t, yuccamux.Options{})
	hello := &yuccawire.Hello{ProtocolVersion: yuccawire.ProtocolVersion + 1, Node: &yuccawire.Node{Name: "side-1", Role: yuccawire.Role_ROLE_SIDE}}
	if err := near.Send(&yuccawire.Envelope{Body: &yuccawire.Envelope_Hello{Hello: hello}}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := yuccawire.AcceptHello(ctx, far, &yuccawire.Node{Name: "entry-1"})
	if !errors.Is(err, yuccawire.ErrVersion) || !strings.Contains(err.Error(), `"side-1" has version 2, expected 1`) {
		t.Errorf("AcceptHello returned %v", err)
	}
	m, err := near.Receive()
	if err != nil || !strings.Contains(m.GetRejected().GetReason(), "version") {
		t.Errorf("the peer received %v, %v", m, err)
	}
}

// FuzzReceive decodes arbitrary bytes as envelopes.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0})
	f.Add([]byte{5, 1, 2, 3, 4, 5})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		yuccamux.DecodeAll(data)
	})
}

// Close unblocks a pending Receive, even if the peer never closes its end.
func TestCloseUnblocksReceive(t *testing.T) {
	network := yuccamux.New(yuccamux.Options{})
	defer network.Close()
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if _, err := network.Dial(t.Context(), listener.Address()); err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan error, 1)
	go func() {
		_, err := accepted.Receive()
		received <- err
	}()
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-received:
		if err == nil {
			t.Error("Receive returned a message")
		}
	case <-time.After(5 * time.Second):
		t.Error("Receive is still blocked after Close")
	}
}
