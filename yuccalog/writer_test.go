package yuccalog_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccalog"
	"github.com/yuccaturn/yuccaturn/yuccametric"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	text    bytes.Buffer
	release chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

type writerRun struct {
	writer *yuccalog.Writer
	done   chan struct{}
}

func (s *writerRun) run(ctx context.Context) {
	defer close(s.done)
	_ = s.writer.Serve(ctx)
}

// Write does not block while the output is blocked. Dropped lines are counted in
// the metrics and reported in the log.
func TestWriteNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		metrics := yuccametric.New("log")
		out := &blockedWriter{release: make(chan struct{})}
		writer := yuccalog.New(out, metrics)
		ctx, cancel := context.WithCancel(t.Context())
		run := &writerRun{writer: writer, done: make(chan struct{})}
		go run.run(ctx)
		for i := range 2 * yuccalog.MaxLinesPerSecond {
			if _, err := writer.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
			// Wait until Serve is blocked in the output: all drops then fall into one report.
			if i == 0 {
				synctest.Wait()
			}
		}
		if got := metrics.Value("log_lines_dropped"); got != yuccalog.MaxLinesPerSecond {
			t.Errorf("dropped %d lines, want %d", got, yuccalog.MaxLinesPerSecond)
		}
		close(out.release)
		time.Sleep(time.Second)
		cancel()
		<-run.done
		if got := strings.Count(out.text.String(), "line\n"); got != yuccalog.MaxLinesPerSecond {
			t.Errorf("wrote %d lines, want %d", got, yuccalog.MaxLinesPerSecond)
		}
		if !strings.Contains(out.text.String(), `"count":400`) {
			t.Errorf("the number of dropped lines is missing from the log: %q", out.text.String()[max(0, out.text.Len()-200):])
		}
	})
}

// A burst of other lines comes before a warning.
func TestWarningIsWrittenAfterABurstOfOtherLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		writer := yuccalog.New(&out, yuccametric.New("log"))
		ctx, cancel := context.WithCancel(t.Context())
		run := &writerRun{writer: writer, done: make(chan struct{})}
		go run.run(ctx)
		logger := slog.New(slog.NewJSONHandler(writer, nil))
		for range 2 * yuccalog.MaxLinesPerSecond {
			logger.Info("job accepted")
		}
		logger.Warn("job is open at two entries", "job", "a")
		time.Sleep(time.Second)
		cancel()
		<-run.done
		if !strings.Contains(out.String(), `"msg":"job is open at two entries","job":"a"`) {
			t.Error("the warning was dropped")
		}
	})
}
