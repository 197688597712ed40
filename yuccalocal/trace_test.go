package yuccalocal_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestEveryHopHasSpan checks that a request has a span for each hop in the
// trace of the caller, and that the parent of each span is the span of the
// previous hop.
func TestEveryHopHasSpan(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
	previous := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	defer otel.SetTracerProvider(previous)
	_, callers := startSystem(t, 1, 1)
	const traceID, callerSpanID = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	for status := 0; status != http.StatusOK; {
		exporter.Reset()
		status = tracedRequest(t, callers[0], "00-"+traceID+"-"+callerSpanID+"-01")
	}
	spans := make(map[string]tracetest.SpanStub)
	for _, span := range awaitSpans(exporter, 3) {
		spans[span.Name] = span
	}
	parentSpanID := callerSpanID
	for _, hop := range []string{"entry.request", "side.run", "target.task"} {
		span, ok := spans[hop]
		if !ok {
			t.Fatalf("hop %s has no span, got %v", hop, spans)
		}
		if span.SpanContext.TraceID().String() != traceID || span.Parent.SpanID().String() != parentSpanID {
			t.Errorf("span %s has trace %s and parent %s, expected trace %s and parent %s",
				hop, span.SpanContext.TraceID(), span.Parent.SpanID(), traceID, parentSpanID)
		}
		parentSpanID = span.SpanContext.SpanID().String()
	}
}

// tracedRequest sends a request and returns its status. The request can fail on a
// loaded machine, where a lease may expire.
func tracedRequest(t *testing.T, entry, traceparent string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+"/v1/services/regulation/check", strings.NewReader(`{}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Yucca-Team", "parishes")
	request.Header.Set("traceparent", traceparent)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

// awaitSpans waits until n spans have ended. The span of a server can end after
// the client has received the answer.
func awaitSpans(exporter *tracetest.InMemoryExporter, n int) tracetest.SpanStubs {
	for {
		if spans := exporter.GetSpans(); len(spans) >= n {
			return spans
		}
		time.Sleep(time.Millisecond)
	}
}
