// Package yuccalog writes log lines without ever blocking the code that logs.
//
// Lines pass through a bounded queue to one goroutine. If the output is slow, or
// the rate exceeds MaxLinesPerSecond, lines are dropped and counted. The number
// of dropped lines is logged after the next lines that are written. Warnings and errors have a limit of their
// own, so that a burst of other lines doesn't displace them.
//
// # Usage
//
//	writer := yuccalog.New(os.Stdout, metrics)
//	supervisor.Add(writer)
//	logger := slog.New(slog.NewJSONHandler(writer, nil))
package yuccalog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccametric"
)

const (
	// queueCapacity is the maximum number of queued lines. With lines of 300
	// bytes, a full queue takes 600 KB.
	queueCapacity = 2048
	// MaxLinesPerSecond limits the rate of a process's log. In the first
	// deployments an entry wrote about 40 lines per second under normal load.
	MaxLinesPerSecond = 400
	// MaxWarningsPerSecond limits the rate of its warnings and errors.
	MaxWarningsPerSecond = 100
	// flushDelay is the pause between two writes, which batches lines.
	flushDelay = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each call of Write must pass one whole
// line, as slog handlers do. Writer is also a suture service.
type Writer struct {
	out     io.Writer
	metrics *yuccametric.Set
	lines   chan []byte

	mu          sync.Mutex
	windowStart time.Time
	windowLines int
	// windowWarnings counts the warnings and errors, which windowLines leaves out.
	windowWarnings int
	dropped        int64
}

// New returns a writer that queues lines until Serve runs, and counts dropped lines
// and failed writes in the metrics.
func New(out io.Writer, metrics *yuccametric.Set) *Writer {
	return &Writer{out: out, metrics: metrics, lines: make(chan []byte, queueCapacity)}
}

// Write queues one line or drops it. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.admit(time.Now(), isWarning(line)) {
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.recordDropped()
	}
	return len(line), nil
}

// isWarning reports whether a line of slog's JSON handler is a warning or an error.
func isWarning(line []byte) bool {
	_, rest, found := bytes.Cut(line, []byte(`"level":"`))
	return found && (bytes.HasPrefix(rest, []byte("WARN")) || bytes.HasPrefix(rest, []byte("ERROR")))
}

// admit reports whether a line is within the limit of its kind. If it is not, it counts as dropped.
func (w *Writer) admit(now time.Time, isWarning bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.windowLines, w.windowWarnings = now, 0, 0
	}
	lines, limit := &w.windowLines, MaxLinesPerSecond
	if isWarning {
		lines, limit = &w.windowWarnings, MaxWarningsPerSecond
	}
	*lines++
	if *lines > limit {
		w.dropped++
		w.metrics.Add("log_lines_dropped", 1)
		return false
	}
	return true
}

func (w *Writer) recordDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
	w.metrics.Add("log_lines_dropped", 1)
}

// takeDropped returns the number of lines dropped since the previous call.
func (w *Writer) takeDropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Serve writes queued lines until the context ends, and then those that remain.
func (w *Writer) Serve(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			if err := w.flush(line); err != nil {
				w.metrics.Add("log_writes_failed", 1)
			}
			w.awaitFlushDelay(ctx)
		case <-ctx.Done():
			_ = w.flush(nil)
			return ctx.Err()
		}
	}
}

// flush writes the line, all queued lines and the number of dropped lines in one
// call.
func (w *Writer) flush(line []byte) error {
	var b bytes.Buffer
	b.Write(line)
	for range len(w.lines) {
		b.Write(<-w.lines)
	}
	if n := w.takeDropped(); n > 0 {
		fmt.Fprintf(&b, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	if b.Len() == 0 {
		return nil
	}
	_, err := w.out.Write(b.Bytes())
	return err
}

func (w *Writer) awaitFlushDelay(ctx context.Context) {
	timer := time.NewTimer(flushDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
