package yuccamux

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaturn/yuccaturn/yuccawire"
)

// bufferBytes is the size of the read buffer and of the write buffer of a link.
const bufferBytes = 4 << 10

// link sends envelopes on one stream, each preceded by its length as a varint. Its
// queue of unsent envelopes is limited by their size in bytes.
type link struct {
	stream          net.Conn
	siblings        *linkSet // the open links of the session
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

func newLink(stream net.Conn, siblings *linkSet, options Options) *link {
	l := &link{
		stream:          stream,
		siblings:        siblings,
		reader:          bufio.NewReaderSize(stream, bufferBytes),
		decoder:         protodelim.UnmarshalOptions{MaxSize: options.MaxMessageBytes},
		maxPendingBytes: options.MaxPendingBytes,
		wake:            make(chan struct{}, 1),
		closed:          make(chan struct{}),
	}
	siblings.add(l)
	go l.run()
	return l
}

// Send queues the envelope for the writing goroutine. If the queue is full, it
// closes the link and returns [yuccawire.ErrLinkFull].
func (l *link) Send(m *yuccawire.Envelope) error {
	if l.isClosed() {
		return yuccawire.ErrLinkClosed
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

// enqueue returns false if the queue has maxPendingBytes or more. The last envelope may exceed that: one that is larger
// than the limit would otherwise never be sent, however often the link is opened again.
func (l *link) enqueue(m *yuccawire.Envelope) bool {
	size := int64(proto.Size(m))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingBytes >= l.maxPendingBytes {
		return false
	}
	l.pendingBytes += size
	l.queue = append(l.queue, m)
	return true
}

// takeQueue empties the queue and returns its envelopes and their size in bytes,
// which counts as pending until recordWritten.
func (l *link) takeQueue() ([]*yuccawire.Envelope, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	envelopes := l.queue
	l.queue = nil
	return envelopes, l.pendingBytes
}

// recordWritten subtracts size from the pending bytes.
func (l *link) recordWritten(size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingBytes -= size
}

// Receive reads the next envelope from the peer. It closes the link on error.
// [yuccawire.ErrLinkClosed] says that the link or its session has ended.
func (l *link) Receive() (*yuccawire.Envelope, error) {
	m := new(yuccawire.Envelope)
	if err := l.decoder.UnmarshalFrom(l.reader, m); err != nil {
		_ = l.Close()
		if errors.Is(err, yamux.ErrTimeout) {
			return nil, yuccawire.ErrLinkClosed
		}
		return nil, err
	}
	return m, nil
}

// Close unblocks Receive and makes the writing goroutine close the stream. It does
// not wait for the peer.
func (l *link) Close() error {
	l.once.Do(func() {
		close(l.closed)
		// Closing a yamux stream does not unblock its reader until the peer closes
		// its end, which it may never do.
		_ = l.stream.SetDeadline(time.Now())
	})
	return nil
}

// closeStream closes the stream, which may wait until the connection takes a frame.
func (l *link) closeStream() {
	_ = l.Close()
	_ = l.stream.Close()
	l.siblings.remove(l)
}

// run writes the queued envelopes, flushes whenever the queue is empty, and closes
// the stream at the end.
func (l *link) run() {
	defer l.closeStream()
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

// write stops when the link is closed.
func (l *link) write(w *bufio.Writer, envelopes []*yuccawire.Envelope) error {
	for _, m := range envelopes {
		if l.isClosed() {
			return yuccawire.ErrLinkClosed
		}
		if _, err := protodelim.MarshalTo(w, m); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}
