package yuccaworker_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/yuccaturn/yuccaturn/yuccametric"
	"github.com/yuccaturn/yuccaturn/yuccaworker"
)

func TestSilenceOfTheWorkerIsToldFromThatOfTheSide(t *testing.T) {
	for message, disturb := range map[string]func(h *harness){
		"worker answers again": func(h *harness) {
			h.silent, h.unresponsive = true, true
			h.advance(800 * time.Millisecond)
			h.silent, h.unresponsive = false, false
		},
		"side stood still": func(h *harness) { h.now = h.now.Add(800 * time.Millisecond) },
	} {
		t.Run(message, func(t *testing.T) {
			h := newHarness(t)
			log := new(bytes.Buffer)
			h.core = yuccaworker.New(yuccaworker.Options{Metrics: yuccametric.New(t.Name()), Logger: slog.New(slog.NewTextHandler(log, nil))}, h.now)
			h.core.HandleLinkUp(h.now, entry)
			h.report(2, false)
			h.advance(2 * maxLease)
			h.order(entry, time.Second, task("a", 1, 1600))
			h.advance(100 * time.Millisecond)
			disturb(h)
			h.advance(100 * time.Millisecond)
			lines := strings.Count(log.String(), message)
			if others := strings.Count(log.String(), "answers again") + strings.Count(log.String(), "stood still"); lines != 1 || others != 1 {
				t.Errorf("got %d lines with %q of %d such lines, want this one only:\n%s", lines, message, others, log)
			}
		})
	}
}
