// Package yuccatrace records OpenTelemetry spans and propagates their context
// between processes as a W3C traceparent.
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

// Values of [Options.Exporter].
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

// Options selects and configures the exporter of spans.
type Options struct {
	// Service is the value of the attribute service.name in the spans.
	Service string
	// Exporter is one of ExporterNone, ExporterFile and ExporterOTLP.
	Exporter string
	// File is the path to which ExporterFile appends spans as JSON lines.
	File string
	// Endpoint is the host:port of the OTLP/HTTP collector for ExporterOTLP.
	Endpoint string
}

// Install installs a global tracer provider with the selected exporter, or nothing
// for ExporterNone. It returns a function that flushes pending spans and shuts the
// provider down.
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
			return nil, merry.Prepend(err, "opening the span file")
		}
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(options.Endpoint), otlptracehttp.WithInsecure())
	}
	return nil, nil
}

// Start starts a span as a child of the span in ctx.
func Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name)
}

// StartRemote starts a span as a child of the span that traceparent identifies,
// usually one of another process. If traceparent is empty or invalid, the parent
// is the span in ctx.
func StartRemote(ctx context.Context, name, traceparent string, kind trace.SpanKind) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{traceparentKey: traceparent}
	ctx = propagator.Extract(ctx, carrier)
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(kind))
}

// Extract returns a context with the parent span from the headers of a request.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject sets the traceparent header of a request to the span in ctx.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Traceparent returns the span in ctx as a W3C traceparent, or an empty string if
// there is none.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceparentKey]
}
