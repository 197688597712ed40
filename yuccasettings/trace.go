package yuccasettings

import (
	"fmt"

	"github.com/yuccaturn/yuccaturn/yuccajsonc"
	"github.com/yuccaturn/yuccaturn/yuccatrace"
)

// Trace is the settings section of the span exporter.
type Trace struct {
	// Exporter is none, file or otlp; empty means none.
	Exporter string `json:"exporter"`
	// File is the file to which the "file" exporter writes a JSON line for each span.
	File string `json:"file"`
	// Endpoint is the host and port of an OTLP/HTTP collector.
	Endpoint string `json:"endpoint"`
}

func (t *Trace) check(d *yuccajsonc.Document) {
	switch t.Exporter {
	case "", yuccatrace.ExporterNone:
	case yuccatrace.ExporterFile:
		checkRequired(d, "trace.file", t.File, "the file for spans")
	case yuccatrace.ExporterOTLP:
		checkAddress(d, "trace.endpoint", t.Endpoint)
	default:
		d.Report("trace.exporter", fmt.Sprintf("is %q", t.Exporter), "none, file or otlp")
	}
}

// Options returns the options of the tracer for the named process.
func (t *Trace) Options(process string) yuccatrace.Options {
	return yuccatrace.Options{Service: "yuccaturn/" + process, Exporter: t.Exporter, File: t.File, Endpoint: t.Endpoint}
}
