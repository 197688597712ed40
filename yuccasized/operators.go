package yuccasized

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"

	"github.com/yuccaturn/yuccaturn/yuccaedge"
	"github.com/yuccaturn/yuccaturn/yuccaproblem"
	"github.com/yuccaturn/yuccaturn/yuccastate"
)

// OperatorOptions holds what the handler for operators needs.
type OperatorOptions struct {
	// Self is the operators' address of this entry.
	Self string
	// DataCentres are all there are.
	DataCentres []string
	Logger      *slog.Logger
}

// Operators serves the operators of an entry.
type Operators struct {
	edge    *yuccaedge.Edge
	options OperatorOptions
}

// NewOperators returns the handler for operators. Any entry takes their calls;
// one whose control does not lead sends them on with a redirect.
func NewOperators(edge *yuccaedge.Edge, options OperatorOptions) http.Handler {
	o := &Operators{edge: edge, options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/document", o.replaceDocument)
	mux.HandleFunc("GET /v1/document", o.document)
	mux.HandleFunc("PUT /v1/data-centres/{name}/out", o.drain)
	mux.HandleFunc("DELETE /v1/data-centres/{name}/out", o.restore)
	return mux
}

// accepted answers a change.
type changeResponse struct {
	// Version is the one in force: that of the document, or of the list of data
	// centres that are out.
	Version uint64 `json:"version"`
	// Repeated tells that nothing had to be changed.
	Repeated bool `json:"repeated"`
}

func (o *Operators) replaceDocument(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		o.refuse(w, r, bodyReadProblem(err))
		return
	}
	catalog, err := DecodeDocument(text)
	if err != nil {
		o.refuse(w, r, invalidBodyProblem(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := o.edge.Replace(ctx, catalog.Version(), text)
	o.writeResult(w, r, result, err)
}

func (o *Operators) document(w http.ResponseWriter, r *http.Request) {
	text, err := o.edge.Document()
	if err != nil {
		o.refuse(w, r, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.NoControl, err.Error()).After(retryAfter))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (o *Operators) drain(w http.ResponseWriter, r *http.Request) { o.setDrained(w, r, true) }

func (o *Operators) restore(w http.ResponseWriter, r *http.Request) { o.setDrained(w, r, false) }

func (o *Operators) setDrained(w http.ResponseWriter, r *http.Request, drained bool) {
	name := r.PathValue("name")
	if !slices.Contains(o.options.DataCentres, name) {
		o.refuse(w, r, yuccaproblem.NotRunf(http.StatusNotFound, yuccaproblem.UnknownDataCentre, "data centre: %q is not in the settings", name))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := o.edge.SetOut(ctx, name, drained)
	o.writeResult(w, r, result, err)
}

// finish acknowledges a change, sends it on to the leader, or says that its
// outcome is not known.
func (o *Operators) writeResult(w http.ResponseWriter, r *http.Request, result *yuccastate.ChangeResult, err error) {
	var notLeader *yuccaedge.NotLeader
	switch {
	case err == nil && (result.Outcome == yuccastate.Accepted || result.Outcome == yuccastate.Repeated):
		repeated := result.Outcome == yuccastate.Repeated
		o.options.Logger.Info("acknowledges a change", "method", r.Method, "path", r.URL.Path, "version", result.Version, "repeated", repeated)
		writeJSON(w, changeResponse{Version: result.Version, Repeated: repeated})
	case err == nil:
		o.refuse(w, r, invalidBodyProblem(result.Findings))
	case errors.As(err, &notLeader) && notLeader.Address != "" && notLeader.Address != o.options.Self:
		o.options.Logger.Info("sends a change on to the leader", "path", r.URL.Path, "leader", notLeader.Address)
		w.Header().Set("Location", "http://"+notLeader.Address+r.URL.RequestURI())
		w.WriteHeader(http.StatusTemporaryRedirect)
	default:
		o.refuse(w, r, yuccaproblem.New(http.StatusServiceUnavailable, yuccaproblem.OutcomeUnknown, err.Error()).After(retryAfter))
	}
}

func (o *Operators) refuse(w http.ResponseWriter, r *http.Request, p *yuccaproblem.Problem) {
	o.options.Logger.Info("refuses a change", "method", r.Method, "path", r.URL.Path, "status", p.Status, "reason", p.Error())
	yuccaproblem.Write(w, p)
}
