package yuccamesh_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain keeps the bubbles on one processor: with more, timers of one bubble
// that fire at once share a context of the race detector and crash it (Go
// 1.26). It also repeats the same schedule for a seed more often.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
