package yuccamux

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const (
	outboxMessages = 512
	bufferBytes    = 4 << 10
)

// link frames envelopes on one stream with their length as a varint.
type link struct {
	stream  net.Conn
	reader  *bufio.Reader
	decoder protodelim.UnmarshalOptions
	outbox  chan *yuccawire.Envelope
	pending atomic.Int64
	limit   int64
	closed  chan struct{}
	once    sync.Once
}

func newLink(stream net.Conn, options Options) *link {
	l := &link{
		stream:  stream,
		reader:  bufio.NewReaderSize(stream, bufferBytes),
		decoder: protodelim.UnmarshalOptions{MaxSize: options.MaxMessageBytes},
		outbox:  make(chan *yuccawire.Envelope, outboxMessages),
		limit:   options.MaxPendingBytes,
		closed:  make(chan struct{}),
	}
	go l.run()
	return l
}

// Send queues the envelope for the writer.
func (l *link) Send(m *yuccawire.Envelope) error {
	select {
	case <-l.closed:
		return yuccawire.ErrLinkClosed
	default:
	}
	size := int64(proto.Size(m))
	if l.pending.Add(size) > l.limit {
		_ = l.Close()
		return yuccawire.ErrLinkFull
	}
	select {
	case l.outbox <- m:
		return nil
	default:
		_ = l.Close()
		return yuccawire.ErrLinkFull
	}
}

// Receive reads the next envelope of the peer.
func (l *link) Receive() (*yuccawire.Envelope, error) {
	m := new(yuccawire.Envelope)
	if err := l.decoder.UnmarshalFrom(l.reader, m); err != nil {
		_ = l.Close()
		return nil, err
	}
	return m, nil
}

// Close ends the stream.
func (l *link) Close() error {
	var err error
	l.once.Do(func() {
		close(l.closed)
		err = l.stream.Close()
	})
	return err
}

// run writes the queued envelopes, and flushes when none waits.
func (l *link) run() {
	defer l.Close()
	w := bufio.NewWriterSize(l.stream, bufferBytes)
	for {
		select {
		case <-l.closed:
			return
		case m := <-l.outbox:
			if err := l.write(w, m); err != nil {
				return
			}
		}
	}
}

func (l *link) write(w *bufio.Writer, m *yuccawire.Envelope) error {
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return err
	}
	l.pending.Add(-int64(proto.Size(m)))
	if len(l.outbox) > 0 {
		return nil
	}
	return w.Flush()
}
