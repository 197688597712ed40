package yuccaquery_test

import (
	"context"
	"testing"

	"github.com/yuccaturn/yuccaturn/yuccaquery"
)

// A loop that has stood still has room for events whose callers have left meanwhile.
func TestEventOfACallerThatHasLeftIsPosted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	events := make(chan int, 100)
	for i := range 100 {
		if err := yuccaquery.Post(ctx, yuccaquery.NewLifetime(), events, i); err == nil {
			t.Fatalf("event %d was posted", i)
		}
	}
}
