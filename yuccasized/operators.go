package yuccasized

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"

	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccaserver"
	"github.com/yuccaturn/yuccaturn/yuccastate"
)

// OperatorOptions configures the handler for operators.
type OperatorOptions struct {
	// DataCentres lists the names of all data centres in the settings.
	DataCentres []string
	Logger      *slog.Logger
}

// Operators serves the HTTP interface through which operators change the
// configuration: the document and the list of drained data centres.
type Operators struct {
	edge    *yuccaedge.Edge
	options OperatorOptions
}

// NewOperators returns the handler for operators. Operators may call any entry.
// An entry whose control is not the leader passes changes on to the leader.
func NewOperators(edge *yuccaedge.Edge, options OperatorOptions) http.Handler {
	o := &Operators{edge: edge, options: options}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/links", NewLinks(edge.Links))
	mux.Handle("GET /v1/demand", NewDemand(edge.Demand))
	mux.HandleFunc("GET /v1/reservations", o.reservations)
	mux.Handle("GET /v1/run-times", NewRunTimes(edge.RunTimes))
	mux.HandleFunc("PUT /v1/document", o.replaceDocument)
	mux.HandleFunc("GET /v1/document", o.document)
	mux.HandleFunc("PUT /v1/data-centres/{name}/out", o.drain)
	mux.HandleFunc("DELETE /v1/data-centres/{name}/out", o.restore)
	return mux
}

// changeResponse is the response to an accepted change.
type changeResponse struct {
	// Version is the current version of what was changed: the document, or the list
	// of drained data centres.
	Version uint64 `json:"version"`
	// Repeated is set if the change had been applied before.
	Repeated bool `json:"repeated"`
}

func (o *Operators) replaceDocument(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		o.refuse(w, r, bodyReadProblem(err))
		return
	}
	catalog, err := DecodeDocument(document)
	if err != nil {
		o.refuse(w, r, invalidBodyProblem(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := o.edge.ReplaceDocument(ctx, catalog.Version(), document)
	o.writeResult(w, r, result, err)
}

func (o *Operators) document(w http.ResponseWriter, r *http.Request) {
	document, err := o.edge.Document()
	if err != nil {
		o.refuse(w, r, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.NoControl, err.Error()).WithRetryAfter(retryAfter))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document)
}

func (o *Operators) drain(w http.ResponseWriter, r *http.Request) { o.setDrained(w, r, true) }

func (o *Operators) restore(w http.ResponseWriter, r *http.Request) { o.setDrained(w, r, false) }

func (o *Operators) setDrained(w http.ResponseWriter, r *http.Request, drained bool) {
	name := r.PathValue("name")
	if !slices.Contains(o.options.DataCentres, name) {
		o.refuse(w, r, yuccaproblem.NotRunf(http.StatusNotFound, yuccaproblem.UnknownDataCentre, "data centre: %q is not in the settings", name))
		return
	}
	if yuccaserver.HasClientLeft(r.Context()) {
		o.refuse(w, r, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.OutcomeUnknown, yuccaserver.ErrClientLeft.Error()).WithRetryAfter(retryAfter))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := o.edge.SetDrained(ctx, name, drained)
	o.writeResult(w, r, result, err)
}

// writeResult acknowledges a change, or responds with the findings or, if the
// change may have been made, with an unknown outcome.
func (o *Operators) writeResult(w http.ResponseWriter, r *http.Request, result *yuccastate.ChangeResult, err error) {
	switch {
	case err == nil && (result.Outcome == yuccastate.Accepted || result.Outcome == yuccastate.Repeated):
		repeated := result.Outcome == yuccastate.Repeated
		o.options.Logger.Info("change accepted", "method", r.Method, "path", r.URL.Path, "version", result.Version, "repeated", repeated)
		writeJSON(w, changeResponse{Version: result.Version, Repeated: repeated})
	case err == nil:
		o.refuse(w, r, invalidBodyProblem(result.Findings))
	default:
		o.refuse(w, r, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.OutcomeUnknown, err.Error()).WithRetryAfter(retryAfter))
	}
}

func (o *Operators) refuse(w http.ResponseWriter, r *http.Request, p *yuccaproblem.Problem) {
	o.options.Logger.Info("operator call refused", "method", r.Method, "path", r.URL.Path, "status", p.Status, "reason", p.Error())
	yuccaproblem.Write(w, p)
}
