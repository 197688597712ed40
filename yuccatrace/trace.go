// Package yuccatrace makes the spans of a request's hops, and carries their
// context in the W3C traceparent form.
//
// # Usage
//
//	shutdown, err := yuccatrace.Install(ctx, yuccatrace.Options{Exporter: "file", File: "spans.jsonl"})
//	ctx, span := yuccatrace.Start(ctx, "entry.job")
//	traceparent := yuccatrace.Traceparent(ctx)
//	ctx, span = yuccatrace.StartRemote(ctx, "side.run", traceparent, trace.SpanKindServer)
package yuccatrace

import (
	"context"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Exporters that settings may name.
const (
	ExporterNone = "none"
	ExporterFile = "file"
	ExporterOTLP = "otlp"
)

const (
	tracerName     = "github.com/yuccaturn/yuccaturn"
	traceparentKey = "traceparent"
	traceFilePerm  = 0o600
)

var propagator = propagation.TraceContext{}

// Options says where spans go.
type Options struct {
	// Service names the process in the spans.
	Service string
	// Exporter is none, file or otlp.
	Exporter string
	// File takes a JSON line for each span.
	File string
	// Endpoint is the host and port of an OTLP/HTTP collector.
	Endpoint string
}

// Install makes the exporter that the options name the process's own, and
// returns what flushes it at the end.
func Install(ctx context.Context, options Options) (func(context.Context) error, error) {
	exporter, err := newExporter(ctx, options)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", options.Service))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, options Options) (sdktrace.SpanExporter, error) {
	switch options.Exporter {
	case ExporterFile:
		file, err := os.OpenFile(options.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFilePerm)
		if err != nil {
			return nil, merry.Prepend(err, "opening the file for spans")
		}
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(options.Endpoint), otlptracehttp.WithInsecure())
	}
	return nil, nil
}

// Start begins a span of this process.
func Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name)
}

// StartRemote begins a span below that of another process.
func StartRemote(ctx context.Context, name, traceparent string, kind trace.SpanKind) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{traceparentKey: traceparent}
	ctx = propagator.Extract(ctx, carrier)
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind))
}

// Extract takes the span of a caller from its request.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject passes the span on in a request.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Traceparent renders the span of the context, empty where there is none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceparentKey]
}
