package yuccamux

import (
	"bufio"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

const bufferBytes = 4 << 10

// link frames envelopes on one stream with their length as a varint. What waits
// to be sent is bounded by its bytes.
type link struct {
	stream          net.Conn
	reader          *bufio.Reader
	decoder         protodelim.UnmarshalOptions
	maxPendingBytes int64
	wake            chan struct{}
	closed          chan struct{}
	once            sync.Once

	mu           sync.Mutex
	queue        []*yuccawire.Envelope
	pendingBytes int64
}

func newLink(stream net.Conn, options Options) *link {
	l := &link{
		stream:          stream,
		reader:          bufio.NewReaderSize(stream, bufferBytes),
		decoder:         protodelim.UnmarshalOptions{MaxSize: options.MaxMessageBytes},
		maxPendingBytes: options.MaxPendingBytes,
		wake:            make(chan struct{}, 1),
		closed:          make(chan struct{}),
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
	if !l.enqueue(m) {
		_ = l.Close()
		return yuccawire.ErrLinkFull
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

func (l *link) enqueue(m *yuccawire.Envelope) bool {
	size := int64(proto.Size(m))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingBytes+size > l.maxPendingBytes {
		return false
	}
	l.pendingBytes += size
	l.queue = append(l.queue, m)
	return true
}

// take empties the queue and returns its envelopes and their size in bytes,
// which counts as pending until it is written.
func (l *link) takeQueue() ([]*yuccawire.Envelope, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	envelopes := l.queue
	l.queue = nil
	return envelopes, l.pendingBytes
}

// written takes what was written off the pending bytes.
func (l *link) recordWritten(size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBytes -= size
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
		// Closing a stream of yamux leaves its reader waiting for the peer, which
		// may never answer.
		_ = l.stream.SetReadDeadline(time.Now())
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
		case <-l.wake:
		}
		for envelopes, size := l.takeQueue(); len(envelopes) > 0; envelopes, size = l.takeQueue() {
			if l.write(w, envelopes) != nil {
				return
			}
			l.recordWritten(size)
		}
		if w.Flush() != nil {
			return
		}
	}
}

func (l *link) write(w *bufio.Writer, envelopes []*yuccawire.Envelope) error {
	for _, m := range envelopes {
		if _, err := protodelim.MarshalTo(w, m); err != nil {
			return err
		}
	}
	return nil
}
